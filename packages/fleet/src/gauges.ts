import type { GroupCondition } from "@medlarledge/gateway";
import type { Meter } from "@medlarledge/telemetry";

/** Sets the gauges of all endpoints, given the groups by name. Removes the values of endpoints that have left. */
export function setGroupGauges(meter: Meter, conditions: ReadonlyMap<string, GroupCondition>): void {
    meter.clear("pool.connections");
    meter.clear("pool.waiting");
    meter.clear("endpoint.reachable");
    meter.clear("endpoint.expected_time");
    meter.clear("endpoint.failure_share");
    meter.clear("endpoint.report_age");
    for (const [group, { endpoints }] of conditions) {
        for (const condition of endpoints) {
            const { endpoint, reach, connections, idle, transactions, waiting } = condition;
            meter.gauge("endpoint.expected_time", condition.expectedMs, { group, endpoint });
            meter.gauge("endpoint.failure_share", condition.failureShare, { group, endpoint });
            if (condition.reportAgeMs !== undefined) {
                meter.gauge("endpoint.report_age", condition.reportAgeMs, { group, endpoint });
            }
            meter.gauge("endpoint.reachable", reach === "reachable" ? 1 : 0, { group, endpoint });
            meter.gauge("pool.waiting", waiting, { group, endpoint });
            meter.gauge("pool.connections", idle, { group, endpoint, state: "idle" });
            meter.gauge("pool.connections", transactions, { group, endpoint, state: "transaction" });
            const running = Math.max(0, connections - idle - transactions);
            meter.gauge("pool.connections", running, { group, endpoint, state: "running" });
        }
    }
}

/** Measures the delay of the event loop by how late a regular timer fires. */
export class LoopDelay {
    readonly #meter: Meter;
    readonly #intervalMs: number;
    #lastAt: number | undefined;

    constructor(meter: Meter, intervalMs: number) {
        this.#meter = meter;
        this.#intervalMs = intervalMs;
    }

    /** To be called by the timer. */
    tick(now: number): void {
        if (this.#lastAt !== undefined) {
            this.#meter.timing("loop.delay", Math.max(0, now - this.#lastAt - this.#intervalMs));
        }
        this.#lastAt = now;
    }
}
