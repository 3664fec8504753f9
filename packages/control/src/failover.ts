import {
    type DatabaseView,
    type EndpointProbeResult,
    EndpointRole,
    EndpointState,
    type Term,
} from "@medlarledge/protocol";
import { chooseCandidate } from "./candidate.js";
import { FailoverStep } from "./failover-step.js";
import type { LeaderContext, ProposalOutcome } from "./leader-context.js";
import { ProbeRound } from "./probe-round.js";
import { Revocation } from "./revocation.js";
import { presentEndpoints, startedTerm, viewOf } from "./view.js";

/** Interval at which endpoints are probed again while no candidate can be chosen, and proposals are retried. */
export const RETRY_INTERVAL_MS = 200;

/** Maximum number of promotion attempts per endpoint before another one is chosen. */
export const MAX_PROMOTE_ATTEMPTS = 2;

/** Replaces the primary of one database. SuspicionTable implements the preceding step `suspected`. */
export class Failover {
    readonly database: string;
    readonly reason: string;
    readonly startedAt: number;
    #step: FailoverStep = FailoverStep.Revoking;
    #stepAt: number;
    /** The former primary; undefined when no term has started yet. */
    #former: string | undefined;
    #candidate = "";
    #term: Term = 0;
    #timeline = 0;
    #start = 0;
    #attempts = 0;
    #actedAt = Number.NEGATIVE_INFINITY;
    #isProposalPending = false;
    readonly #probeRound = new ProbeRound();
    readonly #failed = new Set<string>();
    #missing: readonly string[] = [];
    readonly #revocation: Revocation;

    constructor(database: string, reason: string, now: number) {
        this.database = database;
        this.#revocation = new Revocation(database);
        this.reason = reason;
        this.startedAt = now;
        this.#stepAt = now;
    }

    step(): FailoverStep {
        return this.#step;
    }

    stepAt(): number {
        return this.#stepAt;
    }

    candidate(): string | undefined {
        return this.#candidate === "" ? undefined : this.#candidate;
    }

