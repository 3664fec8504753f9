import type { DatabaseView, Endpoint, Floor, TermRecord } from "@medlarledge/protocol";
import type { Admission, AdmissionEffect, AdmissionRequest, Candidate, Classification } from "../src/ports.js";
import type { DatabaseSettings, DatabaseSource, ProxyDependencies, RequestClass, RouteDecision } from "../src/ports.js";
import type { ReplicaPosition, RequestRecord, RouteRequest, SessionState } from "../src/ports.js";
import { StatementKind } from "../src/ports.js";
import { Proxy } from "../src/proxy.js";
import { FakeNetwork, FakeServer } from "./fake-server.js";
import type { FakeSession } from "./fake-server.js";
import { FakeTime } from "./fake-time.js";
import { FakeCaller } from "./fake-wire.js";

export function endpoint(id: string): Endpoint {
    return {
        id,
        database: "shop",
        dataCentre: "a",
        host: id,
        port: 5432,
        systemIdentifier: id,
        sequence: 1,
        slots: 9,
        connections: 20,
    };
}

function classify(sql: string): Classification {
    const first = sql.trim().split(/[\s;]/)[0]!.toUpperCase();
    const several = sql.includes(";");
    const kinds: Record<string, StatementKind> = {
        SELECT: StatementKind.Read,
        "": StatementKind.Read,
        BEGIN: StatementKind.Begin,
        COMMIT: StatementKind.Commit,
        ROLLBACK: StatementKind.Rollback,
        LISTEN: StatementKind.Pinned,
        DISCARD: StatementKind.SessionState,
        PREPARE: StatementKind.Refused,
    };
    const own = /^(set|show|reset) (medlarledge\.\w+)(?:\s*=\s*'(.*)')?/i.exec(sql);
    return {
        kind: own === null
            ? (several ? StatementKind.Write : kinds[first] ?? StatementKind.Write)
            : StatementKind.ProxySetting,
        statements: 1,
        pins: first === "LISTEN",
        resets: first === "DISCARD",
        readOnly: false,
        transactionOnly: false,
        refusal: first === "PREPARE" ? "PREPARE" : undefined,
        comment: {},
        set: own === null
            ? undefined
            : { action: own[1]!.toLowerCase() as "set", name: own[2]!, value: own[3] ?? "" },
    };
}

/** Routes writes to the primary, and reads to a replica with a freshness check if its known position is too old. */
function choose(request: RouteRequest, candidates: readonly Candidate[]): RouteDecision {
    if (!request.leaseValid) {
        return { kind: "refuse", reason: "cutOff" };
    }
    const usable = candidates.filter(item => !request.failedEndpoints.includes(item.endpoint.id));
    // Like the real router, use only replicas that are known to follow the current term's timeline.
    const timeline = request.terms.at(-1)!.timeline;
    const replica = usable.find(item => item.role === "replica" && item.timeline === timeline);
    if (!request.write && request.replicaReads && replica !== undefined) {
        const known = (replica.knownPosition ?? 0) >= (request.floor ?? 0);
        return { kind: "send", endpoint: replica.endpoint.id, proof: known ? "known" : "self", floor: request.floor };
    }
    const primary = usable.find(item => item.role === "primary");
    return primary === undefined
        ? { kind: "wait", untilMs: request.deadlineAt }
        : { kind: "send", endpoint: primary.endpoint.id, proof: "none", floor: undefined };
}

class FifoAdmission implements Admission {
    readonly #waiting: AdmissionRequest[] = [];
    readonly #running = new Set<number>();
    #granted = 0;

    get waiting(): number {
        return this.#waiting.length;
    }

    get running(): number {
        return this.#running.size;
    }

    get wanted(): number {
        return this.waiting + this.running;
    }

    setGranted(slots: number): readonly AdmissionEffect[] {
        this.#granted = slots;
        return this.#dispatch();
    }

    offer(request: AdmissionRequest): readonly AdmissionEffect[] {
        this.#waiting.push(request);
        return this.#dispatch();
    }

