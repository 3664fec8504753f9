import type { EndpointRecord } from "@medlarledge/protocol";
import { EndpointLoad, EndpointReachability, Reachability } from "@medlarledge/routing";
import type { Clock } from "@medlarledge/runtime";
import {
    type ConnectFailure,
    type EndpointConnector,
    isEndpointFault,
    type StatementOrder,
    type StatementOrderResult,
    UnknownReason,
} from "@medlarledge/statements";
import { EndpointPool, type Eviction, type ProbeResult } from "./endpoint-pool.js";
import type { EndpointCondition } from "./group-condition.js";

/** Connections kept open to each endpoint, so that the first request does not wait for one. */
const WARM_CONNECTIONS = 1;

/** A probe that is not answered in this time shows a silent endpoint; probes wait for no slot. */
const PROBE_TIMEOUT_MS = 200;

/** An endpoint that answered nothing for this long while orders are outstanding is probed. */
const QUIET_MS = 100;

/** What a failed attempt to connect tells about the endpoint. A busy one answers late and is not taken for lost. */
const REACH_AFTER: Partial<Record<ConnectFailure["kind"], Exclude<Reachability, "reachable">>> = {
    refused: Reachability.Closed,
    timeout: Reachability.Silent,
    misrouted: Reachability.Replaced,
};

export interface ReachChange {
    readonly endpoint: string;
    readonly reach: Reachability;
    readonly former: Reachability;
    readonly quietMs: number | undefined;
    readonly cause: string;
}

export interface GroupEndpointOptions {
    readonly connector: EndpointConnector;
    readonly clock: Clock;
    /** Connections that this process may hold to the endpoint. */
    readonly share: (record: EndpointRecord) => number;
    readonly reachChanged: (change: ReachChange) => void;
    /** A caller's resting transaction was rolled back. */
    readonly evicted: (endpoint: string, eviction: Eviction) => void;
}

/** One endpoint of a group as one process uses it: its connections, its load, and whether it answers. */
export class GroupEndpoint {
    readonly #options: GroupEndpointOptions;
    readonly #pool: EndpointPool;
    readonly #reach = new EndpointReachability();
    readonly #load = new EndpointLoad();
    /** Gives up reads that wait for this endpoint, so that they go elsewhere. */
    readonly #abandon = new Set<(reason: UnknownReason) => void>();
    #record: EndpointRecord;
    #isProbed = false;

