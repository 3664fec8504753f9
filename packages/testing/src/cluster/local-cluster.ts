import type { ConfigurationFile } from "@medlarledge/protocol";
import { digestOf, type HostSettings } from "@medlarledge/settings";
import { randomBytes } from "node:crypto";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { AnnouncementSettings } from "../stand-in/announcer.js";
import { freePorts } from "./free-ports.js";
import { LocalEndpoint } from "./local-endpoint.js";
import { LocalHost } from "./local-host.js";
import { Relay } from "./relay.js";

const PORTS_PER_HOST = 3;
const READY_TIMEOUT_MS = 20_000;
const POLL_MS = 20;

export interface ClusterOptions {
    /** Folder with the bundled programs `medlarledge.cjs` and `stand-in.cjs`. */
    readonly programs: string;
    readonly hosts: readonly { readonly id: string; readonly dataCentre: string; readonly control: boolean; }[];
    readonly databases: readonly string[];
    /** Data centre of each endpoint of each database; the first one starts as primary. */
    readonly endpointPlaces: readonly string[];
    readonly slots: number;
    readonly connections: number;
    readonly lagMs?: number;
    readonly statementMs?: number;
    /** One-way delay between hosts, and between hosts and endpoints, by relays. */
    readonly delayMs?: number;
    readonly timing?: Partial<HostSettings["timing"]>;
    readonly logLevel?: HostSettings["logLevel"];
    readonly keepFolder?: boolean;
}

/** Hosts and stand-in endpoints as plain processes on loopback, for the quickstart and for experiments. */
export class LocalCluster {
    readonly hosts: readonly LocalHost[];
    readonly folder: string;
    readonly #options: ClusterOptions;
    readonly announceKey: string;
    readonly #endpoints: LocalEndpoint[] = [];
    readonly #relays: Relay[];
    /** A wait failed, and its message names the folder with the logs. */
    #keepsFolder = false;

    private constructor(
        options: ClusterOptions,
        folder: string,
        hosts: readonly LocalHost[],
        announceKey: string,
        relays: Relay[],
    ) {
        this.#relays = relays;
        this.#options = options;
        this.folder = folder;
        this.hosts = hosts;
        this.announceKey = announceKey;
    }

    /** Starts the processes; `ready` tells when they serve. */
    static async start(options: ClusterOptions): Promise<LocalCluster> {
        const folder = await mkdtemp(join(tmpdir(), "medlarledge-cluster-"));
        const ports = await freePorts(options.hosts.length * PORTS_PER_HOST);
        const announceKey = randomBytes(32).toString("hex");
        const sessionKeys = [randomBytes(32).toString("hex")];
        const address = (host: number, port: number): string => `127.0.0.1:${ports[host * PORTS_PER_HOST + port] ?? 0}`;
        const { delayMs } = options;
        const relays: Relay[] = [];
        const control: { id: string; address: string; }[] = [];
        for (const [index, host] of options.hosts.entries()) {
            if (host.control) {
                const relay = delayMs === undefined ? undefined : await relayTo(address(index, 1), delayMs);
                relays.push(...(relay === undefined ? [] : [relay]));
                const reached = relay === undefined ? address(index, 1) : `127.0.0.1:${relay.port}`;
                control.push({ id: host.id, address: reached });
            }
        }
        const hosts = options.hosts.map((host, index) =>
            new LocalHost(`${options.programs}/medlarledge.cjs`, {
                id: host.id,
                dataCentre: host.dataCentre,
                callerAddress: address(index, 0),
                peerAddress: address(index, 1),
                httpAddress: address(index, 2),
                control,
                ...(host.control ? { dataFolder: join(folder, `${host.id}-data`) } : {}),
                endpointUser: "proxy",
                sessionKeys,
                announceKey,
                plaintextPeers: true,
                logLevel: options.logLevel ?? "info",
                ...(options.timing === undefined ? {} : { timing: options.timing as HostSettings["timing"] }),
            }, folder)
        );
        const cluster = new LocalCluster(options, folder, hosts, announceKey, relays);
        await Promise.all(hosts.map(host => host.start()));
        for (const database of options.databases) {
            await cluster.#startEndpoints(database);
        }
        return cluster;
    }

    /** Endpoints of a database, the first primary first. */
    endpoints(database: string): readonly LocalEndpoint[] {
        return this.#endpoints.filter(endpoint => endpoint.database === database);
    }

