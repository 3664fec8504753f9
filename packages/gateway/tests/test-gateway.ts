import type { CustomerDirectory } from "@medlarledge/customers";
import { type EndpointRecord, EndpointRole, EndpointState, type RelayMessage } from "@medlarledge/protocol";
import type { Answer, Caller, CallerHandler, EndpointConnector, Statement } from "@medlarledge/statements";
import { vi } from "vitest";
import {
    Consistency,
    Gateway,
    type GatewayEvent,
    type OperationLimits,
    type PrimaryPermits,
    type Route,
    UNRESTRICTED_PERMITS,
} from "../src/index.js";
import { FakeEndpoints } from "./fake-endpoints.js";

export const IDS = ["a", "b", "c"] as const;

const ROUTES: readonly Route[] = [
    {
        database: "confirm",
        group: "orders",
        consistency: Consistency.Primary,
        maxStalenessMs: 0,
        timeoutMs: 800,
        targetMs: 100,
        priority: 1,
        isPublic: false,
    },
    {
        database: "stock",
        group: "orders",
        consistency: Consistency.BoundedStaleness,
        maxStalenessMs: 1_500,
        timeoutMs: 1_200,
        targetMs: 100,
        priority: 2,
        isPublic: false,
    },
    {
        database: "report",
        group: "orders",
        consistency: Consistency.Session,
        maxStalenessMs: 2_500,
        timeoutMs: 800,
        targetMs: 100,
        priority: 2,
        isPublic: false,
    },
];

/** A caller that a test controls. */
export class TestCaller implements Caller {
    readonly answers: Answer[] = [];
    handler: CallerHandler | undefined;
    isClosed = false;
    #requests = 0;
    #waiting: ((answer: Answer) => void)[] = [];

    readonly key: string | undefined;

    constructor(readonly database: string, key?: string) {
        this.key = key;
    }

    answer(answer: Answer): void {
        this.answers.push(answer);
        this.#waiting.shift()?.(answer);
    }

    close(): void {
        this.isClosed = true;
    }

    /** Sends a statement and lets time pass until it is answered. */
    async execute(statement: Statement): Promise<Answer> {
        const answer = this.send(statement);
        let settled: Answer | undefined;
        void answer.then(value => (settled = value));
        for (let step = 0; step < 400 && settled === undefined; step++) {
            await advanceTime(5);
        }
        if (settled === undefined) {
            throw new Error("the request was not answered");
        }
        return settled;
    }

