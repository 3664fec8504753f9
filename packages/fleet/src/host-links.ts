import type { Host, Message } from "@medlarledge/protocol";
import type { LinkTiming, PeerMesh } from "@medlarledge/runtime";

/** Timing that detects a network partition early in its course; partitions usually last some seconds. */
export const FLEET_LINK_TIMING: LinkTiming = { pingMs: 200, silenceMs: 800, connectMs: 250, redialMs: 100 };

/** A link that was opened on demand is closed after this time without messages. Opening one takes some round trips. */
const IDLE_LINK_MS = 30_000;

/**
 * Manages the links to other processes. The id of a process is the address of its peer listener, so that a seed address
 * is enough to reach it.
 */
export class HostLinks {
    readonly #mesh: PeerMesh;
    readonly #self: string;
    #wanted = new Set<string>();
    /** Hosts to which a link was opened on demand. */
    readonly #temporary = new Set<string>();
    readonly #waiters = new Map<string, Set<(isOpen: boolean) => void>>();

    constructor(mesh: PeerMesh, self: string) {
        this.#mesh = mesh;
        this.#self = self;
    }

    /**
     * Sets the hosts to which links are kept open; they are dialed whenever a link is missing. Other open links stay.
     */
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

    /** Opens a link to another host unless one is open. Resolves to false when that fails within `timeoutMs`. */
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
            this.#temporary.add(id);
        });
    }

    /** Makes one attempt to open a link to each host that has none; a link that opens stays until one side closes it. */
    attempt(ids: readonly string[]): void {
        ids.forEach(id => this.#mesh.connectOnce(id, id));
    }

    /** Closes the link to a host. It is not dialed again unless it is among the hosts to keep. */
    disconnect(id: string): void {
        this.#mesh.disconnect(id);
    }

    /** Closes idle links that were opened on demand. */
    closeIdle(isInUse: (id: string) => boolean, now: number): void {
        for (const id of this.#temporary) {
            const isIdle = !isInUse(id) && !this.hasRecentContact(id, IDLE_LINK_MS, now);
            if (isIdle || this.#wanted.has(id)) {
                this.#temporary.delete(id);
            }
            if (isIdle && !this.#wanted.has(id)) {
                this.#mesh.disconnect(id);
            }
        }
    }

    /** Handles a new link that was opened by either side. */
    opened(id: string): void {
        for (const waiter of [...this.#waiters.get(id) ?? []]) {
            waiter(true);
        }
    }

    /** Returns true when the last message of the host is at most `withinMs` old. */
    hasRecentContact(id: string, withinMs: number, now: number): boolean {
        return now - (this.#mesh.lastReceivedAt(id) ?? Number.NEGATIVE_INFINITY) <= withinMs;
    }

    /** Counts the linked entry hosts of other data centres whose last message is at most `withinMs` old. */
    countRecentEntryContacts(ownDataCentre: string, withinMs: number, now: number): number {
        return this.#mesh.connected().filter(host =>
            !host.control && host.dataCentre !== ownDataCentre && this.hasRecentContact(host.id, withinMs, now)
        ).length;
    }

    connected(): readonly Host[] {
        return this.#mesh.connected();
    }

    /** Sends a message. Returns false when there is no link. */
    send(to: string, message: Message): boolean {
        return this.#mesh.send(to, message);
    }

    sendAll(hosts: readonly Host[], message: Message): void {
        for (const { id } of hosts) {
            this.#mesh.send(id, message);
        }
    }
}
