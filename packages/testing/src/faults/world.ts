import type { ControlCommand, ControlState } from "@medlarledge/control";
import type { ConfigurationChange, Endpoint } from "@medlarledge/protocol";
import { Classifier } from "@medlarledge/routing";
import { createHash } from "node:crypto";
import type { HistoryEvent } from "./history.js";
import { SimulatedEndpoint } from "./simulated-endpoint.js";
import { SimulatedHost } from "./simulated-host.js";
import { SimulatedLinks } from "./simulated-links.js";
import { SimulatedNetwork } from "./simulated-network.js";
import { SimulatedTime } from "./simulated-time.js";

export const DATABASE = "shop";
export const CONTROL_HOSTS: readonly string[] = ["h0", "h1", "h2"];
const PLACES: readonly (readonly [string, string])[] = [["h0", "x"], ["h1", "y"], ["h2", "z"], ["h3", "x"]];
const ENDPOINTS: readonly (readonly [string, string])[] = [["a", "x"], ["b", "y"], ["c", "z"]];
const START_MS = 1_500;
const ANNOUNCE_MS = 1_000;
const TELL_MS = 500;
const RESEND_MS = 100;

/** How a world is set up. */
export interface Conditions {
    /** What an acknowledged write must have reached. */
    readonly acknowledge: "primary" | "replica";
    /** Entry hosts acknowledge without a lease: a fault of the system, which tests use to see that it is found. */
    readonly withoutLease?: boolean;
}

export const REPLICATED: Conditions = { acknowledge: "replica" };

/** A group of hosts and endpoints in one process, with the history of what happened. */
export class World {
    readonly time: SimulatedTime;
    readonly network: SimulatedNetwork;
    readonly links: SimulatedLinks;
    readonly hosts: readonly SimulatedHost[];
    readonly endpoints: readonly SimulatedEndpoint[];
    readonly history: HistoryEvent[] = [];
    readonly traces: string[] = [];
    /** Faults that had no target. */
    readonly missed: string[] = [];
    /** Called when something happens that a step of the matrix may wait for. */
    reach: (trigger: string) => void = () => undefined;
    /** Called when a host's process ends, for its callers. */
    hostEnded: (id: string) => void = () => undefined;
    readonly #saved = new Map<string, ConfigurationChange>();
    readonly #started = new Set<number>();
    readonly #accepted = new Set<number>();
    #sequence = 0;

    private constructor(seed: number, readonly classifier: Classifier, readonly conditions: Conditions) {
        this.time = new SimulatedTime(seed);
        this.network = new SimulatedNetwork(this.time);
        this.hosts = PLACES.map(([id, place]) => new SimulatedHost(this, id, place));
        const world = {
            time: this.time,
            network: this.network,
            record: (event: HistoryEvent) => this.record(event),
            reach: (trigger: string) => this.reach(trigger),
            endpoint: (id: string) => this.endpoint(id),
        };
        this.endpoints = ENDPOINTS.map(([id, place]) =>
            new SimulatedEndpoint(world, describe(id, place), id === "a" ? undefined : "a")
        );
        this.links = new SimulatedLinks(this);
    }

    /** Starts everything and waits until the first term has started and the first configuration is in force. */
    static async start(seed: number, conditions: Conditions): Promise<World> {
        const world = new World(seed, await Classifier.load(), conditions);
        await Promise.all(world.hosts.map(host => host.start(true)));
        await world.run(START_MS);
        world.#announce();
        void world.apply("h0", change(1, "first"));
        await world.run(START_MS);
        return world;
    }

    async run(durationMs: number): Promise<void> {
        await this.time.runUntil(this.time.now + durationMs);
    }

    host(id: string): SimulatedHost | undefined {
        return this.hosts.find(host => host.id === id);
    }

    endpoint(id: string): SimulatedEndpoint | undefined {
        return this.endpoints.find(endpoint => endpoint.id === id);
    }

    get leader(): SimulatedHost | undefined {
        return this.hosts.find(host => host.alive && host.control?.isLeader === true);
    }

    /** The primary of the newest term that a live host knows. */
    get primary(): SimulatedEndpoint | undefined {
        const terms = this.hosts.filter(host => host.alive).map(host =>
            host.entry.view.database(DATABASE)?.terms.at(-1)
        );
        const newest = terms.reduce((best, term) => (term?.term ?? 0) > (best?.term ?? 0) ? term : best, undefined);
        return newest === undefined ? undefined : this.endpoint(newest.primary);
    }

