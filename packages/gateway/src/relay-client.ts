import type { PrimaryPositionReport, RelayOrder, RelayResult, RelayRollback } from "@medlarledge/protocol";
import type { Clock } from "@medlarledge/runtime";
import { NotRunReason, type StatementOrder, type StatementOrderResult, UnknownReason } from "@medlarledge/statements";

/** A host that could not run an order for an endpoint is asked again after this time. */
const ASK_AGAIN_MS = 500;

/** Hosts that one order is offered to at most. */
const MAX_HOSTS = 3;

/** A link that could not be opened is tried again after this time. */
const LINK_AGAIN_MS = 500;

/**
 * An order waits this long for a connection of a host while others may have a free one; statements of both users take
 * 3 to 30 ms.
 */
export const FULL_POOL_MS = 60;

/** Longest wait for the link to a host; opening one takes some ms. */
const LINK_MS = 150;

/** A host that answers nothing for this long is asked last: the link to it may be cut without a reset. */
const QUIET_MS = 150;

/** Links to other entry hosts. */
export interface RelayLinks {
    /** Opens a link unless there is one. Resolves to false when it cannot be opened in time. */
    open(host: string, timeoutMs: number): Promise<boolean>;
    send(host: string, message: RelayOrder | RelayRollback): boolean;
}

export interface RelayClientOptions {
    readonly clock: Clock;
    readonly links: RelayLinks;
    /** Hosts that may hold connections to an endpoint, best first, without this one. */
    readonly hosts: (group: string, endpoint: string) => readonly string[];
}

interface Outstanding {
    readonly host: string;
    readonly resolve: (result: StatementOrderResult, leader: PrimaryPositionReport | undefined) => void;
    readonly timer: NodeJS.Timeout;
}

export interface Relayed {
    readonly result: StatementOrderResult;
    readonly leader: PrimaryPositionReport | undefined;
}

/** Runs orders over connections that other entry hosts hold. */
export class RelayClient {
    readonly #options: RelayClientOptions;
    readonly #outstanding = new Map<number, Outstanding>();
    /** Where the callers' transactions run, by their names. */
    readonly #transactions = new Map<string, string>();
    /** Since when hosts owe answers and have given none. */
    readonly #owingSince = new Map<string, number>();
    readonly #failedAt = new Map<string, number>();
    /** Hosts to which no link could be opened, and when one was last tried. */
    readonly #unlinkedAt = new Map<string, number>();
    #lastId = 0;

    constructor(options: RelayClientOptions) {
        this.#options = options;
    }

    /** True when some host may run orders for the endpoint. */
    canReach(group: string, endpoint: string): boolean {
        return this.#candidates(group, endpoint).length > 0;
    }

    /** Runs an order on the first host that can. */
    async run(order: StatementOrder): Promise<Relayed> {
        if (order.opening.kind === "continued") {
            return this.#continue(order);
        }
        const { clock } = this.#options;
        const giveUpAt = clock.now() + order.patienceMs;
        let last: Relayed = notRun(NotRunReason.Unreachable);
        const hosts = this.#candidates(order.group, order.endpoint).slice(0, MAX_HOSTS);
        for (const [index, host] of hosts.entries()) {
            const leftMs = giveUpAt - clock.now();
            if (leftMs <= 0) {
                return last;
            }
            const patienceMs = index === hosts.length - 1 ? leftMs : Math.min(leftMs, FULL_POOL_MS);
            last = await this.#runAt(host, { ...order, patienceMs });
            if (!this.#isOfHost(last)) {
                return last;
            }
            this.#noteRefusal(host, order.endpoint, last.result);
        }
        return last;
    }

    /** Rolls a transaction back. Returns false when it does not run at another host. */
    endTransaction(group: string, endpoint: string, transaction: string): boolean {
        const host = this.#transactions.get(transaction);
        this.#transactions.delete(transaction);
        if (host === undefined) {
            return false;
        }
        this.#options.links.send(host, { kind: "relayEnd", group, endpoint, transaction });
        return true;
    }

    replied({ id, result, leader }: RelayResult): void {
        const outstanding = this.#outstanding.get(id);
        if (outstanding !== undefined) {
            this.#owingSince.set(outstanding.host, this.#options.clock.now());
            this.#finish(id, outstanding);
            outstanding.resolve(result, leader);
        }
    }

