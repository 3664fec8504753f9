import type { Host, Message } from "@medlarledge/protocol";
import type { PeerMesh } from "@medlarledge/runtime";

/**
 * Keeps links to other processes. A process is named by the address of its listener for peers, so that a seed address is
 * all that is needed to reach it.
 */
export class HostLinks {
    readonly #mesh: PeerMesh;
    readonly #self: string;
    #wanted = new Set<string>();

    constructor(mesh: PeerMesh, self: string) {
        this.#mesh = mesh;
        this.#self = self;
    }

    /** Dials exactly these hosts whenever there is no link to them. Links that are open stay. */
    keep(ids: Iterable<string>): void {
        const wanted = new Set([...ids].filter(id => id !== this.#self));
        for (const id of this.#wanted) {
            if (!wanted.has(id)) {
                this.#mesh.release(id);
            }
        }
        for (const id of wanted) {
            this.#mesh.keepConnected(id, id);
        }
        this.#wanted = wanted;
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
