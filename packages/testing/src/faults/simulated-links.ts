import { decodeMessage, encodeMessage, type Message } from "@medlarledge/protocol";
import type { SimulatedHost } from "./simulated-host.js";
import type { Stream } from "./simulated-network.js";
import type { World } from "./world.js";

const CHECK_MS = 100;

/** A link that passes nothing for this long is given up, as the mesh of the daemon does. */
const BROKEN_MS = 600;

interface Link {
    readonly left: SimulatedHost;
    readonly right: SimulatedHost;
    readonly incarnations: string;
    readonly streams: ReadonlyMap<string, Stream>;
    brokenSince: number | undefined;
}

/** The connections between hosts; messages travel as the bytes of the codec. */
export class SimulatedLinks {
    readonly #world: World;
    readonly #links = new Map<string, Link>();

    constructor(world: World) {
        this.#world = world;
        this.#check();
    }

    /** Returns false when there is no connection. */
    send(from: SimulatedHost, to: string, message: Message): boolean {
        const bytes = encodeMessage(message);
        const receiver = this.#world.host(to);
        if (from.id === to) {
            this.#world.time.at(0, () => from.enter(() => from.receive(from.self, message)));
            return true;
        }
        const link = this.#links.get(key(from.id, to));
        if (link === undefined || receiver === undefined) {
            return false;
        }
        const sender = from.self;
        link.streams.get(from.id)?.send(() => {
            const decoded = decodeMessage(bytes);
            if (decoded.ok) {
                receiver.enter(() => receiver.receive(sender, decoded.message));
            }
        });
        return true;
    }

    #check(): void {
        this.#world.time.at(CHECK_MS, () => this.#check());
        const { hosts } = this.#world;
        hosts.forEach((left, index) => hosts.slice(index + 1).forEach(right => this.#pair(left, right)));
    }

    #pair(left: SimulatedHost, right: SimulatedHost): void {
        const { time, network } = this.#world;
        const id = key(left.id, right.id);
        const link = this.#links.get(id);
        const running = left.alive && right.alive;
        const usable = running && !left.paused && !right.paused && network.reaches(left.id, right.id);
        const incarnations = `${left.self.incarnation} ${right.self.incarnation}`;
        if (link !== undefined) {
            link.brokenSince = usable ? undefined : link.brokenSince ?? time.now;
            const broken = link.brokenSince !== undefined && time.now - link.brokenSince >= BROKEN_MS;
            if (broken || !running || link.incarnations !== incarnations) {
                this.#links.delete(id);
                link.streams.forEach(stream => stream.close());
                left.enter(() => left.disconnected(right.id));
                right.enter(() => right.disconnected(left.id));
            }
            return;
        }
        if (usable) {
            const streams = new Map([
                [left.id, network.stream(left.id, right.id)],
                [right.id, network.stream(right.id, left.id)],
            ]);
            this.#links.set(id, { left, right, incarnations, streams, brokenSince: undefined });
            left.enter(() => left.connected(right.self));
            right.enter(() => right.connected(left.self));
        }
    }
}

function key(left: string, right: string): string {
    return left < right ? `${left}|${right}` : `${right}|${left}`;
}
