import type { EndpointConnection } from "@medlarledge/postgres";
import type { DatabaseView, Endpoint, Floor, Position, Term, TermRecord } from "@medlarledge/protocol";
import type {
    AdmissionEffect,
    AdmissionRequest,
    Candidate,
    Classification,
    HealthState,
    ProxySettingStatement,
    ReplicaPosition,
    RequestClass,
    RouteDecision,
    RouteRequest as RouterRequest,
} from "@medlarledge/routing";
import type { FloorCheck } from "@medlarledge/session";

export type {
    CallerConnection,
    CallerHandler,
    EndpointConnection,
    EndpointHandler,
    Frame,
} from "@medlarledge/postgres";
export { StatementKind } from "@medlarledge/routing";
export type {
    AdmissionEffect,
    AdmissionRequest,
    Candidate,
    Classification,
    FloorCheck,
    HealthState,
    ProxySettingStatement,
    ReplicaPosition,
    RequestClass,
    RouteDecision,
};

// Interfaces to other packages, reduced to what this package uses. The real classes implement them structurally, and so
// do the fakes of the tests.

export interface EndpointConnector {
    connect(
        endpoint: Endpoint,
        timeoutMs: number,
    ): Promise<{ ok: true; connection: EndpointConnection; } | { ok: false; error: { readonly kind: string; }; }>;
    cancel(endpoint: Endpoint, processId: number, secretKey: number): Promise<void>;
}

export interface TokenCodec {
    encode(database: string, floor: Floor): string;
    decode(
        text: string,
        database: string,
    ): { ok: true; floor: Floor; } | { ok: false; error: { readonly kind: string; }; };
}

export type CheckFloor = (terms: readonly TermRecord[], floor: Floor) => FloorCheck;

/** The read floor of one session. */
export interface SessionState {
    floor(): Floor | undefined;
    /** Raises the floor. Returns whether it changed. */
    raise(floor: Floor): boolean;
    /** Raises the floor to that of a token; an older token has no effect. */
    accept(floor: Floor): void;
    /** Restarts the floor in the newest term after a loss. Returns true once per loss. */
    takeLoss(check: FloorCheck): boolean;
}

export interface Classifier {
    classify(sql: string): Classification;
}

/** Positions of the primary over time, recorded only under a valid lease. */
export interface PrimaryPositions {
    /** Records a position queried at `at` and received at `receivedAt`. */
    record(term: Term, position: Position, at: number, receivedAt: number): void;
    latest(): Position | undefined;
}

/** Last known timelines and positions of the replicas. */
export interface ReplicaPositions {
    of(endpoint: string): ReplicaPosition | undefined;
    /** Records a position queried at `at` and received at `receivedAt`. */
    report(
        endpoint: string,
        timeline: number,
        position: Position,
        at: number,
        receivedAt: number,
        primary: PrimaryPositions,
    ): void;
    forget(endpoint: string): void;
}

/** Input of a routing decision. */
export type RouteRequest = Omit<RouterRequest, "primaryPositions"> & {
    readonly primaryPositions: PrimaryPositions;
};

export interface Router {
    choose(request: RouteRequest, candidates: readonly Candidate[], now: number): RouteDecision;
}

/** Admission queue and slots of one endpoint. */
export interface Admission {
    readonly waiting: number;
    readonly running: number;
    /** Number of requests that run or wait. */
    readonly wanted: number;
    setGranted(slots: number, now: number): readonly AdmissionEffect[];
    /** Queues a request. */
    offer(request: AdmissionRequest, now: number): readonly AdmissionEffect[];
    /** Ends a running request. `ok` is false when it was aborted, so that its duration is not counted. */
    finished(id: number, ok: boolean, now: number): readonly AdmissionEffect[];
    /** Removes a waiting request whose caller gave up. */
    withdraw(id: number): void;
    /** Refuses requests that can no longer meet their deadline. */
    tick(now: number): readonly AdmissionEffect[];
}