    /** Ids of the hosts or endpoints that the current step waits for. */
    waitsFor(): { readonly hosts: readonly string[]; readonly endpoints: readonly string[]; } {
        if (this.#step === FailoverStep.Revoking) {
            return { hosts: this.#revocation.holders(), endpoints: [] };
        }
        if (this.#step === FailoverStep.Choosing) {
            return { hosts: [], endpoints: this.#missing };
        }
        return { hosts: [], endpoints: this.#step === FailoverStep.Promoting ? [this.#candidate] : [] };
    }

    /** Begins by revoking the last started term. `first` is the primary found for a database without terms. */
    begin(context: LeaderContext, first?: string): void {
        const view = this.#view(context);
        const started = startedTerm(view);
        this.#former = started?.primary;
        if (first !== undefined && view.terms.length === 0) {
            this.#beginTerm(context, first);
            return;
        }
        if (started !== undefined) {
            context.hosts.revoke(this.database, started.term);
            this.#markTermBegun(context, view);
            context.emit({ kind: "fenceEndpoint", database: this.database, endpoint: started.primary });
        }
        this.#probeRound.beginEarly(context, this.database, this.#present(context));
        this.advance(context);
    }

    /** Called at every tick and after every event that may complete the current step. */
    advance(context: LeaderContext): void {
        if (this.#step === FailoverStep.Revoking && this.#revocation.isComplete(context)) {
            this.#revocationComplete(context);
        }
        else if (this.#step === FailoverStep.Choosing) {
            this.#advanceChoosing(context);
        }
        else if (this.#step === FailoverStep.Promoting && this.#isOverdue(context)) {
            this.#promotionFailed(context);
        }
        else if (this.#step === FailoverStep.Starting) {
            this.#advanceStarting(context);
        }
    }

    promoted(context: LeaderContext, endpoint: string, term: Term, reading: EndpointProbeResult | undefined): void {
        if (this.#step !== FailoverStep.Promoting || endpoint !== this.#candidate || term !== this.#term) {
            return;
        }
        const registered = this.#view(context).endpoints.find(({ id }) => id === endpoint);
        const same = reading !== undefined && reading.systemIdentifier === registered?.systemIdentifier;
        if (!same || reading.role !== EndpointRole.Primary) {
            this.#promotionFailed(context);
            return;
        }
        this.#timeline = reading.timeline;
        this.#start = reading.position;
        this.#enter(context, FailoverStep.Starting);
        this.#actedAt = Number.NEGATIVE_INFINITY;
        this.#advanceStarting(context);
    }

    #revocationComplete(context: LeaderContext): void {
        const current = this.#view(context).terms.at(-1);
        if (current !== undefined && current.start === undefined) {
            // The term was begun by this or an earlier leader, so its endpoint may already be promoted: try it first.
            this.#promote(context, current.primary, current.term);
            return;
        }
        this.#enter(context, FailoverStep.Choosing);
        this.#startProbeRound(context);
    }

    #advanceChoosing(context: LeaderContext): void {
        if (context.now - this.#actedAt >= RETRY_INTERVAL_MS) {
            this.#choose(context);
            if (this.#step === FailoverStep.Choosing) {
                this.#startProbeRound(context);
            }
        }
        else if (this.#allAnswered(context) || context.now - this.#actedAt >= context.options.readingTimeoutMs) {
            this.#choose(context);
        }
    }

    #startProbeRound(context: LeaderContext): void {
        this.#actedAt = context.now;
        this.#probeRound.begin(context, this.database, this.#present(context), (later) => {
            if (this.#step === FailoverStep.Choosing) {
                this.#advanceChoosing(later);
            }
        });
    }

    /** Does not wait for a failed primary; one that leaves in order answers with the position replicas must reach. */
    #allAnswered(context: LeaderContext): boolean {
        return this.#present(context).every(({ id, state }) =>
            (id === this.#former && state !== EndpointState.Leaving) || this.#probeRound.isAnsweredOrUnreachable(id)
        );
    }

    #choose(context: LeaderContext): void {
        const answer = chooseCandidate({
            view: this.#view(context),
            probeResults: this.#probeRound.results(),
            durability: context.options.durability(this.database),
            promoteWithout: context.options.promoteWithout?.(this.database) ?? [],
            failed: this.#failed,
        });
        if (answer.kind === "wait") {
            this.#missing = answer.missing;
            return;
        }
        const current = this.#view(context).terms.at(-1);
        if (current !== undefined && current.start === undefined && current.primary === answer.endpoint) {
            this.#promote(context, current.primary, current.term);
        }
        else {
            this.#beginTerm(context, answer.endpoint);
        }
    }

    #beginTerm(context: LeaderContext, primary: string): void {
        const { database, reason } = this;
        const term = (this.#view(context).terms.at(-1)?.term ?? 0) + 1;
        this.#candidate = primary;
        this.#enter(context, FailoverStep.Beginning);
        const command = { kind: "beginTerm", database, term, primary, reason, at: context.wallClock } as const;
        context.propose(command, (later, outcome) => this.#termBegun(later, term, primary, outcome));
    }

    #termBegun(context: LeaderContext, term: Term, primary: string, outcome: ProposalOutcome): void {
        const view = this.#view(context);
        const current = view.terms.at(-1);
        if (current?.term === term && current.primary === primary) {
            this.#markTermBegun(context, view);
            this.#promote(context, primary, term);
            return;
        }
        const why = outcome.kind === "failed" ? outcome.reason : "refused";
        this.#log(context, "failover.beginFailed", { term, primary, why });
        if (view.terms.length === 0) {
            this.#enter(context, FailoverStep.Done);
            return;
        }
        this.#enter(context, FailoverStep.Choosing);
        this.#startProbeRound(context);
    }

    #promote(context: LeaderContext, endpoint: string, term: Term): void {
        this.#candidate = endpoint;
        this.#term = term;
        this.#attempts = 0;
        this.#enter(context, FailoverStep.Promoting);
        this.#sendPromotion(context);
    }

    #sendPromotion(context: LeaderContext): void {
        this.#attempts++;
        this.#actedAt = context.now;
        const { database } = this;
        context.emit({ kind: "promoteEndpoint", database, endpoint: this.#candidate, term: this.#term });
    }

    #isOverdue(context: LeaderContext): boolean {
        return context.now - this.#actedAt >= context.options.promoteTimeoutMs;
    }

    #promotionFailed(context: LeaderContext): void {
        if (this.#attempts < MAX_PROMOTE_ATTEMPTS) {
            this.#sendPromotion(context);
            return;
        }
        this.#failed.add(this.#candidate);
        this.#log(context, "failover.promotionFailed", { endpoint: this.#candidate, term: this.#term });
        this.#enter(context, FailoverStep.Choosing);
        this.#probeRound.forgetUnreachable();
        this.#startProbeRound(context);
    }

    #advanceStarting(context: LeaderContext): void {
        if (this.#isProposalPending || context.now - this.#actedAt < RETRY_INTERVAL_MS) {
            return;
        }
        this.#isProposalPending = true;
        this.#actedAt = context.now;
        const { database } = this;
        const command = {
            kind: "startTerm",
            database,
            term: this.#term,
            timeline: this.#timeline,
            start: this.#start,
        } as const;
        context.propose(command, (later, outcome) => this.#startProposalCompleted(later, outcome));
    }

    #startProposalCompleted(context: LeaderContext, outcome: ProposalOutcome): void {
        this.#isProposalPending = false;
        this.#actedAt = context.now;
        const current = this.#view(context).terms.at(-1);
        if (current?.term === this.#term && current.start !== undefined) {
            this.#enter(context, FailoverStep.Done);
        }
        else if (outcome.kind === "applied") {
            this.#enter(context, FailoverStep.Choosing);
            this.#startProbeRound(context);
        }
    }

    /** Records the begun term: views that include it revoke the earlier terms at the hosts that receive them. */
    #markTermBegun(context: LeaderContext, view: DatabaseView): void {
        const current = view.terms.at(-1);
        if (current !== undefined && current.start === undefined) {
            context.hosts.markTermBegun(this.database, context.state.version());
        }
    }

    #enter(context: LeaderContext, step: FailoverStep): void {
        this.#step = step;
        this.#stepAt = context.now;
        this.#missing = [];
        const candidate = this.candidate();
        const afterMs = context.now - this.startedAt;
        this.#log(context, "failover.step", { step, candidate, afterMs });
    }

    #log(context: LeaderContext, name: string, fields: Readonly<Record<string, unknown>>): void {
        context.emit({ kind: "event", name, fields: { database: this.database, ...fields } });
    }

    #present(context: LeaderContext): DatabaseView["endpoints"] {
        return presentEndpoints(this.#view(context));
    }

    #view(context: LeaderContext): DatabaseView {
        return viewOf(context.state, this.database);
    }
}
