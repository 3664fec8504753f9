import {
    type EndpointRecord,
    NO_ENDPOINT,
    type PrimaryPositionReport,
    type PromotionOrder,
} from "@medlarledge/protocol";
import { type PrimaryConfirmation, PrimaryTracker, type PromotionTimes } from "@medlarledge/routing";
import type { Clock } from "@medlarledge/runtime";
import { type LogPosition, NotRunReason, type StatementOrderResult } from "@medlarledge/statements";
import type { ElapsedClock } from "./elapsed-clock.js";
import type { ProbeResult } from "./endpoint-pool.js";
import type { GatewayListener } from "./gateway-event.js";
import { PositionTracker } from "./position-tracker.js";
import type { PrimaryPermits } from "./primary-permits.js";
import type { Route } from "./route.js";

export interface GroupStateOptions {
    readonly group: string;
    readonly clock: Clock;
    readonly elapsed: ElapsedClock;
    readonly listener: GatewayListener;
    readonly permits: PrimaryPermits;
    readonly promotionTimes: PromotionTimes;
    /** The primary of the group, or its term, changed; the leader of the control group is not meant. */
    readonly leaderChanged: () => void;
}

/** State of an endpoint group as one process observes it: its primary and the positions of its endpoints. */
export class GroupState {
    readonly #options: GroupStateOptions;
    readonly #primaryTracker = new PrimaryTracker();
    readonly #positions = new PositionTracker();
    #orderedAt: number | undefined;
    /** The endpoint whose promotion was ordered and that has not led since. */
    #awaited: string | undefined;

    constructor(options: GroupStateOptions) {
        this.#options = options;
    }

    /** The confirmed primary: the endpoint that last answered as primary and has not denied it since. */
    get confirmedPrimary(): string | undefined {
        return this.#primaryTracker.confirmed;
    }

    /** The last answer of an endpoint as primary, whether or not the endpoint has denied it since. */
    get lastConfirmation(): PrimaryConfirmation | undefined {
        return this.#primaryTracker.lastConfirmation;
    }

    /** Time of the last promotion order of control; undefined before the first. */
    get orderedAt(): number | undefined {
        return this.#orderedAt;
    }

    /** Endpoints to try as the primary, best first. */
    candidates(): readonly string[] {
        return this.#primaryTracker.candidates(this.#options.clock.now());
    }

    /** Records that control ordered the promotion of an endpoint, or that none is used as the primary for now. */
    ordered({ endpoint, fence }: PromotionOrder): void {
        this.#orderedAt = this.#options.clock.now();
        if (endpoint !== NO_ENDPOINT) {
            this.#primaryTracker.order(endpoint, fence);
            this.#awaited = endpoint;
        }
        const { confirmedPrimary } = this;
        const { group, permits } = this.#options;
        if (confirmedPrimary !== undefined && permits.isSuperseded(group, confirmedPrimary)) {
            this.#primaryDenied(confirmedPrimary);
        }
    }

    /** Records the role that an endpoint announced. */
    roleAnnounced({ id, role }: EndpointRecord): void {
        this.#primaryTracker.recordAnnouncement(id, role === "primary", this.#options.clock.now());
    }

    forget(id: string): void {
        this.#primaryTracker.remove(id);
        this.#positions.forget(id);
    }

    /**
     * The position that an endpoint must have reached to serve a read; undefined when only the primary can serve it.
     */
    required(route: Route, floor: LogPosition | undefined): LogPosition | undefined {
        return this.#positions.required(route, floor, this.#options.elapsed.now());
    }

    /** Returns true when an endpoint's log is expected to have reached a position. */
    mayHaveReached(endpoint: string, required: LogPosition): boolean {
        return this.#positions.mayHaveReached(endpoint, required, this.#options.elapsed.now());
    }

    /** Returns true when an endpoint was far behind the primary in its last answer. */
    isLagging(endpoint: string): boolean {
        return this.#positions.isLagging(endpoint);
    }

    /** The newest known position of the primary and its age, for other processes; undefined before any is known. */
    primaryPositionReport(): PrimaryPositionReport | undefined {
        return this.#positions.primaryPositionReport(this.#options.elapsed.now());
    }

    /** Updates the primary and the endpoint's position from the result of an order that was sent at `sentAt`. */
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

    /** Takes over the primary's position from another process's reply to a message that was sent at `sentAt`. */
    recordPrimaryPosition({ position, ageMs }: PrimaryPositionReport, sentAt: number): void {
        this.#positions.recordPrimaryPosition(position, sentAt - ageMs, this.#options.elapsed.now());
    }

    /** Updates the primary and the endpoint's position from the result of a probe that was sent at `sentAt`. */
    recordProbe(endpoint: string, result: ProbeResult, sentAt: number): void {
        if (result.kind === "answered") {
            this.#recordPosition(endpoint, result.position, false, sentAt);
        }
        else if (result.kind === "leads" || result.kind === "follows") {
            const { group, permits } = this.#options;
            const isPrimary = result.kind === "leads" && permits.mayUse(group, endpoint);
            this.#recordPosition(endpoint, result.position, isPrimary, sentAt);
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
        const { group, clock, promotionTimes, listener, leaderChanged } = this.#options;
        const former = this.#primaryTracker.confirmed;
        if (endpoint === this.#awaited && this.#orderedAt !== undefined) {
            this.#awaited = undefined;
            promotionTimes.observed(clock.now() - this.#orderedAt);
        }
        if (this.#primaryTracker.recordConfirmation(endpoint, term, clock.now())) {
            listener({ kind: "primary", group, endpoint, term, former });
            leaderChanged();
        }
    }

    #primaryDenied(endpoint: string): void {
        const { group, clock, listener } = this.#options;
        const { term, confirmed } = this.#primaryTracker;
        this.#primaryTracker.recordDenial(endpoint, clock.now());
        if (confirmed === endpoint) {
            listener({ kind: "denied", group, endpoint, term });
        }
    }
}