    finished(id: number): readonly AdmissionEffect[] {
        this.#running.delete(id);
        return this.#dispatch();
    }

    withdraw(id: number): void {
        const at = this.#waiting.findIndex(item => item.id === id);
        if (at >= 0) {
            this.#waiting.splice(at, 1);
        }
    }

    tick(): readonly AdmissionEffect[] {
        return this.#dispatch();
    }

    #dispatch(): readonly AdmissionEffect[] {
        const effects: AdmissionEffect[] = [];
        while (this.#running.size < this.#granted && this.#waiting.length > 0) {
            const { id } = this.#waiting.shift()!;
            this.#running.add(id);
            effects.push({ kind: "run", id });
        }
        return effects;
    }
}

class FakeSessionState implements SessionState {
    #floor: Floor | undefined;

    floor(): Floor | undefined {
        return this.#floor;
    }

    raise(floor: Floor): boolean {
        const former = this.#floor;
        if (former !== undefined && (floor.term - former.term || floor.position - former.position) <= 0) {
            return false;
        }
        this.#floor = floor;
        return true;
    }

    accept(floor: Floor): void {
        this.raise(floor);
    }

    takeLoss(check: { kind: string; term?: number; position?: number; }): boolean {
        this.#floor = { term: check.term!, position: check.position! };
        return true;
    }
}

/** A proxy with fake servers, callers and time. Endpoint `a` is the first primary, the others are replicas. */
export class ProxyHarness implements DatabaseSource {
    readonly time = new FakeTime();
    readonly network = new FakeNetwork();
    readonly records: RequestRecord[] = [];
    readonly silent: string[] = [];
    readonly stalled: string[] = [];
    readonly proxy: Proxy;
    databaseView: DatabaseView;
    databaseSettings: DatabaseSettings = {
        acknowledge: "primary",
        roaming: "token",
        replicaReads: false,
        replicaWaitMs: 0,
    };
    requestClass: RequestClass = { name: "c", worth: 1, ageMs: undefined, deadlineMs: 1_000, repeatable: false };
    isLeaseValid: (term: number) => boolean = () => true;
    limit = 4;
    retryBudget = Number.POSITIVE_INFINITY;
    /** Sends reads to replicas without a freshness check, to show that the checks of the test detect stale reads. */
    skipsFreshnessChecks = false;
    #listeners: (() => void)[] = [];
    #callerCount = 0;

    constructor(endpoints: readonly string[] = ["a"]) {
        for (const id of endpoints) {
            this.network.servers.set(id, new FakeServer(endpoint(id), id !== "a"));
        }
        this.databaseView = {
            database: "shop",
            terms: [{ term: 1, primary: "a", start: 0, timeline: 1 }],
            endpoints: endpoints.map(id => ({ ...endpoint(id), state: "active" })),
        };
        this.proxy = new Proxy({
            source: this,
            connector: this.network,
            classifier: { classify },
            tokens: {
                encode: (_database, floor) => `${floor.term}:${floor.position}`,
                decode: text => {
                    const [term, position] = text.split(":").map(Number);
                    return Number.isInteger(term) && position !== undefined
                        ? { ok: true, floor: { term: term!, position } }
                        : { ok: false, error: { kind: "forged" } };
                },
            },
            clock: this.time.clock,
            schedule: this.time.schedule,
            events: {
                answered: () => undefined,
                closed: () => undefined,
                silent: item => this.silent.push(item.id),
                stalled: item => this.stalled.push(item.id),
                slotsWanted: () => undefined,
                served: record => this.records.push(record),
            },
            dependencies: this.#dependencies(),
        });
    }

    view(): DatabaseView {
        return this.databaseView;
    }

    settings(): DatabaseSettings {
        return this.databaseSettings;
    }

    classFor(): RequestClass {
        return this.requestClass;
    }

    mayAcknowledge(_database: string, term: number): boolean {
        return this.isLeaseValid(term);
    }

