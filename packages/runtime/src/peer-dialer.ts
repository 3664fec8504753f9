import { MAX_MESSAGE_BYTES } from "@medlarledge/protocol";
import type { Socket } from "node:net";
import { WebSocket } from "ws";
import { certifiedHost, commonName, type IdentityMaterial } from "./peer-identity.js";
import type { PeerLink } from "./peer-link.js";

/** Delay before the second attempt; it doubles up to the limit of the options. */
const REDIAL_MIN_MS = 50;

export interface DialerOptions {
    readonly id: string;
    readonly address: string;
    /** An attempt that takes longer is given up. */
    readonly connectMs: number;
    /** Longest pause between two attempts; undefined to attempt only once. */
    readonly redialMs: number | undefined;
    readonly material: () => IdentityMaterial | undefined;
    /** True while any link to the host is open, whoever dialed it. */
    readonly connected: () => boolean;
    readonly opened: (socket: WebSocket, certifiedId: string | undefined) => PeerLink;
    readonly failed: (reason: string) => void;
    /** The only attempt failed, or its link is lost. */
    readonly finished: () => void;
}

/** Keeps one outgoing connection to a process. */
export class PeerDialer {
    readonly #options: DialerOptions;
    #link: PeerLink | undefined;
    #timer: NodeJS.Timeout | undefined;
    #delayMs = REDIAL_MIN_MS;
    #closed = false;
    #lastReason = "";

    constructor(options: DialerOptions) {
        this.#options = options;
    }

    get address(): string {
        return this.#options.address;
    }

    dial(): void {
        if (this.#closed || this.#options.connected()) {
            // Should that link be lost, this dialer is told.
            return;
        }
        const material = this.#options.material();
        const scheme = material === undefined ? "ws" : "wss";
        const socket = new WebSocket(`${scheme}://${this.#options.address}/`, {
            handshakeTimeout: this.#options.connectMs,
            maxPayload: MAX_MESSAGE_BYTES,
            perMessageDeflate: false,
            ...(material === undefined ? {} : this.#tlsOptions(material)),
        });
        let transport: Socket | undefined;
        socket.once("upgrade", response => (transport = response.socket));
        socket.once("error", error => this.#failed(error.message));
        socket.once("open", () => {
            socket.removeAllListeners("error");
            this.#delayMs = REDIAL_MIN_MS;
            const certifiedId = transport === undefined ? undefined : certifiedHost(transport);
            this.#link = this.#options.opened(socket, certifiedId);
        });
    }

    /** Told of every link that ended; dials again when it was this dialer's and no other link took its place. */
    ended(link: PeerLink): void {
        if (this.#link === link) {
            this.#link = undefined;
            this.#later();
        }
    }

    /** The link to the host, whoever dialed it, was lost. */
    lost(): void {
        if (this.#link === undefined) {
            this.#later();
        }
    }

    close(): void {
        this.#closed = true;
        clearTimeout(this.#timer);
    }

    #tlsOptions(material: IdentityMaterial): object {
        return {
            ...material,
            rejectUnauthorized: true,
            // Hosts are named by their id; addresses are numbers that change.
            checkServerIdentity: (_host: string, certificate: Parameters<typeof commonName>[0]) =>
                commonName(certificate) === this.#options.id
                    ? undefined
                    : new Error(`certificate of ${commonName(certificate) ?? "nobody"}`),
        };
    }

    #failed(reason: string): void {
        if (this.#closed) {
            return;
        }
        if (reason !== this.#lastReason) {
            this.#lastReason = reason;
            this.#options.failed(reason);
        }
        this.#later();
    }

    #later(): void {
        const { redialMs, finished } = this.#options;
        if (this.#closed) {
            return;
        }
        if (redialMs === undefined) {
            this.close();
            finished();
            return;
        }
        clearTimeout(this.#timer);
        this.#timer = setTimeout(() => this.dial(), this.#delayMs);
        this.#delayMs = Math.min(this.#delayMs * 2, redialMs);
    }
}
