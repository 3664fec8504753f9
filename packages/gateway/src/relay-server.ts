import type { RelayOrder, RelayResult, RelayRollback } from "@medlarledge/protocol";
import { NotRunReason, type StatementOrderResult } from "@medlarledge/statements";
import type { Group } from "./group.js";

interface Kept {
    readonly host: string;
    readonly group: string;
    readonly endpoint: string;
}

/** Runs orders of other entry hosts over this host's connections. */
export class RelayServer {
    readonly #group: (name: string) => Group | undefined;
    readonly #send: (to: string, result: RelayResult) => void;
    /** Transactions of other hosts that run here, by their names. */
    readonly #transactions = new Map<string, Kept>();
    /** Orders that run here, by the host that sent them. */
    readonly #running = new Map<string, number>();

    constructor(
        group: (name: string) => Group | undefined,
        send: (to: string, result: RelayResult) => void,
    ) {
        this.#group = group;
        this.#send = send;
    }

    /** True while orders or transactions of a host run here. */
    uses(host: string): boolean {
        return (this.#running.get(host) ?? 0) > 0
            || [...this.#transactions.values()].some(transaction => transaction.host === host);
    }

    async ordered(from: string, { id, order }: RelayOrder): Promise<void> {
        this.#running.set(from, (this.#running.get(from) ?? 0) + 1);
        const group = this.#group(order.group);
        const result: StatementOrderResult = group === undefined
            ? { kind: "notRun", reason: NotRunReason.Unreachable, position: undefined }
            : await group.orders.runHere(order);
        this.#running.set(from, (this.#running.get(from) ?? 1) - 1);
        if (order.transaction !== undefined) {
            const isOpen = result.kind === "answered" && result.answer.state === "open";
            if (isOpen) {
                this.#transactions.set(order.transaction, { host: from, group: order.group, endpoint: order.endpoint });
            }
            else {
                this.#transactions.delete(order.transaction);
            }
        }
        this.#send(from, { kind: "relayResult", id, result, leader: group?.knowledge.leaderKnowledge() });
    }

    ended({ group, endpoint, transaction }: RelayRollback): void {
        this.#transactions.delete(transaction);
        this.#group(group)?.orders.endHere(endpoint, transaction);
    }

    /** A host is gone: its callers' transactions are rolled back. */
    disconnected(host: string): void {
        this.#running.delete(host);
        for (const [transaction, kept] of [...this.#transactions]) {
            if (kept.host === host) {
                this.ended({ kind: "relayEnd", ...kept, transaction });
            }
        }
    }
}