    constructor(record: EndpointRecord, options: GroupEndpointOptions) {
        this.#record = record;
        this.#options = options;
        const { id, host, port, group } = record;
        this.#pool = new EndpointPool({
            address: { id, group, host, port },
            connector: options.connector,
            clock: options.clock,
            limit: () => this.share,
            averageMs: () => this.#load.averageMs(options.clock.now()),
            overdueMs: () => this.#load.overdueMs(options.clock.now()),
            events: {
                answered: () => this.#answered(),
                connected: () => this.#answered(),
                connectFailed: (failure, startedAt) => this.#connectFailed(failure, startedAt),
                closed: () => this.#pool.warm(WARM_CONNECTIONS),
                evicted: eviction => options.evicted(this.#record.id, eviction),
            },
        });
    }

    get record(): EndpointRecord {
        return this.#record;
    }

    set record(record: EndpointRecord) {
        this.#record = record;
    }

    get pool(): EndpointPool {
        return this.#pool;
    }

    /** Connections that this process may hold. */
    get share(): number {
        return this.#options.share(this.#record);
    }

    get isReachable(): boolean {
        return this.#reach.isReachable;
    }

    /** This process may hold connections to the endpoint, and it answers. */
    get isDirect(): boolean {
        return this.#reach.isReachable && this.share > 0;
    }

    /** True when the record is of the same run of the endpoint at the same address. */
    isSame({ born, host, port }: EndpointRecord): boolean {
        return this.#record.born === born && this.#record.host === host && this.#record.port === port;
    }

    /** True when the endpoint has answered nothing for longer than `forMs`. */
    isQuiet(forMs: number, now: number): boolean {
        return now - this.#reach.answeredAt > forMs;
    }

    /** Expected time until one more order would be answered, in ms. */
    expectedMs(now: number): number {
        return this.#load.expectedMs(this.#record.slots, now);
    }

    condition(now: number): EndpointCondition {
        const { answeredAt, reach } = this.#reach;
        const { size, idle, transactions, waiting } = this.#pool;
        return {
            endpoint: this.#record.id,
            reach,
            quietMs: Number.isFinite(answeredAt) ? now - answeredAt : undefined,
            connections: size,
            idle,
            transactions,
            waiting,
            running: this.#load.running,
        };
    }

    /** Counts an order that runs, over whichever connection, as load of the endpoint. */
    async measure(run: () => Promise<StatementOrderResult>): Promise<StatementOrderResult> {
        const { clock } = this.#options;
        const startedAt = clock.now();
        this.#load.started();
        const result = await run();
        const now = clock.now();
        this.#load.ended(this.#tookMs(result, now - startedAt, now), now);
        return result;
    }

    /**
     * Time that the order tells of the endpoint. A lost answer tells no more than that it is overdue; a failure costs its
     * caller as much.
     */
    #tookMs(result: StatementOrderResult, tookMs: number, now: number): number | undefined {
        switch (result.kind) {
            case "notRun":
                return undefined;
            case "answered": {
                const { completion } = result.answer;
                const isFault = completion.kind === "error" && isEndpointFault(completion.code);
                return isFault ? Math.max(tookMs, this.#load.overdueMs(now)) : tookMs;
            }
            case "unknown":
                return Math.min(tookMs, this.#load.overdueMs(now));
        }
    }

    /**
     * Gives an order up as soon as the endpoint is found unreachable, or when it is overdue and may be repeated.
     * @param ended called when the order that was given up has ended
     */
    abandonable(
        running: Promise<StatementOrderResult>,
        { mayRepeat, ended }: { readonly mayRepeat: () => boolean; readonly ended: () => void; },
    ): Promise<StatementOrderResult> {
        return new Promise(resolve => {
            let isAbandoned = false;
            const abandon = (reason: UnknownReason): void => {
                isAbandoned = true;
                resolve({ kind: "unknown", reason });
            };
            const overdueMs = this.#load.overdueMs(this.#options.clock.now());
            const timer = setTimeout(() => mayRepeat() && abandon(UnknownReason.Overdue), overdueMs);
            this.#abandon.add(abandon);
            void running.then(result => {
                clearTimeout(timer);
                this.#abandon.delete(abandon);
                resolve(result);
                if (isAbandoned) {
                    ended();
                }
            });
        });
    }

    run(order: StatementOrder): Promise<StatementOrderResult> {
        return this.#pool.run(order);
    }

    /** Opens a connection ahead of the first request. */
    warm(): void {
        this.#pool.warm(WARM_CONNECTIONS);
    }

    /** Closes what is not needed and tries an unreachable endpoint again. Returns true when a probe is due. */
    maintain(isActive: boolean, now: number): boolean {
        this.#pool.maintain(WARM_CONNECTIONS);
        if (this.isReachable && isActive) {
            this.warm();
        }
        if (this.share > 0 && this.#reach.isTrialDue(now)) {
            this.#pool.warm(this.#pool.size + 1);
            return false;
        }
        return this.isReachable && this.#load.running > 0 && this.isQuiet(QUIET_MS, now);
    }

    /** Asks the endpoint whether it answers and leads; undefined while another probe is under way. */
    async probe(): Promise<ProbeResult | undefined> {
        if (this.#isProbed) {
            return undefined;
        }
        this.#isProbed = true;
        const result = await this.#pool.probe(PROBE_TIMEOUT_MS);
        this.#isProbed = false;
        if (result.kind === "unanswered") {
            this.#unreachable(Reachability.Silent, "a probe was not answered");
        }
        return result;
    }

    endTransaction(transaction: string): void {
        this.#pool.endTransaction(transaction);
    }

    /** Takes no more orders. */
    close(): void {
        this.#pool.close();
    }

    #answered(): void {
        const former = this.#reach.reach;
        const quietMs = this.#quietMs();
        if (this.#reach.answered(this.#options.clock.now())) {
            this.#changed(former, quietMs, "it answers");
        }
    }

    #connectFailed(failure: ConnectFailure, startedAt: number): void {
        const reach = REACH_AFTER[failure.kind];
        // An attempt that began before the endpoint last answered says nothing about the present.
        if (reach !== undefined && this.#reach.answeredAt <= startedAt) {
            this.#unreachable(reach, `connecting failed: ${failure.kind}`);
        }
    }

    #unreachable(reach: Exclude<Reachability, "reachable">, cause: string): void {
        const former = this.#reach.reach;
        if (this.#reach.failed(reach, this.#options.clock.now())) {
            this.#changed(former, this.#quietMs(), cause);
            for (const abandon of [...this.#abandon]) {
                abandon(UnknownReason.Timeout);
            }
        }
    }

    #quietMs(): number | undefined {
        const { answeredAt } = this.#reach;
        return Number.isFinite(answeredAt) ? this.#options.clock.now() - answeredAt : undefined;
    }

    #changed(former: Reachability, quietMs: number | undefined, cause: string): void {
        const { reach } = this.#reach;
        this.#options.reachChanged({ endpoint: this.#record.id, reach, former, quietMs, cause });
    }
}
