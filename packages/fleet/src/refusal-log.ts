import type { Admission } from "@medlarledge/customers";
import type { Log } from "@medlarledge/telemetry";

/** Refusals of one customer are logged at the first one and then as a count per interval. */
const INTERVAL_MS = 1_000;

/** Customers that are logged apart in an interval; the others are counted together. */
const MAX_CUSTOMERS = 10;

const OTHERS = "(others)";

type Refusal = Extract<Admission, { kind: "refused"; }>;

/** Logs the refusals of operations beyond customers' limits, with a bounded number of lines. */
export class RefusalLog {
    readonly #log: Log;
    /** Refusals since the last line, by customer. */
    readonly #counts = new Map<string, number>();
    #loggedAt = Number.NEGATIVE_INFINITY;

    constructor(log: Log) {
        this.#log = log;
    }

    refused(customer: string, { cause, retryAfterMs }: Refusal, now: number): void {
        const key = this.#counts.has(customer) || this.#counts.size < MAX_CUSTOMERS ? customer : OTHERS;
        const count = this.#counts.get(key);
        if (this.#counts.size === 0) {
            this.#loggedAt = now;
        }
        if (count === undefined && key !== OTHERS) {
            this.#log.event("customerLimited", { customer, cause, retryAfterMs, refused: 1 });
        }
        this.#counts.set(key, count === undefined && key !== OTHERS ? 0 : (count ?? 0) + 1);
    }

    /** Logs the counts of the interval that has passed; to be called regularly. */
    tick(now: number): void {
        if (this.#counts.size === 0 || now - this.#loggedAt < INTERVAL_MS) {
            return;
        }
        this.#loggedAt = now;
        for (const [customer, refused] of this.#counts) {
            if (refused > 0) {
                this.#log.event("customerLimited", { customer, refused });
                this.#counts.set(customer, 0);
            }
            else {
                this.#counts.delete(customer);
            }
        }
    }
}
