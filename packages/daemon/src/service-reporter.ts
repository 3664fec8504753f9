import type { ControlMessage, ServiceCounts } from "@medlarledge/protocol";
import { addCounts, EMPTY_COUNT, type ServiceCount } from "@medlarledge/telemetry";

/** How often counts are sent to the control hosts, while few databases were served. */
const BATCH_MS = 10_000;

/**
 * Databases in one batch that are worth a batch every BATCH_MS. A batch with more waits longer: 640 databases are 102 KB
 * for each control host, which every 10 s would be more than the 13 KB/s that a node may spend on control.
 */
const DATABASES_PER_BATCH = 64;

/** Time for which batches are kept for a control host that does not answer. */
const KEPT_MS = 3_600_000;

/** Sums what this host served and delivers it to every control host, each batch counted once there. */
export class ServiceReporter {
    readonly #listed: readonly string[];
    readonly #send: (to: string, message: ControlMessage) => boolean;
    readonly #unacknowledged = new Map<string, ServiceCounts[]>();
    readonly #current = new Map<string, ServiceCount>();
    #sequence = 0;
    #sentAt = 0;
    #onAcknowledged: (() => void) | undefined;

    constructor(listed: readonly string[], send: (to: string, message: ControlMessage) => boolean) {
        this.#listed = listed;
        this.#send = send;
        listed.forEach(id => this.#unacknowledged.set(id, []));
    }

    add(database: string, count: Partial<ServiceCount>): void {
        const former = this.#current.get(database) ?? EMPTY_COUNT;
        this.#current.set(database, addCounts(former, { ...EMPTY_COUNT, ...count }));
    }

    acknowledged(from: string, sequence: number): void {
        const waiting = this.#unacknowledged.get(from);
        if (waiting !== undefined) {
            this.#unacknowledged.set(from, waiting.filter(batch => batch.sequence > sequence));
            this.#onAcknowledged?.();
        }
    }

    /** Resolves when all control hosts have acknowledged everything, or after the timeout. */
    settled(timeoutMs: number): Promise<void> {
        if (this.#isSettled()) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const timer = setTimeout(resolve, timeoutMs);
            this.#onAcknowledged = () => {
                if (this.#isSettled()) {
                    clearTimeout(timer);
                    resolve();
                }
            };
        });
    }

    tick(now: number, wallClock: number): void {
        const parts = Math.max(1, Math.ceil(this.#current.size / DATABASES_PER_BATCH));
        if (now - this.#sentAt >= BATCH_MS * parts) {
            this.#sentAt = now;
            this.flush(wallClock);
        }
    }

    /** Closes the present batch and sends everything unacknowledged, oldest first. */
    flush(wallClock: number): void {
        if (this.#current.size > 0) {
            this.#sequence += 1;
            const counts = Object.fromEntries(this.#current);
            this.#current.clear();
            const batch: ServiceCounts = { kind: "serviceCounts", sequence: this.#sequence, at: wallClock, counts };
            for (const [id, waiting] of this.#unacknowledged) {
                this.#unacknowledged.set(id, [...waiting.filter(({ at }) => wallClock - at < KEPT_MS), batch]);
            }
        }
        for (const id of this.#listed) {
            this.#unacknowledged.get(id)?.forEach(batch => this.#send(id, batch));
        }
    }

    #isSettled(): boolean {
        return [...this.#unacknowledged.values()].every(waiting => waiting.length === 0);
    }
}
