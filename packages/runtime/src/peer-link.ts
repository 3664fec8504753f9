import {
    decodeMessage,
    type Hello,
    type Host,
    isHost,
    MAX_MESSAGE_BYTES,
    type Message,
    PROTOCOL_VERSION,
} from "@medlarledge/protocol";
import type { RawData, WebSocket } from "ws";
import { encodeShared, encodeSharedCompressed } from "./shared-encoding.js";

/** Time limits of links and of attempts to connect. */
export interface LinkTiming {
    /** Interval of checks and pings. */
    readonly pingMs: number;
    /** A link on which nothing was received for this long is closed. */
    readonly silenceMs: number;
    /** Time limit of one attempt to connect. */
    readonly connectMs: number;
    /** Maximum delay between two attempts. */
    readonly redialMs: number;
}

export const LINK_TIMING: LinkTiming = { pingMs: 500, silenceMs: 1_500, connectMs: 600, redialMs: 400 };

/**
 * The side that dialed pings after half a ping interval without traffic. Links are checked only once per interval, so a
 * longer time could delay the ping to the check after the next.
 */
const DIALER_PING_FACTOR = 0.5;

/**
 * The accepting side pings only when the pings of the dialing side, which show both sides that the link works, have
 * been missing for one and a half ping intervals.
 */
const ACCEPTOR_PING_FACTOR = 1.5;

/** Maximum number of unsent bytes of a link. A peer that reads too slowly is disconnected to bound the memory. */
const MAX_BUFFERED_BYTES = 32 * 1024 * 1024;

export type LinkFailure =
    | { readonly kind: "silent"; }
    | { readonly kind: "slow"; readonly bufferedBytes: number; }
    | { readonly kind: "refused"; readonly reason: string; }
    | { readonly kind: "closed"; readonly reason: string; };

/** Callbacks of a link. */
export interface LinkHandler {
    /** The `hello` of the peer was accepted. */
    opened(link: PeerLink, host: Host): void;
    message(link: PeerLink, message: Message): void;
    /** A message could not be decoded; the link stays open. */
    rejected(link: PeerLink, reason: string): void;
    /** A message was not sent, since the peer would reject it for its size. */
    oversized(link: PeerLink, kind: Message["kind"], bytes: number): void;
    /** The link ended; called once. */
    closed(link: PeerLink, failure: LinkFailure): void;
}

/** One connection to another process. Both sides send `hello` first. */
export class PeerLink {
    readonly #socket: WebSocket;
    readonly #handler: LinkHandler;
    readonly #certifiedId: string | undefined;
    readonly #requireCertificate: boolean;
    readonly #timing: LinkTiming;
    /** True when this host opened the connection. */
    readonly dialed: boolean;
    #peer: Host | undefined;
    #acceptsCompressed = false;
    #lastReceivedAt: number;
    /** Last check at which the link was not monitored; silence counts only from then on. */
    #unmonitoredUntil = Number.NEGATIVE_INFINITY;
    #failure: LinkFailure | undefined;
    bytesSent = 0;
    bytesReceived = 0;
    messagesSent = 0;
    messagesReceived = 0;

