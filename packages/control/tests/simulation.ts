import type { ControlMessage } from "@medlarledge/protocol";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
    type ControlCommand,
    ControlLeader,
    ControlState,
    decodeCommand,
    encodeCommand,
    type LeaderEffect,
    type LeaderEvent,
    type RequestName,
    type Status,
} from "../src/index.js";
import { EventQueue } from "./event-queue.js";
import { announcement, host, LEADER_OPTIONS, type SimulatedEndpoint, type SimulationOptions } from "./fixtures.js";
import { type Clock, type HostMessage, type Probe, SimulatedHost } from "./simulated-host.js";

interface SimulatedNode {
    readonly leader: ControlLeader;
    readonly state: ControlState;
    readonly clock: Clock;
    applied: number;
    /** Real time of the last quorum contact; it advances only while this node leads the group. */
    contactAt: number;
}

/** Hosts, control nodes and endpoints that exchange messages over a network with delay and loss. */
export class Simulation extends EventQueue {
    readonly random: () => number;
    readonly hosts: readonly SimulatedHost[];
    readonly nodes: readonly SimulatedNode[];
    readonly endpoints = new Map<string, SimulatedEndpoint>();
    readonly log: Uint8Array[] = [];
    /** Real time at which each started term was committed, by database. */
    readonly started = new Map<string, { term: number; at: number; primary: string; }[]>();
    readonly sent: { to: string; message: ControlMessage; at: number; }[] = [];
    readonly effects: LeaderEffect[] = [];
    readonly replies = new Map<number, { ok: boolean; body: unknown; }>();
    active: SimulatedNode | undefined;
    /** Returns true for a message to lose. */
    lose: (to: string, message: ControlMessage) => boolean = () => false;
    readonly #leaderOf = new Map<SimulatedHost, SimulatedNode>();
    #requests = 0;