    record(event: HistoryEvent): void {
        this.history.push(event);
    }

    trace(line: string): void {
        this.traces.push(`${this.time.now.toFixed(1)} ${line}`);
    }

    /** Sends a change to control through a host; it is sent again until answered. */
    apply(hostId: string, configuration: ConfigurationChange): Promise<unknown> {
        return this.host(hostId)?.entry.request("apply", configuration, 8_000) ?? Promise.resolve(undefined);
    }

    /** Sends a request of an endpoint through any live host. A host that ends meanwhile does not answer. */
    async tell(name: string, body: unknown): Promise<boolean> {
        const host = this.hosts.find(candidate => candidate.alive && !candidate.paused);
        const timeout = this.time.sleep(TELL_MS).then(() => undefined);
        const answer = await Promise.race([host?.entry.request(name, body, TELL_MS), timeout]);
        return answer?.kind === "answered" && answer.ok;
    }

    applied(command: ControlCommand, state: ControlState): void {
        if (command.kind === "startTerm" && !this.#started.has(command.term)) {
            this.#started.add(command.term);
            const primary = state.database(command.database)?.terms.at(-1)?.primary ?? "";
            this.record({ kind: "termStarted", at: this.time.now, term: command.term, primary });
        }
    }

    configurationApplied(configuration: ConfigurationChange, outcome: string): void {
        const { number, digest } = configuration;
        if (outcome === "accepted" && !this.#accepted.has(number)) {
            this.#accepted.add(number);
            this.reach("configuration:accepted");
            this.record({ kind: "configurationAccepted", at: this.time.now, number, digest });
        }
    }

    savedConfiguration(host: string): ConfigurationChange | undefined {
        return this.#saved.get(host);
    }

    save(host: string, configuration: ConfigurationChange): void {
        this.#saved.set(host, configuration);
    }

    /** Sequence of the next announcement. */
    nextSequence(): number {
        return ++this.#sequence;
    }

    #hasMajority(): boolean {
        const running = this.hosts.filter(host => CONTROL_HOSTS.includes(host.id) && host.alive && !host.paused);
        return running.length * 2 > CONTROL_HOSTS.length;
    }

    #announce(): void {
        this.time.at(ANNOUNCE_MS, () => this.#announce());
        this.#sequence += 1;
        for (const endpoint of this.endpoints) {
            if (endpoint.alive && !endpoint.paused && !endpoint.leaving) {
                void this.tell("announce", { ...endpoint.description, sequence: this.#sequence });
            }
        }
    }

    /** An endpoint announces that it leaves, and repeats it until it is accepted. */
    async leave(endpoint: SimulatedEndpoint): Promise<void> {
        endpoint.leaving = true;
        const { id, systemIdentifier } = endpoint.description;
        this.record({ kind: "endpointLeaves", at: this.time.now, endpoint: id });
        const body = { database: DATABASE, id, systemIdentifier, sequence: this.nextSequence() };
        while (!await this.tell("leave", body)) {
            await this.time.sleep(RESEND_MS);
            // Without a majority control accepts no change (design.md, section 4.8): the bound counts from its return.
            if (!this.#hasMajority()) {
                this.record({ kind: "endpointLeaves", at: this.time.now, endpoint: id });
            }
        }
    }
}

/** A configuration under a number whose content depends on the text. */
export function change(number: number, text: string, operator = "anna"): ConfigurationChange {
    const databases = { [DATABASE]: { acknowledge: "replica", roaming: "token", defaultClass: "normal" } };
    const classes = {
        normal: { deadlineMs: 1_500 },
        aged: { ageMs: 2_000, deadlineMs: 1_500, match: { comment: { class: "aged" } } },
    };
    const content = `// ${text}\n${JSON.stringify({ number, databases, classes })}`;
    const files = [{ name: "main.jsonc", text: content }];
    return { number, digest: createHash("sha256").update(content).digest("hex"), operator, files };
}

function describe(id: string, dataCentre: string): Endpoint {
    const identity = { id, database: DATABASE, dataCentre, systemIdentifier: id, sequence: 0 };
    return { ...identity, host: `endpoint-${id}`, port: 5432, slots: 9, connections: 26 };
}
