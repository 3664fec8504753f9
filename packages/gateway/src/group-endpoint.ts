import { type EndpointRecord, EndpointState } from "@medlarledge/protocol";
import {
    EndpointLoad,
    EndpointReachability,
    type LoadedTarget,
    LoadEstimate,
    Reachability,
} from "@medlarledge/routing";
import type { Clock } from "@medlarledge/runtime";
import {
    type ConnectFailure,
    type EndpointConnector,
    isEndpointFault,
    type LoadReport,
    type StatementOrder,
    type StatementOrderResult,
    UnknownReason,
} from "@medlarledge/statements";
import type { Opening } from "./connection-pool-options.js";
import { EndpointPool, type Eviction, type ProbeResult } from "./endpoint-pool.js";
import type { EndpointCondition } from "./group-condition.js";
import { isPlainRead } from "./primary-order.js";

/** Connections kept open to each endpoint, so that the first request does not wait for a connection. */
const MIN_CONNECTIONS = 1;

/** Without an answer to a probe in this time the endpoint counts as silent. Probes do not wait for a slot. */
const PROBE_TIMEOUT_MS = 200;

/** An endpoint that has answered nothing for longer while orders are outstanding is probed. */
const MAX_QUIET_MS = 100;

/**
 * Part of the time for which a leaving endpoint serves that is kept for the way of its announcement to this host, and of
 * a statement to the endpoint while processes are overloaded.
 */
const DRAIN_MARGIN_MS = 1_000;

/**
 * Reachability of an endpoint after a failed attempt to connect. Other failures say nothing: a busy endpoint only
 * answers late.
 */
const REACHABILITY_BY_FAILURE: Partial<Record<ConnectFailure["kind"], Exclude<Reachability, "reachable">>> = {
    refused: Reachability.Closed,
    timeout: Reachability.Silent,
    misrouted: Reachability.Replaced,
};

export interface ReachabilityChange {
    readonly endpoint: string;
    readonly reach: Reachability;
    readonly former: Reachability;
    readonly quietMs: number | undefined;
    readonly cause: string;
}

export interface FailingChange {
    readonly endpoint: string;
    readonly isFailing: boolean;
    readonly failureShare: number;
}

export interface GroupEndpointOptions {
    readonly connector: EndpointConnector;
    readonly clock: Clock;
    /** Maximum number of connections that this process may have to the endpoint. */
    readonly share: (record: EndpointRecord) => number;
    /** Whether statements that only the primary may run can be sent to the endpoint now. */
    readonly mayUsePrimary: () => boolean;
    /** See `GatewayOptions.drainMs`. */
    readonly drainMs: number | undefined;
    readonly reachabilityChanged: (change: ReachabilityChange) => void;
    readonly failingChanged: (change: FailingChange) => void;
    /** A connection is being opened. */
    readonly opening: (endpoint: string, opening: Opening) => void;
    /** A caller's idle transaction was rolled back. */
    readonly evicted: (endpoint: string, eviction: Eviction) => void;
}

/** One endpoint of a group as one process uses it: its connections, its load, and whether it answers. */
export class GroupEndpoint {
    readonly #options: GroupEndpointOptions;
    readonly #pool: EndpointPool;
    readonly #reachability = new EndpointReachability();
    readonly #load = new EndpointLoad();
    readonly #estimate = new LoadEstimate(this.#load);
    /** Callbacks that give up outstanding reads of this endpoint, so that they run on another one. */
    readonly #abandonHandlers = new Set<(reason: UnknownReason) => void>();
    #record: EndpointRecord;
    #leavingSince: number | undefined;
    #isProbing = false;

    constructor(record: EndpointRecord, options: GroupEndpointOptions) {
        this.#record = record;
        this.#options = options;
        const { id, host, port, group } = record;
        this.#pool = new EndpointPool({
            address: { id, group, host, port },
            connector: options.connector,
            clock: options.clock,
            limit: () => this.share,
            mayUsePrimary: options.mayUsePrimary,
            takesNewWork: () => this.takesNewWork(options.clock.now()),
            averageMs: () => this.#load.averageMs(options.clock.now()),
            overdueMs: () => this.#load.overdueMs(options.clock.now()),
            events: {
                answered: () => this.#answerReceived(),
                opening: opening => options.opening(this.#record.id, opening),
                connected: () => this.#answerReceived(),
                connectFailed: (failure, startedAt) => this.#connectFailed(failure, startedAt),
                closed: () => this.#pool.warmUp(MIN_CONNECTIONS),
                evicted: eviction => options.evicted(this.#record.id, eviction),
            },
        });
    }

