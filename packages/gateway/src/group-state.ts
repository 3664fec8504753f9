import type { EndpointRecord, PrimaryPositionReport, PromotionOrder } from "@medlarledge/protocol";
import { PrimaryBelief, type Proof } from "@medlarledge/routing";
import type { Clock } from "@medlarledge/runtime";
import { type LogPosition, NotRunReason, type StatementOrderResult } from "@medlarledge/statements";
import type { ElapsedClock } from "./elapsed-clock.js";
import type { ProbeResult } from "./endpoint-pool.js";
import type { GatewayListener } from "./gateway-event.js";
import { PositionTracker } from "./position-tracker.js";
import type { Route } from "./route.js";

export interface GroupStateOptions {
    readonly group: string;
    readonly clock: Clock;
    readonly elapsed: ElapsedClock;
    readonly listener: GatewayListener;
    /** Another endpoint, or a newer term, was seen to lead. */
    readonly leaderChanged: () => void;
}

/** What one process has learned of a group's leader and positions, from answers, announcements and orders. */
export class GroupState {
    readonly #options: GroupStateOptions;
    readonly #primaryTracker = new PrimaryBelief();
    readonly #positions = new PositionTracker();
    #orderedAt: number | undefined;

    constructor(options: GroupStateOptions) {
        this.#options = options;
    }

    /** The endpoint that was last seen to lead and has not denied it since. */
    get proved(): string | undefined {
        return this.#primaryTracker.proved;
    }

    /** The endpoint last seen to lead, whether or not it has denied it since. */
    get lastConfirmation(): Proof | undefined {
        return this.#primaryTracker.lastProof;
    }

    /** When control last ordered a promotion. */
    get orderedAt(): number | undefined {
        return this.#orderedAt;
    }

    /** Endpoints to try as the primary, best first. */
    candidates(): readonly string[] {
        return this.#primaryTracker.candidates(this.#options.clock.now());
    }

    ordered({ endpoint, fence }: PromotionOrder): void {
        this.#primaryTracker.order(endpoint, fence);
        this.#orderedAt = this.#options.clock.now();
    }

    /** An endpoint announced its role. */
    roleAnnounced({ id, role }: EndpointRecord): void {
        this.#primaryTracker.claim(id, role === "primary", this.#options.clock.now());
    }

    forget(id: string): void {
        this.#primaryTracker.forget(id);
        this.#positions.forget(id);
    }

    /** The position that a read demands; undefined when only the leader can prove that it is fresh. */
    required(route: Route, floor: LogPosition | undefined): LogPosition | undefined {
        return this.#positions.required(route, floor, this.#options.elapsed.now());
    }

    /** Whether an endpoint's log is expected to have reached a position. */
    mayHaveReached(endpoint: string, required: LogPosition): boolean {
        return this.#positions.mayHaveReached(endpoint, required, this.#options.elapsed.now());
    }

    /** Whether an endpoint was far behind its leader when it last answered. */
    isLagging(endpoint: string): boolean {
        return this.#positions.isLagging(endpoint);
    }

    /** What this process knows of the leader's position, for processes that know less. */
    primaryPositionReport(): PrimaryPositionReport | undefined {
        return this.#positions.primaryPositionReport(this.#options.elapsed.now());
    }

    /** Learns from the result of an order that was sent at `askedAt`. */
    recordResult(endpoint: string, result: StatementOrderResult, sentAt: number): void {
        if (result.kind === "answered") {
            this.#recordPosition(endpoint, result.answer.position, result.led, sentAt);
        }
        else if (result.kind === "notRun") {
            this.#recordPosition(endpoint, result.position, false, sentAt);
            if (result.reason === NotRunReason.NotPrimary) {
                this.#primaryDenied(endpoint);
            }
        }
    }

    /** Learns what another process knew of the leader when it answered something sent at `askedAt`. */
    recordPrimaryPosition({ position, ageMs }: PrimaryPositionReport, sentAt: number): void {
        this.#positions.recordPrimaryPosition(position, sentAt - ageMs, this.#options.elapsed.now());
    }

    /** Learns from a probe that was sent at `askedAt`. */
    recordProbe(endpoint: string, result: ProbeResult, sentAt: number): void {
        if (result.kind === "leads" || result.kind === "follows") {
            this.#recordPosition(endpoint, result.position, result.kind === "leads", sentAt);
            if (result.kind === "follows") {
                this.#primaryDenied(endpoint);
            }
        }
    }

    #recordPosition(endpoint: string, position: LogPosition | undefined, led: boolean, sentAt: number): void {
        if (position === undefined) {
            return;
        }
        const receivedAt = this.#options.elapsed.now();
        if (led) {
            this.#positions.recordPrimaryPosition(position, sentAt, receivedAt);
            this.#primaryConfirmed(endpoint, position.term);
        }
        this.#positions.recordEndpointPosition(endpoint, position, sentAt, receivedAt);
    }

    #primaryConfirmed(endpoint: string, term: number): void {
        const { group, clock, listener, leaderChanged } = this.#options;
        const former = this.#primaryTracker.proved;
        if (this.#primaryTracker.prove(endpoint, term, clock.now())) {
            listener({ kind: "primary", group, endpoint, term, former });
            leaderChanged();
        }
    }

    #primaryDenied(endpoint: string): void {
        const { group, clock, listener } = this.#options;
        const { term, proved } = this.#primaryTracker;
        this.#primaryTracker.deny(endpoint, clock.now());
        if (proved === endpoint) {
            listener({ kind: "denied", group, endpoint, term });
        }
    }
}