    constructor(options: {
        readonly socket: WebSocket;
        readonly self: Host;
        readonly handler: LinkHandler;
        readonly dialed: boolean;
        /** Host id of the peer's certificate. */
        readonly certifiedId: string | undefined;
        readonly requireCertificate: boolean;
        readonly timing: LinkTiming;
        readonly now: number;
        readonly clock: () => number;
    }) {
        this.#socket = options.socket;
        this.#handler = options.handler;
        this.dialed = options.dialed;
        this.#certifiedId = options.certifiedId;
        this.#requireCertificate = options.requireCertificate;
        this.#timing = options.timing;
        this.#lastReceivedAt = options.now;
        this.#socket.on("message", data => {
            this.#lastReceivedAt = options.clock();
            this.#receive(data);
        });
        this.#socket.on("pong", () => (this.#lastReceivedAt = options.clock()));
        this.#socket.on("ping", () => (this.#lastReceivedAt = options.clock()));
        this.#socket.on("error", error => this.#fail({ kind: "closed", reason: error.message }));
        this.#socket.on("close", code => this.#ended({ kind: "closed", reason: `code ${code}` }));
        this.send({ kind: "hello", protocol: PROTOCOL_VERSION, host: options.self, acceptsCompressed: true });
    }

    /** When data or a ping or pong was last received, in ms of the clock of the options. */
    get lastReceivedAt(): number {
        return this.#lastReceivedAt;
    }

    /** The process at the other end, once its `hello` was accepted. */
    get peer(): Host | undefined {
        return this.#peer;
    }

    /** Sends a message; does nothing on a closed link. Closes the link if the peer reads too slowly. */
    send(message: Message): void {
        if (this.#failure !== undefined) {
            return;
        }
        if (this.#socket.bufferedAmount > MAX_BUFFERED_BYTES) {
            this.#fail({ kind: "slow", bufferedBytes: this.#socket.bufferedAmount });
            return;
        }
        const encoded = encodeShared(message);
        if (encoded.byteLength > MAX_MESSAGE_BYTES) {
            this.#handler.oversized(this, message.kind, encoded.byteLength);
            return;
        }
        const bytes = this.#acceptsCompressed ? encodeSharedCompressed(message) : encoded;
        this.bytesSent += bytes.byteLength;
        this.messagesSent += 1;
        this.#socket.send(bytes);
    }

    /**
     * Sends a ping to a silent peer and closes a link that has been silent for too long.
     * @param isMonitored false while this process does not depend on the link, so that its silence does not matter
     */
    check(now: number, isMonitored: boolean): void {
        if (!isMonitored && this.#peer !== undefined) {
            this.#unmonitoredUntil = now;
            return;
        }
        const silentMs = now - Math.max(this.#lastReceivedAt, this.#unmonitoredUntil);
        if (silentMs > this.#timing.silenceMs) {
            this.#fail({ kind: "silent" });
            return;
        }
        const isOpen = this.#failure === undefined && this.#socket.readyState === this.#socket.OPEN;
        const pingFactor = this.dialed ? DIALER_PING_FACTOR : ACCEPTOR_PING_FACTOR;
        if (isOpen && silentMs > this.#timing.pingMs * pingFactor) {
            this.#socket.ping();
        }
    }

    close(): void {
        this.#fail({ kind: "closed", reason: "closed by this host" });
    }

    #receive(data: RawData): void {
        const bytes = Array.isArray(data)
            ? Buffer.concat(data)
            : data instanceof ArrayBuffer
            ? new Uint8Array(data)
            : data;
        this.bytesReceived += bytes.byteLength;
        this.messagesReceived += 1;
        const decoded = decodeMessage(bytes);
        if (!decoded.ok) {
            this.#handler.rejected(this, JSON.stringify(decoded.error));
            return;
        }
        if (decoded.message.kind === "hello") {
            this.#handleHello(decoded.message);
        }
        else if (this.#peer === undefined) {
            this.#fail({ kind: "refused", reason: `received ${decoded.message.kind} before hello` });
        }
        else {
            this.#handler.message(this, decoded.message);
        }
    }

    #handleHello(hello: Hello): void {
        const refusal = this.#refusalReason(hello);
        if (refusal !== undefined) {
            this.#fail({ kind: "refused", reason: refusal });
            return;
        }
        this.#peer = hello.host;
        this.#acceptsCompressed = hello.acceptsCompressed === true;
        this.#handler.opened(this, hello.host);
    }

    #refusalReason(hello: Hello): string | undefined {
        if (this.#peer !== undefined) {
            return "received a second hello";
        }
        if (!isHost(hello.host)) {
            return "the hello does not describe a host";
        }
        if (hello.protocol !== PROTOCOL_VERSION) {
            return `protocol version ${hello.protocol}, this host has ${PROTOCOL_VERSION}`;
        }
        if (this.#requireCertificate && this.#certifiedId !== hello.host.id) {
            return `host ${hello.host.id} presented a certificate for ${this.#certifiedId ?? "no host"}`;
        }
        return undefined;
    }

    #fail(failure: LinkFailure): void {
        this.#socket.terminate();
        this.#ended(failure);
    }

    #ended(failure: LinkFailure): void {
        if (this.#failure === undefined) {
            this.#failure = failure;
            this.#handler.closed(this, failure);
        }
    }
}
