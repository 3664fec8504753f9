import type { RelayCancellation, RelayOrder, RelayResult, RelayRollback } from "@medlarledge/protocol";
import { NotRunReason, type StatementOrderResult } from "@medlarledge/statements";
import type { Group } from "./group.js";

interface RelayedTransaction {
    readonly host: string;
    readonly group: string;
    readonly endpoint: string;
}

/** Runs orders of other entry hosts over this host's connections. */
export class RelayServer {
    readonly #group: (name: string) => Group | undefined;
    readonly #send: (to: string, result: RelayResult) => void;
    /** Open transactions of other hosts on connections of this host, by transaction key. */
    readonly #transactions = new Map<string, RelayedTransaction>();
    /** Number of running orders, by the host that sent them. */
    readonly #running = new Map<string, number>();

    constructor(
        group: (name: string) => Group | undefined,
        send: (to: string, result: RelayResult) => void,
    ) {
        this.#group = group;
        this.#send = send;
    }

    /** Returns true while orders run or transactions are open here for a host. */
    uses(host: string): boolean {
        return (this.#running.get(host) ?? 0) > 0
            || [...this.#transactions.values()].some(transaction => transaction.host === host);
    }

    /** Runs an order of another host and sends the result back. */
    async ordered(from: string, { id, order }: RelayOrder): Promise<void> {
        this.#running.set(from, (this.#running.get(from) ?? 0) + 1);
        const group = this.#group(order.group);
        const result: StatementOrderResult = group === undefined
            ? { kind: "notRun", reason: NotRunReason.Unreachable, position: undefined }
            : await group.orders.runLocally(order);
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
        const leader = group?.state.primaryPositionReport();
        this.#send(from, { kind: "relayResult", id, result, leader, load: group?.loadReport(order.endpoint) });
    }

    /** Removes the waiting orders of another host's caller, who has left. Their results are still sent back. */
    cancelled({ group, endpoint, session }: RelayCancellation): void {
        this.#group(group)?.orders.cancelLocally(endpoint, session);
    }

    /** Rolls back a transaction of another host. */
    ended({ group, endpoint, transaction }: RelayRollback): void {
        this.#transactions.delete(transaction);
        this.#group(group)?.orders.endLocally(endpoint, transaction);
    }

    /** Rolls back the transactions of a host to which the link is lost. */
    disconnected(host: string): void {
        this.#running.delete(host);
        for (const [transaction, relayed] of [...this.#transactions]) {
            if (relayed.host === host) {
                this.ended({ kind: "relayEnd", ...relayed, transaction });
            }
        }
    }
}
