import { ControlLeader, ControlState, type LeaderEffect, type LeaderEvent } from "@medlarledge/control";
import { type ControlMessage, EndpointRole, type Host } from "@medlarledge/protocol";
import { databaseName, sampleCommands, sampleEndpoint, sampleHost } from "./sample-data.js";

const TICK_MS = 10;
const RENEW_TICKS = 10;
const WALL_CLOCK = 1_780_000_000_000;

interface RigHost {
    host: Host;
    connected: boolean;
    sequence: number;
    viewVersion: number;
    configurationNumber: number;
}

/**
 * One leader with hosts that renew their lease every 100 ms and take what it sends at the next tick. Commands are
 * applied at once, endpoints answer at once. Nothing is encoded: what the leader sends goes to `sent`.
 */
export class LeaderRig {
    readonly hosts = new Map<string, RigHost>();
    readonly state = new ControlState();
    readonly #leader: ControlLeader;
    readonly #databases: number;
    #queue: LeaderEvent[] = [];
    #ticks = 0;
    /** Endpoint that hosts report as silent. */
    suspect: string | undefined;
    now = 0;
    sent: (message: ControlMessage) => void = () => undefined;
    received: (message: ControlMessage) => void = () => undefined;
    readingsAsked = 0;

    constructor(hosts: number, databases: number) {
        this.#databases = databases;
        for (const command of sampleCommands(hosts, databases)) {
            this.state.apply(command);
        }
        this.#leader = new ControlLeader(this.state, {
            hostId: sampleHost(0).id,
            leaseMs: 400,
            driftMarginMs: 20,
            stepDownMs: 300,
            confirmMs: 150,
            promoteTimeoutMs: 2_000,
            readingTimeoutMs: 150,
            validate: () => [],
            durability: () => "primary",
        });
        for (let index = 0; index < hosts; index++) {
            const host = sampleHost(index);
            this.hosts.set(host.id, {
                host,
                connected: true,
                sequence: 0,
                viewVersion: this.state.version(),
                configurationNumber: 0,
            });
            this.event({ kind: "hostConnected", host });
        }
    }

    elect(): void {
        this.event({ kind: "elected" });
    }

    event(event: LeaderEvent): void {
        const effects = this.#leader.handle(event, this.now, WALL_CLOCK + this.now, this.now);
        effects.forEach(effect => this.#execute(effect));
    }

    run(milliseconds: number): void {
        for (const until = this.now + milliseconds; this.now < until; this.now += TICK_MS) {
            this.#tick();
        }
    }

    disconnect(id: string): void {
        const known = this.hosts.get(id);
        if (known !== undefined) {
            known.connected = false;
            this.event({ kind: "hostDisconnected", id, incarnation: known.host.incarnation });
        }
    }

    /** Connects a new process of the host, which knows nothing. */
    connect(host: Host): void {
        this.hosts.set(host.id, { host, connected: true, sequence: 0, viewVersion: 0, configurationNumber: 0 });
        this.event({ kind: "hostConnected", host });
    }

    #tick(): void {
        this.#ticks += 1;
        const queue = this.#queue;
        this.#queue = [];
        queue.forEach(event => this.event(event));
        let index = 0;
        for (const known of this.hosts.values()) {
            index += 1;
            if (known.connected && (this.#ticks + index) % RENEW_TICKS === 0) {
                this.#renew(known);
            }
        }
        this.event({ kind: "tick" });
    }

    #renew(known: RigHost): void {
        known.sequence += 1;
        const message = {
            kind: "renewLease",
            sequence: known.sequence,
            configurationNumber: known.configurationNumber,
            configurationSince: WALL_CLOCK,
            viewVersion: known.viewVersion,
            draining: false,
        } as const;
        this.received(message);
        this.event({ kind: "message", from: known.host.id, message });
    }

    #execute(effect: LeaderEffect): void {
        switch (effect.kind) {
            case "send":
                this.sent(effect.message);
                this.#take(effect.to, effect.message);
                break;
            case "propose": {
                const result = this.state.apply(effect.command);
                this.#queue.push({ kind: "applied", command: effect.command, result });
                break;
            }
            case "readEndpoint":
                this.readingsAsked += 1;
                this.#queue.push({ ...effect, kind: "reading", reading: this.#reading(effect) });
                break;
            case "promoteEndpoint":
                this.#queue.push({ ...effect, kind: "promoted", reading: this.#reading(effect, true) });
                break;
            case "fenceEndpoint":
            case "followPrimary":
            case "reply":
            case "event":
                break;
        }
    }

    #reading({ database, endpoint }: { database: string; endpoint: string; }, promoted = false) {
        if (endpoint === this.suspect) {
            return undefined;
        }
        const index = Number(database.slice(databaseName(0).length - 3));
        const known = [0, 1, 2].map(item => sampleEndpoint(index % this.#databases, item)).find(item =>
            item.id === endpoint
        );
        const primary = promoted || this.state.database(database)?.terms.at(-1)?.primary === endpoint;
        return {
            role: primary ? EndpointRole.Primary : EndpointRole.Replica,
            timeline: promoted ? 2 : 1,
            position: 20_000_000,
            systemIdentifier: known?.systemIdentifier ?? "",
        };
    }

    #take(to: string, message: ControlMessage): void {
        const known = this.hosts.get(to);
        if (known === undefined) {
            return;
        }
        if (message.kind === "viewUpdate") {
            known.viewVersion = message.version;
        }
        else if (message.kind === "configurationUpdate") {
            known.configurationNumber = message.change.number;
        }
        else if (message.kind === "revoke") {
            this.#answer(to, { ...message, kind: "revoked" });
        }
        else if (message.kind === "confirmEndpoint") {
            this.observe(to, message.database, message.endpoint, message.term);
        }
    }

    observe(from: string, database: string, endpoint: string, term: number): void {
        const suspicion = endpoint === this.suspect ? "silent" : "reachable";
        this.#answer(from, { kind: "endpointObservation", database, endpoint, term, suspicion });
    }

    #answer(from: string, message: Extract<LeaderEvent, { kind: "message"; }>["message"]): void {
        this.received(message);
        this.#queue.push({ kind: "message", from, message });
    }
}
