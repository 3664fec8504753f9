import {
    ControlLeader,
    ControlState,
    decodeCommand,
    encodeCommand,
    type LeaderEffect,
    type LeaderEvent,
    type LeaderOptions,
    nextMembers,
    REQUEST_NAMES,
    type RequestName,
} from "@medlarledge/control";
import type { ControlMessage, Endpoint, EndpointProbeResult, Host, LogEntry } from "@medlarledge/protocol";
import { Channel, type Clock, type ConsensusReport, type ConsensusTask } from "@medlarledge/runtime";
import type { Log } from "@medlarledge/telemetry";
import { merge, periodic } from "most";

const TICK_MS = 10;

/** How often the leader looks whether the group's members should change. */
const MEMBERS_MS = 200;

/** Orders to endpoints; the daemon carries them out over their own short connections. */
export interface EndpointOrders {
    read(endpoint: Endpoint, timeoutMs: number): Promise<EndpointProbeResult | undefined>;
    promote(endpoint: Endpoint, timeoutMs: number): Promise<EndpointProbeResult | undefined>;
    fence(endpoint: Endpoint, timeoutMs: number): Promise<void>;
    follow(endpoint: Endpoint, primary: Endpoint, timeoutMs: number): Promise<void>;
}

/** What a control host tells the rest of its process. */
export type ControlReport =
    | { readonly kind: "leader"; readonly memberId: string | undefined; readonly isLeader: boolean; }
    | {
        readonly kind: "reply";
        readonly to: string;
        readonly id: string;
        readonly ok: boolean;
        readonly body: unknown;
    }
    | { readonly kind: "failoverDone"; readonly database: string; readonly tookMs: number; }
    | { readonly kind: "failed"; readonly reason: string; };

export interface ControlTaskOptions {
    readonly agreement: ConsensusTask;
    readonly leader: LeaderOptions;
    readonly orders: EndpointOrders;
    readonly clock: Clock;
    readonly log: Log;
    /** Control hosts by the settings. */
    readonly listed: readonly string[];
    readonly send: (to: string, message: ControlMessage) => void;
}

interface OpenRequest {
    readonly from: string;
    readonly id: string;
}

type Executors = { readonly [K in LeaderEffect["kind"]]: (effect: Extract<LeaderEffect, { kind: K; }>) => void; };
type ReportHandlers = {
    readonly [K in ConsensusReport["kind"]]: (report: Extract<ConsensusReport, { kind: K; }>) => void;
};

/** Applies the replicated log on a control host and runs the leader's decisions while this host leads. */
export class ControlTask {
    readonly #options: ControlTaskOptions;
    readonly #events = new Channel<LeaderEvent>();
    readonly #reports = new Channel<ControlReport>();
    readonly #requests = new Map<number, OpenRequest>();
    readonly #connected = new Map<string, Host>();
    readonly #joining = new Set<string>();
    readonly #failoverStarts = new Map<string, number>();
    #state = new ControlState();
    #leader: ControlLeader;
    #isLeader = false;
    #lastRequestId = 0;
    #membersAt = 0;
    #stopped = false;

