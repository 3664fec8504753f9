import type { EndpointObservation, Host, RenewLease } from "@medlarledge/protocol";
import { Distribution } from "./distribution.js";
import { EndpointPoll } from "./endpoint-poll.js";
import { FailoverStep } from "./failover-step.js";
import { Failover } from "./failover.js";
import { HostTable } from "./host-table.js";
import type { LeaderContext } from "./leader-context.js";
import type { LeaderEffect, LeaderEvent, LeaderOptions } from "./leader-types.js";
import { Membership } from "./membership.js";
import { PendingRequests } from "./pending-requests.js";
import { answerRenewal, refuseRenewal } from "./renewal.js";
import { orderAllToFollow, orderLateReplicasToFollow } from "./replica-following.js";
import { Requests } from "./requests.js";
import { SilentHostNotifier } from "./silent-host-notifier.js";
import type { ControlState } from "./state.js";
import { buildStatus, type Status } from "./status.js";
import { SuspicionTable } from "./suspicion-table.js";
import { startedTerm, viewOf } from "./view.js";

interface Leadership {
    readonly electedAt: number;
    /** True once its own `openLeadership` entry is applied. */
    readonly open: boolean;
    readonly openProposed: boolean;
}

type Handlers = {
    readonly [K in LeaderEvent["kind"]]: (context: LeaderContext, event: Extract<LeaderEvent, { kind: K; }>) => void;
};

/** Makes the decisions of the control group's leader. Has no durable state: a new leader rebuilds all of it. */
export class ControlLeader {
    readonly #state: ControlState;
    readonly #options: LeaderOptions;
    #leadership: Leadership | undefined;
    #hosts: HostTable;
    /** Connected hosts; connections persist across changes of leader. */
    readonly #connections = new Map<string, Host>();
    readonly #failovers = new Map<string, Failover>();
    readonly #suspicions = new SuspicionTable();
    readonly #distribution = new Distribution();
    readonly #membership = new Membership();
    readonly #pendingRequests = new PendingRequests();
    readonly #requests = new Requests();
    readonly #endpointPoll = new EndpointPoll();
    readonly #silentHostNotifier = new SilentHostNotifier();
    #quorumContactAt = Number.NEGATIVE_INFINITY;

