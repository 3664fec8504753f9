import { type Admission, type Customer, type LimitAccuracy, TokenHolder } from "@medlarledge/customers";
import { ElapsedClock, type OperationLimits } from "@medlarledge/gateway";
import type { Host, Message, TokenGrant } from "@medlarledge/protocol";
import { rendezvousIds } from "@medlarledge/routing";
import type { Clock } from "@medlarledge/runtime";
import type { Log, Meter } from "@medlarledge/telemetry";
import { RefusalLog } from "./refusal-log.js";

/** The list of a new leader starts with the hosts that are linked to it, so the longest list of this time counts. */
const HOST_COUNT_MS = 15_000;

const ADMITTED: Admission = { kind: "admitted" };

export interface HostLimitsOptions {
    readonly self: Host;
    readonly accuracy: LimitAccuracy;
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    /** Ids of the entry hosts in use. */
    readonly entries: () => readonly string[];
    /** Returns false when there is no link to the leader. */
    readonly sendToLeader: (message: Message) => boolean;
}

/** An entry host's part in the limits of customers: holds tokens and exchanges them with the leader. */
export class HostLimits implements OperationLimits {
    readonly #options: HostLimitsOptions;
    readonly #elapsed: ElapsedClock;
    readonly #holder: TokenHolder;
    readonly #refusals: RefusalLog;
    readonly #ranks = new Map<string, number>();
    #timer: NodeJS.Timeout | undefined;
    #hostCount = 0;
    #hostCountUntil = 0;
    #wasAutonomous = false;

    constructor(options: HostLimitsOptions) {
        this.#options = options;
        this.#elapsed = new ElapsedClock(options.clock);
        this.#refusals = new RefusalLog(options.log);
        this.#holder = new TokenHolder(options.accuracy, () => ({
            hostCount: this.#hostCount,
            rank: customer => this.#rank(customer),
        }));
    }

    admit({ name, limit }: Customer): Promise<Admission> {
        if (limit === undefined) {
            return Promise.resolve(ADMITTED);
        }
        const now = this.#elapsed.now();
        return new Promise(resolve => {
            const isWaiting = this.#holder.admit(name, limit, now, admission => {
                this.#count(name, admission);
                resolve(admission);
            });
            if (isWaiting) {
                this.#options.meter.count("limit.waits", 1);
            }
            this.#send(now);
        });
    }

    giveBack({ name }: Customer): void {
        this.#holder.giveBack(name, this.#elapsed.now());
    }

    granted(grant: TokenGrant): void {
        const now = this.#elapsed.now();
        this.#holder.granted(grant, now);
        this.#send(now);
    }

    /** The leader has changed, or the link to it is new. */
    leaderChanged(): void {
        this.#holder.leaderChanged();
        this.#send(this.#elapsed.now());
    }

    hostsChanged(): void {
        const count = this.#options.entries().length;
        const now = this.#elapsed.now();
        if (count >= this.#hostCount || now >= this.#hostCountUntil) {
            this.#hostCount = count;
            this.#hostCountUntil = now + HOST_COUNT_MS;
        }
        this.#ranks.clear();
    }

    /** To be called about every 50 ms. */
    tick(): void {
        const now = this.#elapsed.now();
        this.#holder.tick(now);
        this.#send(now);
        this.#refusals.tick(now);
        const isAutonomous = this.#holder.isAutonomous(now);
        if (isAutonomous !== this.#wasAutonomous) {
            this.#wasAutonomous = isAutonomous;
            this.#options.log.event("limitsAutonomous", { isAutonomous });
        }
    }

    stop(): void {
        clearTimeout(this.#timer);
    }

    /** Sends the request that is due, or waits for the time at which the next one is. */
    #send(now: number): void {
        const request = this.#holder.takeRequest(now);
        if (request !== undefined) {
            this.#options.sendToLeader(request);
        }
        clearTimeout(this.#timer);
        const at = this.#holder.nextRequestAt(now);
        if (at !== undefined) {
            this.#timer = setTimeout(() => this.#send(this.#elapsed.now()), Math.max(1, at - now));
        }
    }

    #count(customer: string, admission: Admission): void {
        if (admission.kind === "refused") {
            this.#options.meter.count("limit.refused", 1, { cause: admission.cause });
            this.#refusals.refused(customer, admission, this.#elapsed.now());
        }
    }

    #rank(customer: string): number {
        let rank = this.#ranks.get(customer);
        if (rank === undefined) {
            const position = rendezvousIds(customer, this.#options.entries()).indexOf(this.#options.self.id);
            rank = position < 0 ? Number.POSITIVE_INFINITY : position;
            this.#ranks.set(customer, rank);
        }
        return rank;
    }
}
