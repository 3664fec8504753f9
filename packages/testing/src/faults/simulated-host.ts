import type { Host, Message } from "@medlarledge/protocol";
import type { CallerConnection, EndpointConnector } from "@medlarledge/proxy";
import { Proxy } from "@medlarledge/proxy";
import type { Classifier } from "@medlarledge/routing";
import { TokenCodec } from "@medlarledge/session";
import { proxyParts } from "../../../daemon/src/proxy-parts.js";
import { SimulatedControl } from "./simulated-control.js";
import { SimulatedDisk } from "./simulated-disk.js";
import type { SimulatedEndpoint } from "./simulated-endpoint.js";
import { SimulatedEntry } from "./simulated-entry.js";
import { CONTROL_HOSTS, type World } from "./world.js";

const TICK_MS = 10;
const JOIN_MS = 1_000;
const KEY = Buffer.alloc(32, 7);

/** One process of the system with its own clocks and disk. Whatever runs in it stops while it is paused or ended. */
export class SimulatedHost {
    readonly disk = new SimulatedDisk();
    self: Host;
    alive = false;
    paused = false;
    /** Difference between this host's wall clock and real time, in ms. */
    wallOffset = 0;
    entry!: SimulatedEntry;
    proxy!: Proxy;
    control: SimulatedControl | undefined;
    #backlog: (() => void)[] = [];
    readonly #ended: (() => void)[] = [];
    #incarnation = 0;

    constructor(readonly world: World, readonly id: string, readonly dataCentre: string) {
        this.self = this.#describe();
    }

    now(): number {
        return this.world.time.now;
    }

    wallClock(): number {
        return this.world.time.now + this.wallOffset;
    }

    /** Runs a part of this process: now, after a pause, or never if the process ended meanwhile. */
    enter(run: () => void): void {
        if (!this.alive) {
            return;
        }
        if (this.paused) {
            this.#backlog.push(run);
            return;
        }
        run();
    }

    /** Binds a callback to the present process. */
    bind(run: () => void): () => void {
        const incarnation = this.#incarnation;
        return () => incarnation === this.#incarnation ? this.enter(run) : undefined;
    }

    /** Starts the process; a first start of the group founds it. */
    async start(founds = false): Promise<void> {
        if (this.alive) {
            return;
        }
        this.#incarnation += 1;
        this.alive = true;
        this.paused = false;
        this.#backlog = [];
        this.self = this.#describe();
        this.world.reach("start:begun");
        this.entry = new SimulatedEntry(this, this.world);
        this.proxy = this.#buildProxy(this.world.classifier);
        this.#tick(this.#incarnation);
        if (CONTROL_HOSTS.includes(this.id)) {
            const incarnation = this.#incarnation;
            const control = await SimulatedControl.open(this.world, this, this.disk, founds);
            if (control === undefined || incarnation !== this.#incarnation) {
                return;
            }
            this.control = control;
            control.connected(this.self);
            this.world.hosts
                .filter(host => host !== this && host.alive && this.world.network.reaches(host.id, this.id))
                .forEach(host => control.connected(host.self));
        }
    }

