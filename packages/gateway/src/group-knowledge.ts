import type { EndpointRecord, PrimaryPositionReport, PromotionOrder } from "@medlarledge/protocol";
import { type PrimaryConfirmation, PrimaryTracker } from "@medlarledge/routing";
import type { Clock } from "@medlarledge/runtime";
import { type LogPosition, NotRunReason, type StatementOrderResult } from "@medlarledge/statements";
import type { ElapsedClock } from "./elapsed-clock.js";
import type { ProbeResult } from "./endpoint-pool.js";
import { Freshness } from "./freshness.js";
import type { GatewayListener } from "./gateway-event.js";
import type { Route } from "./route.js";

export interface GroupKnowledgeOptions {
    readonly group: string;
    readonly clock: Clock;
    readonly elapsed: ElapsedClock;
    readonly listener: GatewayListener;
    /** Another endpoint, or a newer term, was seen to lead. */
    readonly leaderChanged: () => void;
}

/** What one process has learned of a group's leader and positions, from answers, announcements and orders. */
export class GroupKnowledge {
    readonly #options: GroupKnowledgeOptions;
    readonly #belief = new PrimaryTracker();
    readonly #freshness = new Freshness();
    #orderedAt: number | undefined;

    constructor(options: GroupKnowledgeOptions) {
        this.#options = options;
    }

    /** The endpoint that was last seen to lead and has not denied it since. */
    get proved(): string | undefined {
        return this.#belief.confirmed;
    }

    /** The endpoint last seen to lead, whether or not it has denied it since. */
    get lastProof(): PrimaryConfirmation | undefined {
        return this.#belief.lastConfirmation;
    }

    /** When control last ordered a promotion. */
    get orderedAt(): number | undefined {
        return this.#orderedAt;
    }

    /** Endpoints to try as the primary, best first. */
    candidates(): readonly string[] {
        return this.#belief.candidates(this.#options.clock.now());
    }

    ordered({ endpoint, fence }: PromotionOrder): void {
        this.#belief.order(endpoint, fence);
        this.#orderedAt = this.#options.clock.now();
    }

    /** An endpoint announced its role. */
    claimed({ id, role }: EndpointRecord): void {
        this.#belief.recordAnnouncement(id, role === "primary", this.#options.clock.now());
    }

    forget(id: string): void {
        this.#belief.remove(id);
        this.#freshness.forget(id);
    }

    /** The position that a read demands; undefined when only the leader can prove that it is fresh. */
    required(route: Route, floor: LogPosition | undefined): LogPosition | undefined {
        return this.#freshness.required(route, floor, this.#options.elapsed.now());
    }

    /** Whether an endpoint's log is expected to have reached a position. */
    mayHold(endpoint: string, required: LogPosition): boolean {
        return this.#freshness.mayHold(endpoint, required, this.#options.elapsed.now());
    }

    /** Whether an endpoint was far behind its leader when it last answered. */
    lags(endpoint: string): boolean {
        return this.#freshness.lags(endpoint);
    }

    /** What this process knows of the leader's position, for processes that know less. */
    leaderKnowledge(): PrimaryPositionReport | undefined {
        return this.#freshness.leaderKnowledge(this.#options.elapsed.now());
    }

    /** Learns from the result of an order that was sent at `askedAt`. */
    learn(endpoint: string, result: StatementOrderResult, askedAt: number): void {
        if (result.kind === "answered") {
            this.#positionSeen(endpoint, result.answer.position, result.led, askedAt);
        }
        else if (result.kind === "notRun") {
            this.#positionSeen(endpoint, result.position, false, askedAt);
            if (result.reason === NotRunReason.NotPrimary) {
                this.#denied(endpoint);
            }
        }
    }

    /** Learns what another process knew of the leader when it answered something sent at `askedAt`. */
    learnOfLeader({ position, ageMs }: PrimaryPositionReport, askedAt: number): void {
        this.#freshness.leaderAt(position, askedAt - ageMs, this.#options.elapsed.now());
    }

    /** Learns from a probe that was sent at `askedAt`. */
    probed(endpoint: string, result: ProbeResult, askedAt: number): void {
        if (result.kind === "leads" || result.kind === "follows") {
            this.#positionSeen(endpoint, result.position, result.kind === "leads", askedAt);
            if (result.kind === "follows") {
                this.#denied(endpoint);
            }
        }
    }

    #positionSeen(endpoint: string, position: LogPosition | undefined, led: boolean, askedAt: number): void {
        if (position === undefined) {
            return;
        }
        const seenAt = this.#options.elapsed.now();
        if (led) {
            this.#freshness.leaderAt(position, askedAt, seenAt);
            this.#proved(endpoint, position.term);
        }
        this.#freshness.endpointAt(endpoint, position, askedAt, seenAt);
    }

    #proved(endpoint: string, term: number): void {
        const { group, clock, listener, leaderChanged } = this.#options;
        const former = this.#belief.confirmed;
        if (this.#belief.recordConfirmation(endpoint, term, clock.now())) {
            listener({ kind: "primary", group, endpoint, term, former });
            leaderChanged();
        }
    }

    #denied(endpoint: string): void {
        const { group, clock, listener } = this.#options;
        const { term, confirmed } = this.#belief;
        this.#belief.recordDenial(endpoint, clock.now());
        if (confirmed === endpoint) {
            listener({ kind: "denied", group, endpoint, term });
        }
    }
}