    get record(): EndpointRecord {
        return this.#record;
    }

    /** Replaces the record by a newer one of the same run. */
    update(record: EndpointRecord, now: number): void {
        this.#record = record;
        this.#leavingSince = record.state === EndpointState.Leaving ? now - (record.leavingMs ?? 0) : undefined;
    }

    /**
     * Returns false once the endpoint has been leaving for so long that work which begins now could reach it after the
     * time in which it promised to serve.
     */
    takesNewWork(now: number): boolean {
        const { drainMs } = this.#options;
        return this.#leavingSince === undefined || drainMs === undefined
            || now - this.#leavingSince < drainMs - DRAIN_MARGIN_MS;
    }

    get pool(): EndpointPool {
        return this.#pool;
    }

    /** Maximum number of connections that this process may have. */
    get share(): number {
        return this.#options.share(this.#record);
    }

    get isReachable(): boolean {
        return this.#reachability.isReachable;
    }

    /** True when this process has connections of its own to the endpoint and has found out whether it can be reached. */
    get isReachabilityKnown(): boolean {
        return this.share >= 1 && this.#reachability.isKnown;
    }

    /** True when this process may have connections to the endpoint and the endpoint is reachable. */
    get isDirectlyReachable(): boolean {
        return this.#reachability.isReachable && this.share > 0;
    }

    /** Returns true when the record describes the same run of the endpoint at the same address. */
    isSameRun({ born, host, port }: EndpointRecord): boolean {
        return this.#record.born === born && this.#record.host === host && this.#record.port === port;
    }

    /** Returns true when the endpoint has answered nothing for longer than `forMs`. */
    isQuiet(forMs: number, now: number): boolean {
        return now - this.#reachability.answeredAt > forMs;
    }

    /** Expected time until one more order would be answered, in ms. */
    expectedMs(now: number): number {
        return this.#load.expectedMs(this.#record.slots, now);
    }