    send(statement: Statement): Promise<Answer> {
        this.#requests += 1;
        const answer = new Promise<Answer>(resolve => this.#waiting.push(resolve));
        this.handler?.request({ id: `${this.database}-${this.#requests}`, statement });
        return answer;
    }

    leave(): void {
        this.handler?.closed();
    }
}

export interface TestGateway {
    readonly endpoints: FakeEndpoints;
    readonly gateway: Gateway;
    readonly events: GatewayEvent[];
    /** Endpoints from which this gateway is partitioned. */
    readonly cut: Set<string>;
    connect(database: string, key?: string): TestCaller;
    /** Sends the gateway the announcements of all endpoints. */
    announce(changes?: Partial<Record<string, Partial<EndpointRecord>>>): void;
}

export interface TestGatewayOptions {
    /** Maximum number of connections of the gateway to each endpoint. */
    readonly share?: number;
    readonly endpoints?: FakeEndpoints;
    readonly host?: string;
    /** Id of the process; differs from that of a former process of the host. */
    readonly incarnation?: string;
    /** All linked gateways by host id; `createTestGateway` adds the new one. */
    readonly peers?: Map<string, Gateway>;
    /** Hosts to which messages from this one are lost while their links stay open. */
    readonly silent?: ReadonlySet<string>;
    /** If set, no link can be opened, and attempts fail after this time. */
    readonly linkMs?: number;
    readonly permits?: PrimaryPermits;
    readonly acceptsKeys?: () => boolean;
    readonly usesLoadReports?: boolean;
    /** Endpoints from which the gateway is partitioned from its start. */
    readonly cut?: readonly string[];
    readonly drainMs?: number;
    /** Called for every message that the gateway sends. */
    readonly sent?: (message: RelayMessage) => void;
    readonly limits?: OperationLimits;
    readonly customers?: CustomerDirectory;
}

/** Creates a gateway for three simulated endpoints, with fake timers. Endpoint `a` is the primary. */
export function createTestGateway(options: TestGatewayOptions = {}): TestGateway {
    const { share = 4, endpoints = new FakeEndpoints(IDS), host = "host", peers = new Map<string, Gateway>() } =
        options;
    const events: GatewayEvent[] = [];
    const cut = new Set<string>(options.cut);
    const gateway = new Gateway({
        hostId: host,
        incarnation: options.incarnation ?? "1",
        dataCentre: "antwerp",
        connector: partitionable(endpoints, cut),
        clock: { now: () => performance.now(), wallClock: () => Date.now() },
        share: () => share,
        relays: () => [...peers.keys()].filter(id => id !== host),
        preferredRelays: () => [],
        links: options.linkMs === undefined ? linksOf(host, peers, options) : unreachableLinks(options.linkMs),
        limits: options.limits,
        permits: options.permits ?? UNRESTRICTED_PERMITS,
        acceptsKeys: options.acceptsKeys ?? (() => true),
        random: () => 0,
        usesLoadReports: options.usesLoadReports ?? false,
        drainMs: options.drainMs,
        listener: event => events.push(event),
    });
    peers.set(host, gateway);
    setInterval(() => gateway.check(), 50);
    let sequence = 0;
    const announce: TestGateway["announce"] = (changes = {}) => {
        sequence += 1;
        const records = IDS.map(id => ({ ...record(id, sequence, endpoints.get(id).leads), ...changes[id] }));
        gateway.updateGroup("orders", records);
    };
    const connect = (database: string, key?: string): TestCaller => {
        const caller = new TestCaller(database, key);
        const acceptance = gateway.accept(caller);
        caller.handler = acceptance.kind === "accepted" ? acceptance.handler : undefined;
        return caller;
    };
    gateway.configure({
        number: 1,
        routes: new Map(ROUTES.map(route => [route.database, route])),
        groups: new Map([["orders", { connections: 16, syncReplicas: 0 }]]),
        customers: options.customers,
        transactionIdleMs: 3_000,
    });
    announce();
    return { endpoints, gateway, events, cut, connect, announce };
}

/** Links between gateways, with a delay of 1 ms per message. */
function linksOf(self: string, peers: ReadonlyMap<string, Gateway>, { silent = new Set(), sent }: TestGatewayOptions) {
    const send = (host: string, message: RelayMessage): boolean => {
        sent?.(message);
        if (!silent.has(host)) {
            setTimeout(() => peers.get(host)?.relayMessageReceived(self, message), 1);
        }
        return peers.has(host);
    };
    return { open: (host: string) => Promise.resolve(peers.has(host)), send, reply: send };
}

function unreachableLinks(linkMs: number) {
    const open = (_: string, timeoutMs: number): Promise<boolean> =>
        new Promise(resolve => setTimeout(() => resolve(false), Math.min(linkMs, timeoutMs)));
    return { open, send: () => false, reply: () => false };
}

function partitionable(endpoints: FakeEndpoints, cut: ReadonlySet<string>): EndpointConnector {
    return {
        connect: (address, customer, timeoutMs) =>
            cut.has(address.id)
                ? Promise.resolve({ ok: false, failure: { kind: "refused", reason: "cut off" } })
                : endpoints.connect(address, customer, timeoutMs),
    };
}

/** The announcement of a replica. */
export function announced(id: string): EndpointRecord {
    return record(id, 100, false);
}

function record(id: string, sequence: number, leads: boolean): EndpointRecord {
    return {
        id,
        group: "orders",
        dataCentre: "antwerp",
        host: "10.0.0.1",
        port: id.charCodeAt(0),
        slots: 2,
        born: 1,
        sequence,
        state: EndpointState.Active,
        role: leads ? EndpointRole.Primary : EndpointRole.Replica,
    };
}

/** Advances the fake time. */
export async function advanceTime(ms: number): Promise<void> {
    await vi.advanceTimersByTimeAsync(ms);
}

export const read = (item: string): Statement => ({ kind: "read", text: `READ ${item}` });
export const write = (item: string): Statement => ({ kind: "write", text: `WRITE ${item} data` });
export const begin: Statement = { kind: "begin", readOnly: false };
export const beginReadOnly: Statement = { kind: "begin", readOnly: true };
export const commit: Statement = { kind: "commit" };
export const rollback: Statement = { kind: "rollback" };