    readonly #executors: Executors = {
        send: effect => this.#options.send(effect.to, effect.message),
        propose: effect => this.#options.agreement.propose(effect.requestId, encodeCommand(effect.command)),
        readEndpoint: effect => void this.#read(effect),
        promoteEndpoint: effect => void this.#promote(effect),
        fenceEndpoint: effect => void this.#fence(effect),
        followPrimary: effect => void this.#follow(effect),
        reply: effect => this.#reply(effect.requestId, effect.ok, effect.body),
        event: effect => this.#logEvent(effect.name, effect.fields),
    };

    readonly #reportHandlers: ReportHandlers = {
        committed: report => report.entries.forEach(entry => this.#apply(entry)),
        restored: report => this.#restore(report.data),
        role: report => this.#role(report.role === "leader", report.leader),
        proposed: report => this.#proposed(report.requestId, report.outcome),
        snapshotWanted: report => this.#options.agreement.snapshotTaken(report.index, this.#state.snapshot()),
        failed: report => this.#reports.push({ kind: "failed", reason: JSON.stringify(report.error) }),
    };

    constructor(options: ControlTaskOptions) {
        this.#options = options;
        this.#leader = new ControlLeader(this.#state, options.leader);
    }

    get reports(): Channel<ControlReport>["stream"] {
        return this.#reports.stream;
    }

    get isLeader(): boolean {
        return this.#isLeader;
    }

    /** The replicated state as applied on this host; it may lag behind the leader's. */
    get state(): ControlState {
        return this.#state;
    }

    start(): void {
        void this.#options.agreement.reports
            .takeWhile(() => !this.#stopped)
            .observe(report => (this.#reportHandlers[report.kind] as (report: ConsensusReport) => void)(report));
        const ticks = periodic(TICK_MS).map((): LeaderEvent => ({ kind: "tick" }));
        void merge(this.#events.stream, ticks)
            .takeWhile(() => !this.#stopped)
            .observe(event => this.#handle(event));
        this.#options.agreement.start();
    }

    hostConnected(host: Host): void {
        this.#connected.set(host.id, host);
        this.#events.push({ kind: "hostConnected", host });
    }

    hostDisconnected(host: Host): void {
        if (this.#connected.get(host.id)?.incarnation === host.incarnation) {
            this.#connected.delete(host.id);
        }
        this.#events.push({ kind: "hostDisconnected", id: host.id, incarnation: host.incarnation });
    }

    received(from: string, message: Extract<LeaderEvent, { kind: "message"; }>["message"]): void {
        this.#events.push({ kind: "message", from, message });
    }

    /** Takes a request of a host; the reply is reported. */
    request(from: string, id: string, name: string, body: unknown): void {
        if (name === "joinGroup") {
            this.#joining.add(String(body));
            this.#reports.push({ kind: "reply", to: from, id, ok: true, body: undefined });
            return;
        }
        if (!REQUEST_NAMES.includes(name as RequestName)) {
            this.#reports.push({ kind: "reply", to: from, id, ok: false, body: { kind: "unknownRequest" } });
            return;
        }
        this.#lastRequestId += 1;
        this.#requests.set(this.#lastRequestId, { from, id });
        this.#events.push({ kind: "request", requestId: this.#lastRequestId, name: name as RequestName, body });
    }

    stop(): void {
        this.#stopped = true;
    }

    #handle(event: LeaderEvent): void {
        const { clock, agreement } = this.#options;
        const effects = this.#leader.handle(event, clock.now(), clock.wallClock(), agreement.quorumContactAt());
        for (const effect of effects) {
            (this.#executors[effect.kind] as (effect: LeaderEffect) => void)(effect);
        }
        if (event.kind === "tick") {
            this.#planMembers(clock.now());
        }
    }

    #apply(entry: LogEntry): void {
        const command = decodeCommand(entry.payload);
        if (command === undefined) {
            return;
        }
        const result = this.#state.apply(command);
        this.#handle({ kind: "applied", command, result });
        if (command.kind === "startTerm" && "outcome" in result && result.outcome === "accepted") {
            this.#failoverDone(command.database);
        }
    }

    #restore(data: Uint8Array): void {
        this.#state = ControlState.restore(data);
        this.#leader = new ControlLeader(this.#state, this.#options.leader);
        this.#connected.forEach(host => this.#handle({ kind: "hostConnected", host }));
    }

    #role(isLeader: boolean, leader: string | undefined): void {
        if (isLeader !== this.#isLeader) {
            this.#isLeader = isLeader;
            this.#handle({ kind: isLeader ? "elected" : "deposed" });
        }
        this.#reports.push({ kind: "leader", memberId: leader, isLeader });
    }

    #proposed(requestId: number, outcome: string): void {
        if (outcome !== "committed") {
            this.#handle({ kind: "proposalFailed", requestId, reason: outcome });
        }
    }

    async #read(effect: Extract<LeaderEffect, { kind: "readEndpoint"; }>): Promise<void> {
        const endpoint = this.#endpoint(effect.database, effect.endpoint);
        const reading = endpoint === undefined
            ? undefined
            : await this.#options.orders.read(endpoint, this.#options.leader.readingTimeoutMs);
        this.#events.push({ ...effect, kind: "reading", reading });
    }

    async #promote(effect: Extract<LeaderEffect, { kind: "promoteEndpoint"; }>): Promise<void> {
        const endpoint = this.#endpoint(effect.database, effect.endpoint);
        const reading = endpoint === undefined
            ? undefined
            : await this.#options.orders.promote(endpoint, this.#options.leader.promoteTimeoutMs);
        this.#events.push({ ...effect, kind: "promoted", reading });
    }

    async #fence(effect: Extract<LeaderEffect, { kind: "fenceEndpoint"; }>): Promise<void> {
        const endpoint = this.#endpoint(effect.database, effect.endpoint);
        if (endpoint !== undefined) {
            await this.#options.orders.fence(endpoint, this.#options.leader.promoteTimeoutMs);
        }
    }

    async #follow(effect: Extract<LeaderEffect, { kind: "followPrimary"; }>): Promise<void> {
        const endpoint = this.#endpoint(effect.database, effect.endpoint);
        const primary = this.#endpoint(effect.database, effect.primary);
        if (endpoint !== undefined && primary !== undefined) {
            await this.#options.orders.follow(endpoint, primary, this.#options.leader.promoteTimeoutMs);
        }
    }

    #endpoint(database: string, id: string): Endpoint | undefined {
        return this.#state.database(database)?.endpoints.find(endpoint => endpoint.id === id);
    }

    #reply(requestId: number, ok: boolean, body: unknown): void {
        const request = this.#requests.get(requestId);
        this.#requests.delete(requestId);
        if (request !== undefined) {
            this.#reports.push({ kind: "reply", to: request.from, id: request.id, ok, body });
        }
    }

    #logEvent(name: string, fields: Readonly<Record<string, unknown>>): void {
        const isFailover = name.startsWith("failover.");
        this.#options.log.event(isFailover ? "failoverStep" : "controlEvent", { name, ...fields });
        if (name === "failover.start") {
            this.#failoverStarts.set(String(fields["database"]), this.#options.clock.now());
        }
    }

    #failoverDone(database: string): void {
        const startedAt = this.#failoverStarts.get(database);
        this.#failoverStarts.delete(database);
        if (startedAt !== undefined && this.#isLeader) {
            this.#reports.push({ kind: "failoverDone", database, tookMs: this.#options.clock.now() - startedAt });
        }
    }

    #planMembers(now: number): void {
        if (!this.#isLeader || now - this.#membersAt < MEMBERS_MS) {
            return;
        }
        this.#membersAt = now;
        const { agreement, listed } = this.#options;
        const next = nextMembers(agreement.members, {
            joining: [...this.#joining],
            caughtUp: agreement.caughtUpLearners(),
            listed,
        });
        if (next !== undefined) {
            this.#lastRequestId += 1;
            agreement.proposeMembers(-this.#lastRequestId, next);
        }
    }
}