    /** Resolves when the present process ends. */
    ended(): Promise<undefined> {
        return new Promise(resolve => this.#ended.push(() => resolve(undefined)));
    }

    /** Ends the process at once, as a kill does. */
    end(): void {
        if (!this.alive) {
            return;
        }
        this.alive = false;
        this.#incarnation += 1;
        if (this.control !== undefined) {
            this.control.stopped = true;
            this.control = undefined;
        }
        this.disk.files.crash();
        this.world.record({ kind: "hostEnded", at: this.now(), host: this.id });
        this.world.hostEnded(this.id);
        this.#ended.splice(0).forEach(resolve => resolve());
    }

    /** A control host whose disk fails ends with an error. */
    failed(): void {
        this.world.trace(`${this.id} stops: its disk failed`);
        this.end();
    }

    pause(): void {
        this.paused = this.alive;
    }

    resume(): void {
        this.paused = false;
        const backlog = this.#backlog;
        this.#backlog = [];
        backlog.forEach(run => this.enter(run));
    }

    send(to: string, message: Message): boolean {
        if (message.kind !== "agreement" && message.kind !== "renewLease") {
            this.world.reach(`send:${message.kind}`);
        }
        return this.world.links.send(this, to, message);
    }

    receive(from: Host, message: Message): void {
        switch (message.kind) {
            case "agreement":
                this.control?.agreementMessage(message.from, message.to, message.message);
                break;
            case "renewLease":
                if (this.control === undefined) {
                    this.send(from.id, { kind: "leaseRefused", sequence: message.sequence, leader: undefined });
                    break;
                }
                this.control.received(from.id, message);
                break;
            case "revoked":
            case "endpointObservation":
                this.control?.received(from.id, message);
                break;
            case "leaderRequest":
                this.control?.request(from.id, message.id, message.name, message.body);
                break;
            default:
                this.entry.received(from.id, message);
        }
    }

    connected(host: Host): void {
        this.control?.connected(host);
    }

    disconnected(id: string): void {
        this.control?.disconnected(id);
    }

    /** Asks an endpoint over a short connection; the answer is undefined when none comes in time. */
    ask<T>(
        id: string,
        timeoutMs: number,
        run: (endpoint: SimulatedEndpoint) => T,
        answered: (result: T | undefined) => void,
    ): void {
        const { time, network } = this.world;
        let open = true;
        const finish = (result: T | undefined): void => {
            if (open) {
                open = false;
                answered(result);
            }
        };
        time.at(timeoutMs, this.bind(() => finish(undefined)));
        network.datagram(this.id, id, () => {
            const endpoint = this.world.endpoint(id);
            if (endpoint === undefined || endpoint.paused) {
                return;
            }
            const result = endpoint.alive ? run(endpoint) : undefined;
            network.datagram(id, this.id, this.bind(() => finish(result)));
        });
    }

    accept(caller: CallerConnection): void {
        this.proxy.accept(caller);
    }

    #tick(incarnation: number): void {
        if (incarnation !== this.#incarnation) {
            return;
        }
        this.world.time.at(TICK_MS, () => this.#tick(incarnation));
        if (this.paused) {
            return;
        }
        this.entry.tick();
        this.control?.tick();
        if (this.control?.mustJoin === true && this.now() % JOIN_MS < TICK_MS) {
            void this.entry.request("joinGroup", this.control.memberId, JOIN_MS);
        }
    }

    #buildProxy(classifier: Classifier): Proxy {
        const { time } = this.world;
        return new Proxy({
            source: this.entry.source,
            connector: this.#connector(),
            classifier,
            tokens: new TokenCodec([KEY]),
            clock: () => this.now(),
            schedule: (delayMs, callback) => time.at(delayMs, this.bind(callback)),
            events: {
                answered: endpoint => this.entry.observed(endpoint.id, "ok"),
                closed: endpoint => this.entry.observed(endpoint.id, "closed"),
                silent: endpoint => this.entry.observed(endpoint.id, "timeout"),
                stalled: endpoint => this.entry.probe(endpoint.id),
                slotsWanted: () => undefined,
                served: () => undefined,
            },
            dependencies: proxyParts(() => undefined, 1 + Math.floor(time.random() * 1e9)),
        });
    }

    #connector(): EndpointConnector {
        const connect: EndpointConnector["connect"] = (endpoint, timeoutMs) =>
            new Promise(resolve => {
                const incarnation = this.#incarnation;
                this.ask(endpoint.id, timeoutMs, server => server.connect(this.id), session => {
                    if (session === undefined) {
                        resolve({ ok: false, error: { kind: "refused" } });
                        return;
                    }
                    session.enter = run => incarnation === this.#incarnation ? this.enter(run) : undefined;
                    resolve({ ok: true, connection: session });
                });
            });
        return { connect, cancel: () => Promise.resolve() };
    }

    #describe(): Host {
        const address = `${this.id}:1`;
        return {
            id: this.id,
            incarnation: `${this.id}-${this.#incarnation}`,
            dataCentre: this.dataCentre,
            peerAddress: address,
            httpAddress: address,
            callerAddress: address,
            control: CONTROL_HOSTS.includes(this.id),
        };
    }
}
