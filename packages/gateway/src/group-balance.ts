import {
    type ChoiceReason,
    LoadAwareChoice,
    type LoadedTarget,
    PrimaryWork,
    type ReadChoice,
} from "@medlarledge/routing";
import type { LogPosition, StatementOrderResult } from "@medlarledge/statements";

/** Divides the reads of one group among its endpoints, and tracks the work that only the primary can do. */
export class GroupBalance {
    readonly #choice: LoadAwareChoice;
    readonly #chosen: (endpoint: string, reason: ChoiceReason) => void;
    readonly #work = new PrimaryWork();

    /** @param chosen called for each read that was sent to the endpoint chosen for it */
    constructor(random: () => number, chosen: (endpoint: string, reason: ChoiceReason) => void) {
        this.#chosen = chosen;
        this.#choice = new LoadAwareChoice(random);
    }

    /** Chooses the endpoint for a read; undefined when no target can serve it. */
    choose(
        required: LogPosition | undefined,
        targets: readonly LoadedTarget[],
        groupSlots: number,
    ): ReadChoice | undefined {
        const primarySlots = targets.find(target => target.isPrimary)?.slots ?? 0;
        const primaryFactor = this.#work.readFactor(primarySlots, groupSlots);
        return this.#choice.choose({ required, targets, primaryFactor });
    }

    /** Records that an order was sent to an endpoint. */
    sent(endpoint: string): void {
        const reason = this.#choice.sent(endpoint);
        if (reason !== undefined) {
            this.#chosen(endpoint, reason);
        }
    }

    /** Records the result of an order. */
    ran(onlyOnPrimary: boolean, { kind }: StatementOrderResult, tookMs: number, now: number): void {
        if (kind === "answered") {
            this.#work.ran(onlyOnPrimary, tookMs, now);
        }
    }

    forget(endpoint: string): void {
        this.#choice.forget(endpoint);
    }
}