    readonly #handlers: Handlers = {
        elected: (context) => this.#elected(context),
        deposed: (context) => {
            this.#leadership = undefined;
            this.#reset(context);
        },
        tick: (context) => this.#tick(context),
        hostConnected: (context, { host }) => {
            this.#connections.set(host.id, host);
            if (this.#isOpen()) {
                this.#hosts.connect(host, context.now, this.#state.termsVersion());
            }
        },
        hostDisconnected: (_, { id, incarnation }) => {
            if (this.#connections.get(id)?.incarnation === incarnation) {
                this.#connections.delete(id);
            }
            this.#hosts.disconnect(id, incarnation);
        },
        message: (context, { from, message }) => this.#message(context, from, message),
        request: (context, { requestId, name, body }) => {
            if (this.#leadership === undefined) {
                this.#requests.refuse(context, requestId, name, { kind: "notLeader" });
                return;
            }
            this.#requests.handle(context, requestId, name, body, () => this.#status(context));
        },
        applied: (context, event) => this.#applied(context, event),
        proposalFailed: (context, { requestId, reason }) =>
            this.#pendingRequests.proposalFailed(context, requestId, reason),
        reading: (context, { requestId, reading }) => this.#pendingRequests.reading(context, requestId, reading),
        promoted: (context, { database, endpoint, term, reading }) => {
            this.#failovers.get(database)?.promoted(context, endpoint, term, reading);
        },
    };

    constructor(state: ControlState, options: LeaderOptions) {
        this.#state = state;
        this.#options = options;
        this.#hosts = new HostTable(options);
    }

    /**
     * Handles one event. `now` and `quorumContactAt` are in ms of the same monotonic clock, `wallClock` in ms since
     * the epoch. A command must have been applied to the state before its `applied` event is passed in.
     */
    handle(event: LeaderEvent, now: number, wallClock: number, quorumContactAt: number): readonly LeaderEffect[] {
        this.#quorumContactAt = quorumContactAt;
        const effects: LeaderEffect[] = [];
        const handler = this.#handlers[event.kind] as (context: LeaderContext, event: LeaderEvent) => void;
        handler(this.#context(effects, now, wallClock), event);
        return effects;
    }

    #context(effects: LeaderEffect[], now: number, wallClock: number): LeaderContext {
        const table = (): HostTable => this.#hosts;
        const context: LeaderContext = {
            state: this.#state,
            options: this.#options,
            get hosts() {
                return table();
            },
            now,
            wallClock,
            emit: (effect) => effects.push(effect),
            propose: (command, done) => this.#pendingRequests.propose(context, command, done),
            read: (database, endpoint, done) => this.#pendingRequests.read(context, database, endpoint, done),
        };
        return context;
    }

    #elected(context: LeaderContext): void {
        this.#reset(context);
        this.#leadership = { electedAt: context.now, open: false, openProposed: false };
        this.#proposeOpen(context);
    }

    #proposeOpen(context: LeaderContext): void {
        if (this.#leadership === undefined || this.#leadership.open || this.#leadership.openProposed) {
            return;
        }
        this.#leadership = { ...this.#leadership, openProposed: true };
        const command = { kind: "openLeadership", host: this.#options.hostId, at: context.wallClock } as const;
        context.propose(command, (later, outcome) => {
            if (outcome.kind === "applied") {
                this.#open(later);
            }
            else if (this.#leadership !== undefined) {
                this.#leadership = { ...this.#leadership, openProposed: false };
            }
        });
    }

    /** Called once all entries of earlier leaders are applied: possible lease holders and begun terms are now known. */
    #open(context: LeaderContext): void {
        if (this.#leadership === undefined) {
            return;
        }
        const { electedAt } = this.#leadership;
        this.#leadership = { ...this.#leadership, open: true };
        this.#hosts = new HostTable(this.#options);
        const required = this.#state.termsVersion();
        for (const host of this.#state.hosts()) {
            this.#hosts.assumePredecessorLease(host, electedAt, required);
        }
        for (const host of this.#connections.values()) {
            this.#hosts.connect(host, context.now, required);
        }
        context.emit({ kind: "event", name: "leader.open", fields: { afterMs: context.now - electedAt } });
        for (const view of this.#state.databases()) {
            const last = view.terms.at(-1);
            if (last !== undefined && last.start === undefined) {
                this.#startFailover(context, view.database, `term ${last.term} was begun but not started`);
            }
        }
    }

    #reset(context: LeaderContext): void {
        this.#requests.abandon(context);
        this.#hosts = new HostTable(this.#options);
        this.#failovers.clear();
        this.#suspicions.clear();
        this.#distribution.clear();
        this.#membership.clear();
        this.#pendingRequests.clear();
        this.#endpointPoll.clear();
        this.#silentHostNotifier.clear();
    }

    #message(
        context: LeaderContext,
        from: string,
        message: Extract<LeaderEvent, { kind: "message"; }>["message"],
    ): void {
        switch (message.kind) {
            case "renewLease":
                this.#renew(context, from, message);
                break;
            case "revoked":
                context.hosts.recordAcknowledgement(from, message.database, message.term);
                this.#failovers.get(message.database)?.advance(context);
                break;
            case "endpointObservation":
                if (this.#isOpen()) {
                    this.#observed(context, from, message);
                }
                break;
        }
    }

    #renew(context: LeaderContext, from: string, renewal: RenewLease): void {
        context.hosts.recordRenewal(from, renewal, this.#state.version(), context.now);
        if (this.#isDeciding(context)) {
            answerRenewal(context, from, renewal, this.#distribution, this.#membership);
        }
        else {
            refuseRenewal(context, from, renewal, this.#leadership === undefined ? undefined : this.#options.hostId);
        }
    }

    #observed(context: LeaderContext, from: string, observation: EndpointObservation): void {
        const { database, endpoint, term } = observation;
        const view = viewOf(this.#state, database);
        const started = startedTerm(view);
        if (started?.primary !== endpoint) {
            this.#membership.recordObservation(context, observation);
            return;
        }
        if (started.term !== term || this.#failovers.has(database)) {
            return;
        }
        this.#suspicions.report(from, observation, context.now);
    }

    #startFailover(context: LeaderContext, database: string, reason: string, first?: string): void {
        if (this.#failovers.has(database)) {
            return;
        }
        this.#suspicions.clear(database);
        const failover = new Failover(database, reason, context.now);
        this.#failovers.set(database, failover);
        context.emit({ kind: "event", name: "failover.start", fields: { database, reason } });
        failover.begin(context, first);
    }

    #tick(context: LeaderContext): void {
        this.#proposeOpen(context);
        if (!this.#isDeciding(context)) {
            return;
        }
        for (const [database, failover] of [...this.#failovers]) {
            failover.advance(context);
            this.#removeDone(database);
        }
        for (const { database, endpoint } of this.#suspicions.decide(context)) {
            this.#startFailover(context, database, `${endpoint} does not answer the entry hosts`);
        }
        this.#distribution.pushView(context);
        this.#silentHostNotifier.tick(context, this.#leadership?.electedAt ?? context.now);
        this.#endpointPoll.tick(context, (later, view) => {
            orderLateReplicasToFollow(later, view, this.#endpointPoll.probeResults(view.database));
            const first = view.terms.length === 0 ? this.#endpointPoll.solePrimary(view) : undefined;
            if (first !== undefined) {
                this.#startFailover(later, view.database, "first primary of the database", first);
            }
        });
        this.#membership.tick(context, (database, reason) => {
            this.#startFailover(context, database, reason);
        });
    }

    #applied(context: LeaderContext, { command, result }: Extract<LeaderEvent, { kind: "applied"; }>): void {
        if (this.#leadership === undefined) {
            return;
        }
        this.#pendingRequests.applied(context, command, result);
        if (command.kind === "beginTerm" || command.kind === "startTerm") {
            this.#removeDone(command.database);
            if (command.kind === "startTerm" && "outcome" in result && result.outcome === "accepted") {
                orderAllToFollow(context, viewOf(this.#state, command.database));
            }
            if (this.#isOpen()) {
                this.#distribution.pushView(context);
            }
        }
        if (result.kind === "changeConfiguration" && result.result.outcome === "accepted") {
            this.#distribution.pushConfiguration(context);
        }
    }

    #removeDone(database: string): void {
        if (this.#failovers.get(database)?.step() === FailoverStep.Done) {
            this.#failovers.delete(database);
            this.#endpointPoll.forget(database);
        }
    }

    #isOpen(): boolean {
        return this.#leadership?.open === true;
    }

    /** True while this leader may grant and decide: earlier leaders' entries are applied and its quorum answers. */
    #isDeciding(context: LeaderContext): boolean {
        return this.#isOpen() && context.now - this.#quorumContactAt < this.#options.stepDownMs;
    }

    #status(context: LeaderContext): Status {
        return buildStatus(context, {
            electedAt: this.#leadership?.electedAt ?? context.now,
            deciding: this.#isDeciding(context),
            failovers: this.#failovers,
            suspected: this.#suspicions.suspected(),
            endpointPoll: this.#endpointPoll,
        });
    }
}
