import type { Host, Message } from "@medlarledge/protocol";
import type { LinkTiming, PeerMesh } from "@medlarledge/runtime";

/** A cut must show while most of it is still to come; cuts of some seconds are the usual ones. */
export const FLEET_LINK_TIMING: LinkTiming = { pingMs: 200, silenceMs: 800, connectMs: 250, redialMs: 100 };

/** A link that was opened for messages is closed after this time without any; opening one takes some round trips. */
const IDLE_LINK_MS = 30_000;

/**
 * Keeps links to other processes. A process is named by the address of its listener for peers, so that a seed address is
 * all that is needed to reach it.
 */
export class HostLinks {
    readonly #mesh: PeerMesh;
    readonly #self: string;
    #wanted = new Set<string>();
    /** Hosts that were dialed for a message. */
    readonly #extra = new Set<string>();
    readonly #waiters = new Map<string, Set<(isOpen: boolean) => void>>();

    constructor(mesh: PeerMesh, self: string) {
        this.#mesh = mesh;
        this.#self = self;
    }

    /** Dials exactly these hosts whenever there is no link to them. Links that are open stay. */
    keep(ids: Iterable<string>): void {
        const wanted = new Set([...ids].filter(id => id !== this.#self));
        for (const id of this.#wanted) {
            if (!wanted.has(id)) {
                this.#mesh.stopDialing(id);
            }
        }
        for (const id of wanted) {
            this.#mesh.keepConnected(id, id);
        }
        this.#wanted = wanted;
    }

    /** Opens a link to another host unless there is one. Resolves to false when that takes too long. */
    open(id: string, timeoutMs: number): Promise<boolean> {
        if (this.#mesh.isConnected(id)) {
            return Promise.resolve(true);
        }
        return new Promise(resolve => {
            const waiter = (isOpen: boolean): void => {
                clearTimeout(timer);
                this.#waiters.get(id)?.delete(waiter);
                resolve(isOpen);
            };
            const timer = setTimeout(() => waiter(false), timeoutMs);
            const waiters = this.#waiters.get(id) ?? new Set();
            this.#waiters.set(id, waiters.add(waiter));
            this.#mesh.connectOnce(id, id);
            this.#extra.add(id);
        });
    }

    /** Closes links that were opened for messages and have carried none for a while. */
    closeIdle(isInUse: (id: string) => boolean, now: number): void {
        for (const id of this.#extra) {
            const isIdle = !isInUse(id) && !this.isHeard(id, IDLE_LINK_MS, now);
            if (isIdle || this.#wanted.has(id)) {
                this.#extra.delete(id);
            }
            if (isIdle && !this.#wanted.has(id)) {
                this.#mesh.disconnect(id);
            }
        }
    }

    /** A link was opened, by either side. */
    opened(id: string): void {
        for (const waiter of [...this.#waiters.get(id) ?? []]) {
            waiter(true);
        }
    }

    /** True when the host was heard within this time. */
    isHeard(id: string, withinMs: number, now: number): boolean {
        return now - (this.#mesh.lastReceivedAt(id) ?? Number.NEGATIVE_INFINITY) <= withinMs;
    }

    /** Entry hosts of other data centres that were heard within this time. */
    entriesHeard(ownDataCentre: string, withinMs: number, now: number): number {
        return this.#mesh.connected().filter(host =>
            !host.control && host.dataCentre !== ownDataCentre && this.isHeard(host.id, withinMs, now)
        ).length;
    }

    connected(): readonly Host[] {
        return this.#mesh.connected();
    }

    /** Returns false when there is no link. */
    send(to: string, message: Message): boolean {
        return this.#mesh.send(to, message);
    }

    sendAll(hosts: readonly Host[], message: Message): void {
        for (const { id } of hosts) {
            this.#mesh.send(id, message);
        }
    }
}
