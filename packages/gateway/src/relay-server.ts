import type { RelayCancellation, RelayOrder, RelayResult, RelayRollback } from "@medlarledge/protocol";
import { NotRunReason, type StatementOrder, type StatementOrderResult } from "@medlarledge/statements";
import type { Group } from "./group.js";

interface RelayedTransaction {
    readonly host: string;
    readonly group: string;
    readonly endpoint: string;
}

/** The other end of a link. A restarted process, or another link, is another sender. */
interface Sender {
    running: number;
}

/** Runs orders of other entry hosts over this host's connections. */
export class RelayServer {
    readonly #group: (name: string) => Group | undefined;
    readonly #send: (to: string, result: RelayResult) => void;
    /** Open transactions of other hosts on connections of this host, by transaction key. */
    readonly #transactions = new Map<string, RelayedTransaction>();
    /** Running orders by the host that sent them, from the beginning of the link to it until the link is lost. */
    readonly #senders = new Map<string, Sender>();

    constructor(
        group: (name: string) => Group | undefined,
        send: (to: string, result: RelayResult) => void,
    ) {
        this.#group = group;
        this.#send = send;
    }

    /** Returns true while orders run or transactions are open here for a host. */
    uses(host: string): boolean {
        return (this.#senders.get(host)?.running ?? 0) > 0
            || [...this.#transactions.values()].some(transaction => transaction.host === host);
    }

    /** Runs an order of another host and sends the result back, unless the link to the host was lost meanwhile. */
    async ordered(from: string, { id, order }: RelayOrder): Promise<void> {
        const sender = this.#senders.get(from) ?? { running: 0 };
        this.#senders.set(from, sender);
        sender.running += 1;
        const group = this.#group(order.group);
        const result: StatementOrderResult = group === undefined
            ? { kind: "notRun", reason: NotRunReason.Unreachable, position: undefined }
            : await group.orders.runLocally(order);
        sender.running -= 1;
        const isSenderGone = this.#senders.get(from) !== sender;
        if (order.transaction !== undefined) {
            this.#updateTransaction(order.transaction, from, order, result, isSenderGone);
        }
        if (isSenderGone) {
            return;
        }
        const leader = group?.state.primaryPositionReport();
        this.#send(from, { kind: "relayResult", id, result, leader, load: group?.loadReport(order.endpoint) });
    }

    #updateTransaction(
        transaction: string,
        host: string,
        { group, endpoint }: StatementOrder,
        result: StatementOrderResult,
        isSenderGone: boolean,
    ): void {
        const isOpen = result.kind === "answered" && result.answer.state === "open";
        if (isOpen && isSenderGone) {
            // It began after the transactions of the sender were rolled back, and nobody would end it.
            this.ended({ kind: "relayEnd", group, endpoint, transaction });
        }
        else if (isOpen) {
            this.#transactions.set(transaction, { host, group, endpoint });
        }
        else {
            this.#transactions.delete(transaction);
        }
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
        this.#senders.delete(host);
        for (const [transaction, relayed] of [...this.#transactions]) {
            if (relayed.host === host) {
                this.ended({ kind: "relayEnd", ...relayed, transaction });
            }
        }
    }
}
