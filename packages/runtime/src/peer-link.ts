import { decodeMessage, type Hello, type Host, type Message, PROTOCOL_VERSION } from "@medlarledge/protocol";
import type { RawData, WebSocket } from "ws";
import { encodeShared } from "./shared-encoding.js";

/** When links are taken for lost, in ms. */
export interface LinkTiming {
    /** A peer that has been silent for this long is sent a ping. */
    readonly pingMs: number;
    /** A link without traffic for this long is closed. */
    readonly silenceMs: number;
    /** An attempt to connect that takes longer is given up. */
    readonly connectMs: number;
    /** Longest pause between two attempts. */
    readonly redialMs: number;
}

export const LINK_TIMING: LinkTiming = { pingMs: 500, silenceMs: 1_500, connectMs: 600, redialMs: 400 };

/** Checks come only once per ping interval, so half of it is the earliest that one sees. */
const DIALER_PING_PART = 0.5;

/** The pings of the side that dialed show both sides that the link works; the other one only asks when they stay away. */
const ACCEPTOR_PING_PART = 1.5;

/** Bytes that may wait in a link; a peer that reads more slowly is disconnected rather than buffered for. */
const MAX_BUFFERED_BYTES = 32 * 1024 * 1024;

export type LinkFailure =
    | { readonly kind: "silent"; }
    | { readonly kind: "slow"; readonly bufferedBytes: number; }
    | { readonly kind: "refused"; readonly reason: string; }
    | { readonly kind: "closed"; readonly reason: string; };

export interface LinkHandler {
    opened(link: PeerLink, host: Host): void;
    message(link: PeerLink, message: Message): void;
    rejected(link: PeerLink, reason: string): void;
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
    #lastHeardAt: number;
    /** Until then nobody depended on the link, so its silence says nothing. */
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
        this.#lastHeardAt = options.now;
        this.#socket.on("message", data => {
            this.#lastHeardAt = options.clock();
            this.#receive(data);
        });
        this.#socket.on("pong", () => (this.#lastHeardAt = options.clock()));
        this.#socket.on("ping", () => (this.#lastHeardAt = options.clock()));
        this.#socket.on("error", error => this.#fail({ kind: "closed", reason: error.message }));
        this.#socket.on("close", code => this.#ended({ kind: "closed", reason: `code ${code}` }));
        this.send({ kind: "hello", protocol: PROTOCOL_VERSION, host: options.self });
    }

    /** When anything last arrived, on the clock of the options. */
    get lastHeardAt(): number {
        return this.#lastHeardAt;
    }

    /** The process at the other end, once its `hello` was accepted. */
    get peer(): Host | undefined {
        return this.#peer;
    }

    send(message: Message): void {
        if (this.#failure !== undefined) {
            return;
        }
        if (this.#socket.bufferedAmount > MAX_BUFFERED_BYTES) {
            this.#fail({ kind: "slow", bufferedBytes: this.#socket.bufferedAmount });
            return;
        }
        const bytes = encodeShared(message);
        this.bytesSent += bytes.byteLength;
        this.messagesSent += 1;
        this.#socket.send(bytes);
    }

    /**
     * Sends a ping to a silent peer and closes a link that has been silent for too long.
     * @param isMonitored false while nobody depends on the link: its silence is then of no interest
     */
    check(now: number, isMonitored: boolean): void {
        if (!isMonitored && this.#peer !== undefined) {
            this.#unmonitoredUntil = now;
            return;
        }
        const silentMs = now - Math.max(this.#lastHeardAt, this.#unmonitoredUntil);
        if (silentMs > this.#timing.silenceMs) {
            this.#fail({ kind: "silent" });
            return;
        }
        const isOpen = this.#failure === undefined && this.#socket.readyState === this.#socket.OPEN;
        const patience = this.dialed ? DIALER_PING_PART : ACCEPTOR_PING_PART;
        if (isOpen && silentMs > this.#timing.pingMs * patience) {
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
            this.#greet(decoded.message);
        }
        else if (this.#peer === undefined) {
            this.#fail({ kind: "refused", reason: `${decoded.message.kind} came before hello` });
        }
        else {
            this.#handler.message(this, decoded.message);
        }
    }

    #greet(hello: Hello): void {
        const refusal = this.#refusalOf(hello);
        if (refusal !== undefined) {
            this.#fail({ kind: "refused", reason: refusal });
            return;
        }
        this.#peer = hello.host;
        this.#handler.opened(this, hello.host);
    }

    #refusalOf(hello: Hello): string | undefined {
        if (this.#peer !== undefined) {
            return "hello came twice";
        }
        if (hello.protocol !== PROTOCOL_VERSION) {
            return `protocol version ${hello.protocol}, this host has ${PROTOCOL_VERSION}`;
        }
        if (this.#requireCertificate && this.#certifiedId !== hello.host.id) {
            return `host ${hello.host.id} shows a certificate of ${this.#certifiedId ?? "nobody"}`;
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