    /** True while answers are outstanding at a host or transactions run there. */
    uses(host: string): boolean {
        return [...this.#outstanding.values()].some(outstanding => outstanding.host === host)
            || [...this.#transactions.values()].includes(host);
    }

    /** The link to a host is lost, and with it the transactions and answers behind it. */
    disconnected(host: string): void {
        for (const [id, outstanding] of [...this.#outstanding]) {
            if (outstanding.host === host) {
                this.#finish(id, outstanding);
                outstanding.resolve({ kind: "unknown", reason: UnknownReason.RelayLost }, undefined);
            }
        }
        for (const [transaction, at] of [...this.#transactions]) {
            if (at === host) {
                this.#transactions.delete(transaction);
            }
        }
    }

    #continue(order: StatementOrder): Promise<Relayed> {
        const host = this.#transactions.get(order.transaction ?? "");
        return host === undefined
            ? Promise.resolve(notRun(NotRunReason.TransactionLost))
            : this.#runAt(host, order);
    }

    async #runAt(host: string, order: StatementOrder): Promise<Relayed> {
        if (!await this.#options.links.open(host, Math.min(LINK_MS, order.patienceMs))) {
            this.#unlinkedAt.set(host, this.#options.clock.now());
            return notRun(NotRunReason.Unreachable);
        }
        this.#unlinkedAt.delete(host);
        const relayed = await this.#send(host, order);
        this.#keep(host, order, relayed.result);
        return relayed;
    }

    #send(host: string, order: StatementOrder): Promise<Relayed> {
        this.#lastId += 1;
        const id = this.#lastId;
        return new Promise(resolve => {
            const timer = setTimeout(() => {
                this.#forget(id, host);
                resolve({ result: { kind: "unknown", reason: UnknownReason.Timeout }, leader: undefined });
            }, order.timeoutMs);
            const settle: Outstanding["resolve"] = (result, leader) => resolve({ result, leader });
            this.#outstanding.set(id, { host, resolve: settle, timer });
            if (!this.#owingSince.has(host)) {
                this.#owingSince.set(host, this.#options.clock.now());
            }
            if (!this.#options.links.send(host, { kind: "relayOrder", id, order })) {
                this.replied({ kind: "relayResult", id, ...notRun(NotRunReason.Unreachable) });
            }
        });
    }

    #keep(host: string, { transaction, statement }: StatementOrder, result: StatementOrderResult): void {
        if (transaction === undefined) {
            return;
        }
        const isOpen = result.kind === "answered" && result.answer.state === "open" && statement.kind !== "commit";
        if (isOpen) {
            this.#transactions.set(transaction, host);
        }
        else {
            this.#transactions.delete(transaction);
        }
    }

    /** A host without a free connection will have one soon; one that does not reach the endpoint is left out for a while. */
    #noteRefusal(host: string, endpoint: string, result: StatementOrderResult): void {
        if (result.kind === "notRun" && result.reason === NotRunReason.Unreachable) {
            this.#failedAt.set(keyOf(host, endpoint), this.#options.clock.now());
        }
    }

    /** The host could not run the order, another one may. */
    #isOfHost({ result }: Relayed): boolean {
        return result.kind === "notRun"
            && (result.reason === NotRunReason.Unreachable || result.reason === NotRunReason.NoConnection);
    }

    /** Hosts to offer an order to, best first. */
    #candidates(group: string, endpoint: string): readonly string[] {
        const now = this.#options.clock.now();
        const hosts = this.#options.hosts(group, endpoint);
        this.#tryLinks(hosts, now);
        const usable = hosts.filter(host =>
            now - (this.#failedAt.get(keyOf(host, endpoint)) ?? -Infinity) >= ASK_AGAIN_MS
            && !this.#unlinkedAt.has(host)
        );
        const quiet = usable.filter(host => this.#isQuiet(host, now));
        return quiet.length === 0 ? usable : [...usable.filter(host => !quiet.includes(host)), ...quiet];
    }

    #isQuiet(host: string, now: number): boolean {
        return now - (this.#owingSince.get(host) ?? Infinity) >= QUIET_MS;
    }

    /** Tries again to link hosts that could not be linked. Orders do not wait for it, and leave these hosts out. */
    #tryLinks(hosts: readonly string[], now: number): void {
        if (this.#unlinkedAt.size === 0) {
            return;
        }
        for (const host of hosts) {
            const triedAt = this.#unlinkedAt.get(host);
            if (triedAt !== undefined && now - triedAt >= LINK_AGAIN_MS) {
                this.#unlinkedAt.set(host, now);
                void this.#tryLink(host);
            }
        }
    }

    async #tryLink(host: string): Promise<void> {
        if (await this.#options.links.open(host, LINK_MS)) {
            this.#unlinkedAt.delete(host);
        }
    }

    #finish(id: number, { host, timer }: Outstanding): void {
        clearTimeout(timer);
        this.#forget(id, host);
    }

    #forget(id: number, host: string): void {
        this.#outstanding.delete(id);
        if (![...this.#outstanding.values()].some(outstanding => outstanding.host === host)) {
            this.#owingSince.delete(host);
        }
    }
}

function notRun(reason: NotRunReason): Relayed {
    return { result: { kind: "notRun", reason, position: undefined }, leader: undefined };
}

function keyOf(host: string, endpoint: string): string {
    return `${host} ${endpoint}`;
}