    /** What is known of the load of the endpoint from this host's orders and from the reports of others. */
    loadEstimate(now: number): Pick<LoadedTarget, "expectedMs" | "failureShare" | "slots"> {
        const { slots } = this.#record;
        const expectedMs = this.#estimate.expectedMs(slots, now);
        return { expectedMs, failureShare: this.#estimate.failureShare(now), slots };
    }

    /** Records the report of a host that ran an order, which took `tookMs` with its way there and back. */
    loadReported(report: LoadReport, tookMs: number): void {
        const now = this.#options.clock.now();
        this.#estimate.reported(report, tookMs, now);
        this.#updateFailing(now);
    }

    /** The report of this host for others that relay to it. */
    loadReport(now: number): LoadReport {
        return this.#estimate.report(now);
    }

    condition(now: number): EndpointCondition {
        const { answeredAt, reach } = this.#reachability;
        const { size, idle, transactions, waiting } = this.#pool;
        return {
            endpoint: this.#record.id,
            state: this.#record.state,
            announcement: this.#record.sequence,
            leavingMs: this.#leavingSince === undefined ? undefined : now - this.#leavingSince,
            reach,
            quietMs: Number.isFinite(answeredAt) ? now - answeredAt : undefined,
            connections: size,
            idle,
            transactions,
            waiting,
            running: this.#load.running,
            expectedMs: this.#estimate.expectedMs(this.#record.slots, now),
            failureShare: this.#estimate.failureShare(now),
            reportAgeMs: this.#estimate.reportAgeMs(now),
        };
    }

    /** Counts an order as load of the endpoint while it runs, over a connection of this process or of another. */
    async measure(order: StatementOrder, run: () => Promise<StatementOrderResult>): Promise<StatementOrderResult> {
        const { clock } = this.#options;
        const startedAt = clock.now();
        this.#load.started();
        const result = await run();
        const now = clock.now();
        const observedMs = this.#observedMs(result, now - startedAt, now);
        this.#load.ended(observedMs, now);
        if (observedMs !== undefined) {
            this.#estimate.ended(isPlainRead(order) ? observedMs : undefined, hasFailed(result), now);
            this.#updateFailing(now);
        }
        return result;
    }

    /**
     * Service time to record for an order, in ms. A lost answer counts as no longer than the overdue time, since more
     * is not known; a failure counts as at least that, since it costs the caller as much.
     */
    #observedMs(result: StatementOrderResult, tookMs: number, now: number): number | undefined {
        switch (result.kind) {
            case "notRun":
                return undefined;
            case "answered":
                return hasFailed(result) ? Math.max(tookMs, this.#load.overdueMs(now)) : tookMs;
            case "unknown":
                return Math.min(tookMs, this.#load.overdueMs(now));
        }
    }

    /**
     * Gives up an order as soon as the endpoint becomes unreachable, or when the order is overdue and may be retried.
     * @param ended called when an order that was given up has ended after all
     */
    abandonWhenStalled(
        running: Promise<StatementOrderResult>,
        { mayRetry, ended }: { readonly mayRetry: () => boolean; readonly ended: () => void; },
    ): Promise<StatementOrderResult> {
        return new Promise(resolve => {
            let isAbandoned = false;
            const abandon = (reason: UnknownReason): void => {
                isAbandoned = true;
                resolve({ kind: "unknown", reason });
            };
            const overdueMs = this.#load.overdueMs(this.#options.clock.now());
            const timer = setTimeout(() => mayRetry() && abandon(UnknownReason.Overdue), overdueMs);
            this.#abandonHandlers.add(abandon);
            void running.then(result => {
                clearTimeout(timer);
                this.#abandonHandlers.delete(abandon);
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

    /** Refuses the waiting orders of a session whose caller has left. Returns false when none waits. */
    cancel(session: string): boolean {
        return this.#pool.cancel(session);
    }

    /** Opens a connection ahead of the first request. */
    warmUp(): void {
        this.#pool.warmUp(MIN_CONNECTIONS);
    }

    /** Closes idle connections and retries an unreachable endpoint. Returns true when a probe is due. */
    maintain(isActive: boolean, now: number): boolean {
        this.#pool.maintain(MIN_CONNECTIONS);
        if (this.isReachable && isActive) {
            this.warmUp();
        }
        if (this.share > 0 && this.#reachability.isTrialDue(now)) {
            this.#pool.warmUp(this.#pool.size + 1);
            return false;
        }
        return this.isReachable && this.#load.running > 0 && this.isQuiet(MAX_QUIET_MS, now);
    }

    /** Probes whether the endpoint answers and is the primary; undefined while another probe is running. */
    async probe(): Promise<ProbeResult | undefined> {
        if (this.#isProbing) {
            return undefined;
        }
        this.#isProbing = true;
        const result = await this.#pool.probe(PROBE_TIMEOUT_MS);
        this.#isProbing = false;
        if (result.kind === "unanswered") {
            this.#markUnreachable(Reachability.Silent, "a probe was not answered");
        }
        return result;
    }

    endTransaction(transaction: string): void {
        this.#pool.endTransaction(transaction);
    }

    /** Stops accepting orders. */
    close(): void {
        this.#pool.close();
    }

    #updateFailing(now: number): void {
        const isFailing = this.#estimate.updateFailing(now);
        if (isFailing !== undefined) {
            const failureShare = this.#estimate.failureShare(now);
            this.#options.failingChanged({ endpoint: this.#record.id, isFailing, failureShare });
        }
    }

    #answerReceived(): void {
        const former = this.#reachability.reach;
        const quietMs = this.#quietMs();
        if (this.#reachability.answered(this.#options.clock.now())) {
            this.#reportChange(former, quietMs, "it answers");
        }
    }

    #connectFailed(failure: ConnectFailure, startedAt: number): void {
        const reach = REACHABILITY_BY_FAILURE[failure.kind];
        // An attempt that began before the endpoint last answered says nothing about the present.
        if (reach !== undefined && this.#reachability.answeredAt <= startedAt) {
            this.#markUnreachable(reach, `connecting failed: ${failure.kind}`);
        }
    }

    #markUnreachable(reach: Exclude<Reachability, "reachable">, cause: string): void {
        const former = this.#reachability.reach;
        if (this.#reachability.failed(reach, this.#options.clock.now())) {
            this.#reportChange(former, this.#quietMs(), cause);
            for (const abandon of [...this.#abandonHandlers]) {
                abandon(UnknownReason.Timeout);
            }
        }
    }

    #quietMs(): number | undefined {
        const { answeredAt } = this.#reachability;
        return Number.isFinite(answeredAt) ? this.#options.clock.now() - answeredAt : undefined;
    }

    #reportChange(former: Reachability, quietMs: number | undefined, cause: string): void {
        const { reach } = this.#reachability;
        this.#options.reachabilityChanged({ endpoint: this.#record.id, reach, former, quietMs, cause });
    }
}

/** Returns true for an answer that tells of a fault of the endpoint, and for an order without an answer. */
function hasFailed(result: StatementOrderResult): boolean {
    if (result.kind !== "answered") {
        return result.kind === "unknown";
    }
    const { completion } = result.answer;
    return completion.kind === "error" && isEndpointFault(completion.code);
}