/** Limits retries to a share of the first attempts. */
export interface RetryBudget {
    /** Counts a first attempt. */
    attempted(now: number): void;
    /** Records that an endpoint refused a request because of its load. */
    shed(endpoint: string, now: number): void;
    /** Milliseconds to wait before the retry, or undefined when there is no budget left. */
    retry(endpoint: string, attempt: number, now: number): number | undefined;
}

/** Tracks which endpoints are healthy, from the outcome of requests and probes. */
export interface EndpointHealth {
    setEndpoints(endpoints: readonly string[]): void;
    state(endpoint: string, now: number): HealthState;
    /** Records that a request was sent to an endpoint whose state is `probing`. */
    trialStarted(endpoint: string, now: number): void;
    /** Records a response of the endpoint. */
    answered(endpoint: string, latencyMs: number, now: number): void;
    /** Records a lost connection or a probe without response. */
    failed(endpoint: string, now: number): void;
}

export interface DatabaseSettings {
    readonly acknowledge: "primary" | "replica";
    readonly roaming: "strict" | "token";
    readonly replicaReads: boolean;
    readonly replicaWaitMs: number;
}

/** State and settings of the databases of this process, provided by the daemon. */
export interface DatabaseSource {
    view(database: string): DatabaseView | undefined;
    settings(database: string): DatabaseSettings | undefined;
    classFor(
        database: string,
        user: string,
        applicationName: string,
        comment: Readonly<Record<string, string>>,
    ): RequestClass;
    /** Whether writes of the term may be acknowledged now. Must be checked immediately before each response is sent. */
    mayAcknowledge(database: string, term: Term): boolean;
    /** Maximum number of connections from this host to the endpoint. */
    connectionShare(endpoint: Endpoint): number;
    /** Maximum number of statements that this host may run concurrently on the endpoint. */
    slots(endpoint: Endpoint): number;
    sameDataCentre(endpoint: Endpoint): boolean;
    onChange(listener: () => void): void;
}

/** Runs the callback once after the delay. Returns a function that cancels it. */
export type Schedule = (delayMs: number, callback: () => void) => () => void;

export const Outcome = { Done: "done", NotRun: "notRun", Unknown: "unknown" } as const;
export type Outcome = (typeof Outcome)[keyof typeof Outcome];

/** The result of one request, for metrics and service levels. */
export interface RequestRecord {
    readonly database: string;
    readonly className: string;
    readonly worth: number;
    /** The request reads and may run on a replica. */
    readonly read: boolean;
    readonly outcome: Outcome;
    /** Why the request failed, without details. */
    readonly cause: string | undefined;
    readonly latencyMs: number;
    readonly replica: boolean;
    readonly deadlineMet: boolean;
    /** False when at least one freshness check failed before the response. */
    readonly fresh: boolean;
    readonly retries: number;
}

/** Receives what the proxy observes of endpoints and requests. */
export interface ProxyEvents {
    /** A request or a position query on the endpoint completed. */
    answered(endpoint: Endpoint, latencyMs: number): void;
    /** A connection to the endpoint was lost, or could not be opened. */
    closed(endpoint: Endpoint, reason: string): void;
    /** A probe of the endpoint has had no response for `forMs`. */
    silent(endpoint: Endpoint, forMs: number): void;
    /**
     * All connections are busy and none got a response for `forMs`: the endpoint is silent or its statements are long.
     */
    stalled(endpoint: Endpoint, forMs: number): void;
    /** Reports the number of statements that run or wait here, and of those that run, when either changed. */
    slotsWanted(endpoint: Endpoint, wanted: number, running: number): void;
    /** A request ended, whatever its outcome. */
    served(record: RequestRecord): void;
}

/** Components of other packages that the proxy uses: shared instances, and factories for those that hold state. */
export interface ProxyDependencies {
    readonly router: Router;
    readonly checkFloor: CheckFloor;
    session(): SessionState;
    primaryPositions(): PrimaryPositions;
    replicaPositions(): ReplicaPositions;
    admission(endpoint: Endpoint): Admission;
    retryBudget(database: string): RetryBudget;
    health(database: string): EndpointHealth;
}
