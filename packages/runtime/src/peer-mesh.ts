import { type Host, MAX_MESSAGE_BYTES, type Message } from "@medlarledge/protocol";
import type { Log } from "@medlarledge/telemetry";
import { createServer as createHttpServer, type Server } from "node:http";
import { createServer as createHttpsServer, type Server as HttpsServer } from "node:https";
import type { Socket } from "node:net";
import { type WebSocket, WebSocketServer } from "ws";
import { parseAddress } from "./address.js";
import { Channel } from "./channel.js";
import type { Clock } from "./clock.js";
import { PeerDialer } from "./peer-dialer.js";
import { certifiedHostId, type IdentityFiles, type IdentityMaterial, readIdentity } from "./peer-identity.js";
import { LINK_TIMING, type LinkFailure, type LinkHandler, type LinkTiming, PeerLink } from "./peer-link.js";

/** Interval of rereading the identity files, so that renewed certificates take effect without a restart. */
const IDENTITY_CHECK_MS = 5_000;

export type MeshEvent =
    | { readonly kind: "connected"; readonly host: Host; }
    | { readonly kind: "disconnected"; readonly host: Host; }
    | { readonly kind: "message"; readonly from: Host; readonly message: Message; };

export interface MeshOptions {
    readonly self: Host;
    /** Files for TLS with client certificates; undefined means plain text on loopback. */
    readonly identity: IdentityFiles | undefined;
    readonly clock: Clock;
    readonly log: Log;
    /** Address to listen on if it differs from that of `self`, for example behind a port forwarder. */
    readonly listenHost?: string;
    /** Defaults to `LINK_TIMING`. */
    readonly timing?: LinkTiming;
    /** Whether this process depends on the link to a host, so that its silence matters. Defaults to always. */
    readonly isMonitored?: (host: Host) => boolean;
}

/** Bytes and messages of all links since the start. */
export interface MeshTraffic {
    readonly bytesSent: number;
    readonly bytesReceived: number;
    readonly messagesSent: number;
    readonly messagesReceived: number;
}

/** The connections of one process to other processes, with at most one link in use to each host. */
export class PeerMesh {
    readonly #options: MeshOptions;
    readonly #events = new Channel<MeshEvent>();
    readonly #links = new Map<string, PeerLink>();
    readonly #allLinks = new Set<PeerLink>();
    readonly #dialers = new Map<string, PeerDialer>();
    readonly #timers: NodeJS.Timeout[] = [];
    #material: IdentityMaterial | undefined;
    #server: Server | HttpsServer | undefined;
    #closedTraffic: MeshTraffic = { bytesSent: 0, bytesReceived: 0, messagesSent: 0, messagesReceived: 0 };
    #closed = false;
    #lastCheckAt = Number.NEGATIVE_INFINITY;

    constructor(options: MeshOptions) {
        this.#options = options;
    }

