import type { Host, Message } from "@medlarledge/protocol";
import type { PeerMesh } from "@medlarledge/runtime";
import { hostNumber, hostNumberOf } from "./host-number.js";

export interface HostLinksOptions {
    readonly self: Host;
    readonly mesh: PeerMesh;
    /** Control hosts by the settings. */
    readonly control: readonly { readonly id: string; readonly address: string; }[];
    /** Takes a message that this process sends to itself. */
    readonly loopback: (message: Message) => void;
}

/** Sends to other processes and to this one alike. */
export class HostLinks {
    readonly #options: HostLinksOptions;

    constructor(options: HostLinksOptions) {
        this.#options = options;
    }

    /** Returns false when there is no connection. */
    send(to: string, message: Message): boolean {
        const { self, mesh, loopback } = this.#options;
        if (to !== self.id) {
            return mesh.send(to, message);
        }
        queueMicrotask(() => loopback(message));
        return true;
    }

    connectToControl(): void {
        const { self, mesh, control } = this.#options;
        for (const { id, address } of control) {
            // Among control hosts the lower id dials, so that there is one connection for each pair.
            if (id !== self.id && (!self.control || self.id < id)) {
                mesh.keepConnected(id, address);
            }
        }
    }

    /** Passes a cancel request to the hosts that the caller's process id may name. */
    forwardCancel(hosts: readonly Host[], processId: number, secretKey: number): void {
        const { self, mesh } = this.#options;
        const number = hostNumberOf(processId);
        for (const host of hosts) {
            if (host.id !== self.id && hostNumber(host.id) === number) {
                mesh.keepConnected(host.id, host.peerAddress);
                this.send(host.id, { kind: "cancelStatement", processId, secretKey });
            }
        }
    }
}