    connectionShare(): number {
        return this.limit;
    }

    slots(): number {
        return 100;
    }

    sameDataCentre(): boolean {
        return true;
    }

    onChange(listener: () => void): void {
        this.#listeners.push(listener);
    }

    changed(): void {
        for (const listener of this.#listeners) {
            listener();
        }
    }

    /** Simulates a failover: begins a new term with this primary. */
    promote(id: string, start: number): void {
        const last = this.databaseView.terms.at(-1)!;
        const next: TermRecord = { term: last.term + 1, primary: id, start, timeline: last.timeline! + 1 };
        this.databaseView = { ...this.databaseView, terms: [...this.databaseView.terms, next] };
        this.server(id).replica = false;
        this.server(id).timeline = last.timeline! + 1;
        this.changed();
    }

    server(id = "a"): FakeServer {
        return this.network.servers.get(id)!;
    }

    sessions(id = "a"): FakeSession[] {
        return [...this.server(id).sessions];
    }

    /** Sessions that have messages to process. */
    busy(id = "a"): FakeSession[] {
        return this.sessions(id).filter(session => session.inbox.length > 0);
    }

    caller(options: Record<string, string> = {}): FakeCaller {
        this.#callerCount += 1;
        const caller = new FakeCaller(this.#callerCount, options);
        this.proxy.accept(caller);
        return caller;
    }

    /** Runs pending promise callbacks. */
    async flushMicrotasks(): Promise<void> {
        for (let turn = 0; turn < 10; turn++) {
            await Promise.resolve();
        }
    }

    /** Runs servers and promise callbacks until no session has messages to process. */
    async run(): Promise<void> {
        for (let moved = true; moved;) {
            await this.flushMicrotasks();
            moved = [...this.network.servers.values()].some(server =>
                server.reachable && [...server.sessions].some(session => session.processMessages())
            );
        }
    }

    /** Advances the time in small steps and lets the servers respond within each. */
    async advance(ms: number): Promise<void> {
        const end = this.time.now + ms;
        await this.run();
        while (this.time.now < end) {
            this.time.runDue(Math.min(end, this.time.now + 5));
            await this.run();
        }
    }

    #dependencies(): ProxyDependencies {
        return {
            router: {
                choose: (request, candidates) => {
                    const decision = choose(request, candidates);
                    return decision.kind === "send" && this.skipsFreshnessChecks
                        ? { ...decision, proof: "known" }
                        : decision;
                },
            },
            checkFloor: (terms, floor) => {
                const last = terms.at(-1)!;
                if (floor.term > last.term) {
                    return { kind: "unknownTerm", term: floor.term };
                }
                const later = terms.filter(record => record.term > floor.term);
                const survived = Math.min(...later.map(record => record.start ?? Number.POSITIVE_INFINITY));
                if (floor.position > survived) {
                    return { kind: "lost", term: last.term, position: survived, survivedUpTo: survived };
                }
                return { kind: "holds", position: floor.position };
            },
            session: () => new FakeSessionState(),
            primaryPositions: () => {
                let latest: number | undefined;
                return {
                    record: (_term, position) => {
                        latest = Math.max(latest ?? 0, position);
                    },
                    latest: () => latest,
                };
            },
            replicaPositions: () => {
                const known = new Map<string, ReplicaPosition>();
                return {
                    of: id => known.get(id),
                    report: (id, timeline, position, at) => known.set(id, { timeline, position, at, lagMs: undefined }),
                    forget: id => known.delete(id),
                };
            },
            admission: () => new FifoAdmission(),
            retryBudget: () => ({
                attempted: () => undefined,
                shed: () => undefined,
                retry: () => this.retryBudget-- > 0 ? 1 : undefined,
            }),
            health: () => ({
                setEndpoints: () => undefined,
                state: () => "ok",
                trialStarted: () => undefined,
                answered: () => undefined,
                failed: () => undefined,
            }),
        };
    }
}