    /** The running endpoint that the hosts take as primary. */
    async primaryOf(database: string): Promise<LocalEndpoint | undefined> {
        const { cluster } = await this.anyHost().report();
        const id = cluster.databases.find(candidate => candidate.database === database)?.primary;
        return this.endpoints(database).find(endpoint => endpoint.id === id && endpoint.running);
    }

    /** Sets the one-way delay of all relays, in ms, asked for each chunk. */
    setDelay(nextDelayMs: () => number): void {
        for (const relay of this.#relays) {
            relay.nextDelayMs = nextDelayMs;
        }
    }

    /** Proposes a configuration through the first host that runs. */
    async apply(number: number, files: readonly ConfigurationFile[]): Promise<string> {
        const host = this.hosts.find(candidate => candidate.running);
        const change = { number, digest: digestOf(files), operator: "quickstart", files };
        const result = await host?.apply(change);
        return result?.outcome ?? "unavailable";
    }

    /** Waits until all running hosts serve and every database has a primary. */
    async ready(): Promise<void> {
        await this.until("all hosts are ready", async () => {
            const ready = await Promise.all(this.hosts.filter(host => host.running).map(host => host.ready()));
            return ready.every(Boolean);
        });
        await this.until("every database has a primary", async () => {
            const { cluster } = await this.anyHost().report();
            return this.#options.databases.every(name =>
                cluster.databases.some(database => database.database === name && database.primary !== undefined)
            );
        });
    }

    anyHost(): LocalHost {
        const host = this.hosts.find(candidate => candidate.running);
        if (host === undefined) {
            throw new Error("no host runs");
        }
        return host;
    }

    /** Waits for a condition; an exception of the check counts as not yet. */
    async until(what: string, check: () => Promise<boolean>, timeoutMs = READY_TIMEOUT_MS): Promise<void> {
        const deadline = performance.now() + timeoutMs;
        while (performance.now() < deadline) {
            if (await check().catch(() => false)) {
                return;
            }
            await new Promise(resolve => setTimeout(resolve, POLL_MS));
        }
        this.#keepsFolder = true;
        throw new Error(`${what}: not within ${timeoutMs} ms; logs are in ${this.folder}`);
    }

    /** Starts one more endpoint of a database as a replica of the present primary. */
    async addEndpoint(database: string, id: string, primary: LocalEndpoint): Promise<LocalEndpoint> {
        return this.#startEndpoint(database, id, this.#options.endpointPlaces[0] ?? "", primary);
    }

    async stop(): Promise<void> {
        await Promise.all(this.hosts.filter(host => host.running).map(host => host.stop()));
        await Promise.all(this.#endpoints.filter(endpoint => endpoint.running).map(endpoint => endpoint.kill()));
        this.#relays.forEach(relay => relay.close());
        if (this.#options.keepFolder !== true && !this.#keepsFolder) {
            await rm(this.folder, { recursive: true, force: true });
        }
    }

    #announcement(): AnnouncementSettings {
        return {
            addresses: this.hosts.map(host => `http://${host.settings.httpAddress}`),
            key: this.announceKey,
        };
    }

    async #startEndpoints(database: string): Promise<void> {
        let primary: LocalEndpoint | undefined;
        for (const [index, place] of this.#options.endpointPlaces.entries()) {
            const endpoint = await this.#startEndpoint(database, `${database}-${index + 1}`, place, primary);
            primary ??= endpoint;
        }
    }

    async #startEndpoint(
        database: string,
        id: string,
        dataCentre: string,
        primary: LocalEndpoint | undefined,
    ): Promise<LocalEndpoint> {
        const { programs, slots, connections, lagMs, statementMs, delayMs } = this.#options;
        const relay = delayMs === undefined ? undefined : await relayTo("127.0.0.1:0", delayMs);
        const endpoint = new LocalEndpoint(`${programs}/stand-in.cjs`, {
            id,
            database,
            dataCentre,
            slots,
            connections,
            lagMs: lagMs ?? 0,
            statementMs: statementMs ?? 0,
            ...(primary === undefined ? {} : { follow: { host: "127.0.0.1", port: primary.replicationPort } }),
            announce: { ...this.#announcement(), ...(relay === undefined ? {} : { port: relay.port }) },
        }, join(this.folder, `${id}.log`));
        await endpoint.ready();
        if (relay !== undefined) {
            relay.setTarget(endpoint.port);
            this.#relays.push(relay);
        }
        this.#endpoints.push(endpoint);
        return endpoint;
    }
}

async function relayTo(address: string, delayMs: number): Promise<Relay> {
    const relay = new Relay(Number(address.split(":")[1]), () => delayMs);
    await relay.listen();
    return relay;
}