    get #timing(): LinkTiming {
        return this.#options.timing ?? LINK_TIMING;
    }

    get events(): Channel<MeshEvent>["stream"] {
        return this.#events.stream;
    }

    /** Reads the identity files and starts to listen. Returns the reason if that fails, otherwise undefined. */
    async listen(): Promise<string | undefined> {
        const { identity } = this.#options;
        if (identity !== undefined) {
            const read = readIdentity(identity);
            if (!read.ok) {
                return read.reason;
            }
            this.#material = read.material;
        }
        const server = this.#material === undefined
            ? createHttpServer()
            : createHttpsServer({ ...this.#material, requestCert: true, rejectUnauthorized: true });
        server.on(
            "tlsClientError",
            (error: Error) => this.#options.log.event("peerRefused", { reason: error.message }),
        );
        const webSockets = new WebSocketServer({ server, maxPayload: MAX_MESSAGE_BYTES, perMessageDeflate: false });
        // The library re-emits errors of the listener, which are handled below. Unhandled they would end the process.
        webSockets.on("error", () => undefined);
        webSockets.on("connection", (socket, request) => this.#accept(socket, request.socket));
        this.#server = server;
        this.#lastCheckAt = this.#options.clock.now();
        this.#timers.push(setInterval(() => this.#checkLinks(), this.#timing.pingMs));
        this.#timers.push(setInterval(() => this.#rereadIdentity(), IDENTITY_CHECK_MS));
        const { host, port } = parseAddress(this.#options.self.peerAddress);
        return new Promise(resolve => {
            server.once("error", error => resolve(error.message));
            server.listen(port, this.#options.listenHost ?? host, () => resolve(undefined));
        });
    }

    /** Keeps a connection to a process open, and dials again when it is lost. */
    keepConnected(id: string, address: string): void {
        const dialer = this.#dialers.get(id);
        const isKept = dialer?.address === address && dialer.dialsAgain;
        if (this.#closed || id === this.#options.self.id || isKept) {
            return;
        }
        this.#dial(id, address, this.#timing.redialMs);
    }

    /** Makes one attempt to connect to a process, unless there is already a link or an attempt. */
    connectOnce(id: string, address: string): void {
        if (!this.#closed && id !== this.#options.self.id && !this.#links.has(id) && !this.#dialers.has(id)) {
            this.#dial(id, address, undefined);
        }
    }

    #dial(id: string, address: string, redialMs: number | undefined): void {
        this.#dialers.get(id)?.close();
        const dialer = new PeerDialer({
            id,
            address,
            connectMs: this.#timing.connectMs,
            redialMs,
            finished: () => this.#dialers.delete(id),
            material: () => this.#material,
            connected: () => this.#links.has(id),
            opened: (socket, certifiedId) => this.#open(socket, certifiedId, true),
            failed: reason => this.#options.log.event("peerRefused", { peer: id, reason }),
        });
        this.#dialers.set(id, dialer);
        dialer.dial();
    }

    /** Stops dialing a process; an open link stays until one side closes it. */
    stopDialing(id: string): void {
        this.#dialers.get(id)?.close();
        this.#dialers.delete(id);
    }

    /** Stops dialing a process and closes the link to it. */
    disconnect(id: string): void {
        this.#dialers.get(id)?.close();
        this.#dialers.delete(id);
        this.#links.get(id)?.close();
    }

    /** Sends to a connected host. Returns false if there is no link; true does not guarantee delivery. */
    send(id: string, message: Message): boolean {
        const link = this.#links.get(id);
        link?.send(message);
        return link !== undefined;
    }

    isConnected(id: string): boolean {
        return this.#links.has(id);
    }

    /** When data was last received from the process over the open link; undefined without one. */
    lastReceivedAt(id: string): number | undefined {
        return this.#links.get(id)?.lastReceivedAt;
    }

    /** Returns the hosts with an open link. */
    connected(): readonly Host[] {
        return [...this.#links.values()].flatMap(link => link.peer ?? []);
    }

    traffic(): MeshTraffic {
        return [...this.#allLinks].reduce(addTraffic, this.#closedTraffic);
    }

    async close(): Promise<void> {
        this.#closed = true;
        this.#timers.forEach(timer => clearInterval(timer));
        this.#dialers.forEach(dialer => dialer.close());
        this.#allLinks.forEach(link => link.close());
        const server = this.#server;
        if (server !== undefined) {
            server.closeAllConnections();
            await new Promise(resolve => server.close(resolve));
        }
    }

    #accept(socket: WebSocket, transport: Socket): void {
        this.#open(socket, certifiedHostId(transport), false);
    }

    #open(socket: WebSocket, certifiedId: string | undefined, dialed: boolean): PeerLink {
        const handler: LinkHandler = {
            opened: (link, host) => this.#opened(link, host),
            message: (link, message) => this.#received(link, message),
            rejected: (link, reason) => this.#options.log.event("messageRejected", { peer: link.peer?.id, reason }),
            oversized: (link, kind, bytes) =>
                this.#options.log.event("messageOversized", { peer: link.peer?.id, kind, bytes }),
            closed: (link, failure) => this.#ended(link, failure),
        };
        const link = new PeerLink({
            socket,
            self: this.#options.self,
            handler,
            dialed,
            certifiedId,
            requireCertificate: this.#material !== undefined,
            timing: this.#timing,
            now: this.#options.clock.now(),
            clock: this.#options.clock.now,
        });
        this.#allLinks.add(link);
        return link;
    }

    #opened(link: PeerLink, host: Host): void {
        const former = this.#links.get(host.id);
        if (former !== undefined && this.#shouldKeepFormer(former, link, host)) {
            link.close();
            return;
        }
        this.#links.set(host.id, link);
        if (former?.peer !== undefined && former.peer.incarnation !== host.incarnation) {
            this.#events.push({ kind: "disconnected", host: former.peer });
        }
        former?.close();
        this.#options.log.event("peerConnected", { peer: host.id, address: host.peerAddress });
        this.#events.push({ kind: "connected", host });
    }

    /**
     * True to keep the former of two links to the same process. Both sides keep the link that the host with the lower
     * id dialed; otherwise each could close the link that the other keeps.
     */
    #shouldKeepFormer(former: PeerLink, link: PeerLink, host: Host): boolean {
        const isSameProcess = former.peer?.incarnation === host.incarnation;
        const isDialedPreferred = this.#options.self.id < host.id;
        return isSameProcess && former.dialed !== link.dialed && former.dialed === isDialedPreferred;
    }

    #received(link: PeerLink, message: Message): void {
        if (link.peer !== undefined) {
            this.#events.push({ kind: "message", from: link.peer, message });
        }
    }

    #ended(link: PeerLink, failure: LinkFailure): void {
        this.#allLinks.delete(link);
        this.#closedTraffic = addTraffic(this.#closedTraffic, link);
        const host = link.peer;
        if (host === undefined) {
            this.#options.log.event("peerRefused", { ...failure });
        }
        else if (this.#links.get(host.id) === link) {
            this.#links.delete(host.id);
            this.#options.log.event("peerDisconnected", { peer: host.id, ...failure });
            this.#events.push({ kind: "disconnected", host });
            this.#dialers.get(host.id)?.lost();
        }
        this.#dialers.forEach(dialer => dialer.ended(link));
    }

    #checkLinks(): void {
        const now = this.#options.clock.now();
        const sinceLastCheck = now - this.#lastCheckAt;
        this.#lastCheckAt = now;
        if (sinceLastCheck > this.#timing.silenceMs) {
            // This process was stalled; data that arrived during the stall is read before the next check.
            return;
        }
        const { isMonitored } = this.#options;
        this.#allLinks.forEach(link => link.check(now, link.peer === undefined || isMonitored?.(link.peer) !== false));
    }

    #rereadIdentity(): void {
        const { identity } = this.#options;
        if (identity === undefined || this.#material === undefined) {
            return;
        }
        const read = readIdentity(identity);
        if (!read.ok) {
            this.#options.log.event("peerRefused", { reason: `identity files: ${read.reason}` });
            return;
        }
        if (!read.material.cert.equals(this.#material.cert) || !read.material.ca.equals(this.#material.ca)) {
            this.#material = read.material;
            (this.#server as HttpsServer).setSecureContext(read.material);
        }
    }
}

function addTraffic(sum: MeshTraffic, link: MeshTraffic): MeshTraffic {
    return {
        bytesSent: sum.bytesSent + link.bytesSent,
        bytesReceived: sum.bytesReceived + link.bytesReceived,
        messagesSent: sum.messagesSent + link.messagesSent,
        messagesReceived: sum.messagesReceived + link.messagesReceived,
    };
}