    constructor(readonly options: SimulationOptions) {
        super();
        const generator = xoroshiro128plus(options.seed);
        this.random = () => uniformFloat64(generator);
        this.hosts = Array.from(
            { length: options.hosts },
            (_, index) => new SimulatedHost(host(`h${index}`), this.#clock(), options.hostMarginMs ?? 20),
        );
        this.nodes = Array.from({ length: 3 }, (_, index) => this.#node(`c${index}`));
        for (const database of options.databases) {
            for (const id of ["a", "b", "c"]) {
                const reading = { role: "replica", timeline: 1, position: 100, systemIdentifier: id } as const;
                const endpoint = { reading, alive: true, promotable: true, isolatedFrom: new Set<string>() };
                this.endpoints.set(`${database}/${id}`, endpoint);
            }
            this.endpoint(database, "a").reading = { ...this.endpoint(database, "a").reading, role: "primary" };
        }
        // Hosts renew and probe at different times, as processes that were started one after the other do.
        this.hosts.forEach((simulated, index) => this.at(25 * index, () => this.#hostTick(simulated)));
        this.nodes.forEach((node) => this.#nodeTick(node));
    }

    endpoint(database: string, id: string): SimulatedEndpoint {
        return this.endpoints.get(`${database}/${id}`)!;
    }

    clockOf(clock: Clock): number {
        return clock.offset + this.now * clock.rate;
    }

    /** Makes a node the leader; the former one keeps acting until `unawareMs` later. */
    elect(index: number, unawareMs = 0): void {
        const former = this.active;
        const node = this.nodes[index]!;
        this.active = node;
        node.contactAt = this.now;
        if (former !== undefined) {
            this.at(unawareMs, () => this.active !== former && this.handle(former, { kind: "deposed" }));
        }
        this.handle(node, { kind: "elected" });
        for (const simulated of this.hosts) {
            this.at(this.random() * 4 * this.#maxDelay(), () => this.connect(simulated, node));
        }
    }

    /** Isolates the leader from its quorum; its hosts still send it requests. */
    isolateLeader(): void {
        this.active = undefined;
    }

    connect(simulated: SimulatedHost, node: SimulatedNode): void {
        const { id, incarnation } = simulated.host;
        const former = this.#leaderOf.get(simulated);
        if (former !== undefined) {
            this.handle(former, { kind: "hostDisconnected", id, incarnation });
        }
        this.#leaderOf.set(simulated, node);
        this.handle(node, { kind: "hostConnected", host: simulated.host });
    }

    /** Ends the process of a host and starts a new one that connects to the same leader. */
    restart(simulated: SimulatedHost): void {
        const node = this.#leaderOf.get(simulated)!;
        const { id, incarnation } = simulated.host;
        this.handle(node, { kind: "hostDisconnected", id, incarnation });
        simulated.restart(`${incarnation}'`);
        this.#leaderOf.delete(simulated);
        this.connect(simulated, node);
    }

    /** Announces all endpoints and runs until every database has a started term. */
    start(): void {
        this.elect(0);
        this.run(100);
        for (const database of this.options.databases) {
            for (const id of ["a", "b", "c"]) {
                this.request("announce", announcement(database, id, 1));
            }
        }
        this.run(1_500);
    }

    request(name: RequestName, body: unknown): number {
        const requestId = ++this.#requests;
        this.handle(this.active!, { kind: "request", requestId, name, body });
        return requestId;
    }

    status(): Status {
        return this.replies.get(this.request("status", undefined))!.body as Status;
    }

    handle(node: SimulatedNode, event: LeaderEvent): void {
        if (node === this.active) {
            node.contactAt = this.now;
        }
        const contactAt = node.clock.offset + node.contactAt * node.clock.rate;
        for (const effect of node.leader.handle(event, this.clockOf(node.clock), this.now, contactAt)) {
            this.effects.push(effect);
            this.#execute(node, effect);
        }
    }

    /** Hosts that would acknowledge a write under a term although a later term has started. */
    violations(): readonly string[] {
        const found: string[] = [];
        for (const [database, terms] of this.started) {
            const last = terms.at(-1)!.term;
            for (const { host, lease, clock } of this.hosts) {
                for (let term = 1; term < last; term++) {
                    if (lease.mayAcknowledge(database, term, this.clockOf(clock))) {
                        found.push(`${host.id} acknowledges ${database} under ${term} at ${this.now}, ${last} started`);
                    }
                }
            }
        }
        return found;
    }

    #execute(node: SimulatedNode, effect: LeaderEffect): void {
        const handle = this.handle.bind(this, node);
        if (effect.kind === "send") {
            this.sent.push({ to: effect.to, message: effect.message, at: this.now });
            const simulated = this.hosts.find((known) => known.host.id === effect.to);
            if (simulated !== undefined && !this.#isLost(effect.to, effect.message)) {
                const { incarnation } = simulated.host;
                this.at(this.#delay(), () => this.#deliver(simulated, incarnation, node, effect.message));
            }
        }
        else if (effect.kind === "propose") {
            this.at(this.#delay(), () => this.#commit(node, effect.requestId, effect.command));
        }
        else if (effect.kind === "readEndpoint") {
            const { requestId, database, endpoint } = effect;
            const target = this.endpoint(database, endpoint);
            const ok = target.alive && !target.isolatedFrom.has("control");
            const reading = ok ? target.reading : undefined;
            this.at(this.#delay(), () => handle({ kind: "reading", requestId, database, endpoint, reading }));
        }
        else if (effect.kind === "promoteEndpoint") {
            const target = this.endpoint(effect.database, effect.endpoint);
            this.at(this.#delay(), () => {
                if (target.alive && target.promotable && target.reading.role === "replica") {
                    target.reading = { ...target.reading, role: "primary", timeline: target.reading.timeline + 1 };
                }
                const reading = target.alive && !target.isolatedFrom.has("control") ? target.reading : undefined;
                this.at(this.#delay(), () => handle({ ...effect, kind: "promoted", reading }));
            });
        }
        else if (effect.kind === "followPrimary") {
            const target = this.endpoint(effect.database, effect.endpoint);
            const { timeline } = this.endpoint(effect.database, effect.primary).reading;
            this.at(this.#delay(), () => {
                if (target.alive && target.reading.role === "replica") {
                    target.reading = { ...target.reading, timeline };
                }
            });
        }
        else if (effect.kind === "reply") {
            this.replies.set(effect.requestId, effect);
        }
    }

    #commit(node: SimulatedNode, requestId: number, command: ControlCommand): void {
        if (node !== this.active) {
            this.handle(node, { kind: "proposalFailed", requestId, reason: "notLeader" });
            return;
        }
        this.log.push(encodeCommand(command));
        while (node.applied < this.log.length) {
            const next = decodeCommand(this.log[node.applied++]!)!;
            const result = node.state.apply(next);
            if (result.kind === "startTerm" && result.outcome === "accepted" && next.kind === "startTerm") {
                const terms = this.started.get(next.database) ?? [];
                if (!terms.some(({ term }) => term === next.term)) {
                    const { primary } = node.state.database(next.database)!.terms.at(-1)!;
                    this.started.set(next.database, [...terms, { term: next.term, at: this.now, primary }]);
                }
            }
            this.handle(node, { kind: "applied", command: next, result });
        }
    }

    #deliver(simulated: SimulatedHost, incarnation: string, node: SimulatedNode, message: ControlMessage): void {
        if (simulated.host.incarnation !== incarnation) {
            return;
        }
        if (simulated.stalledUntil > this.now) {
            const wait = simulated.stalledUntil - this.now;
            this.at(wait, () => this.#deliver(simulated, incarnation, node, message));
            return;
        }
        const answers = simulated.deliver(message, this.clockOf(simulated.clock), this.#probe);
        answers.forEach((answer) => this.#toNode(simulated, node, answer));
    }

    #hostTick(simulated: SimulatedHost): void {
        this.at(25, () => this.#hostTick(simulated));
        const node = this.#leaderOf.get(simulated);
        if (simulated.stalledUntil > this.now || node === undefined) {
            return;
        }
        const messages = simulated.tick(this.clockOf(simulated.clock), this.now, this.#probe);
        messages.forEach((message) => this.#toNode(simulated, node, message));
    }

    readonly #probe: Probe = ({ host: { id } }, database, endpointId) => {
        const endpoint = this.endpoint(database, endpointId);
        if (endpoint.isolatedFrom.has(id) || this.random() < (this.options.loss ?? 0)) {
            return "timeout";
        }
        return endpoint.alive ? "ok" : "closed";
    };

    #toNode(from: SimulatedHost, node: SimulatedNode, message: HostMessage): void {
        const { id, incarnation } = from.host;
        if (!this.#isLost("leader", message)) {
            this.at(this.#delay(), () => {
                if (from.host.incarnation === incarnation) {
                    this.handle(node, { kind: "message", from: id, message });
                }
            });
        }
    }

    #nodeTick(node: SimulatedNode): void {
        this.at(20, () => this.#nodeTick(node));
        this.handle(node, { kind: "tick" });
    }

    #isLost(to: string, message: ControlMessage): boolean {
        return this.lose(to, message) || this.random() < (this.options.loss ?? 0);
    }

    #maxDelay(): number {
        return this.options.maxDelayMs ?? 2;
    }

    #delay(): number {
        return 1 + this.random() * (this.#maxDelay() - 1);
    }

    #clock(): Clock {
        const drift = this.options.drift ?? 0;
        return { rate: 1 + (this.random() * 2 - 1) * drift, offset: Math.floor(this.random() * 1e6) };
    }

    #node(id: string): SimulatedNode {
        const state = new ControlState();
        const leader = new ControlLeader(state, { ...LEADER_OPTIONS, ...this.options.leader, hostId: id });
        return { leader, state, clock: this.#clock(), applied: 0, contactAt: 0 };
    }
}
