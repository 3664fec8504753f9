import { MAX_MESSAGE_BYTES } from "@medlarledge/protocol";
import type { Socket } from "node:net";
import { WebSocket } from "ws";
import { certifiedHostId, commonName, type IdentityMaterial } from "./peer-identity.js";
import type { PeerLink } from "./peer-link.js";

/** Delay before the second attempt; it doubles with every attempt up to `redialMs`. */
const MIN_REDIAL_MS = 50;

export interface DialerOptions {
    readonly id: string;
    readonly address: string;
    /** Time limit of one attempt to connect. */
    readonly connectMs: number;
    /** Maximum delay between two attempts; undefined to attempt only once. */
    readonly redialMs: number | undefined;
    readonly material: () => IdentityMaterial | undefined;
    /** True while any link to the host is open, whichever side dialed it. */
    readonly connected: () => boolean;
    /** Called for an open connection; returns the link that uses it. */
    readonly opened: (socket: WebSocket, certifiedId: string | undefined) => PeerLink;
    /** Called when an attempt fails for another reason than the one before. */
    readonly failed: (reason: string) => void;
    /** Called when the only attempt failed or its link is closed. */
    readonly finished: () => void;
}

/** Opens a connection to another process, and dials again with exponential backoff when it fails or is lost. */
export class PeerDialer {
    readonly #options: DialerOptions;
    #link: PeerLink | undefined;
    #timer: NodeJS.Timeout | undefined;
    #delayMs = MIN_REDIAL_MS;
    #closed = false;
    #lastReason = "";

    constructor(options: DialerOptions) {
        this.#options = options;
    }

    get address(): string {
        return this.#options.address;
    }

    /** Whether it dials again after a failure or a loss. */
    get dialsAgain(): boolean {
        return this.#options.redialMs !== undefined;
    }

    /** Attempts to connect, unless a link to the host is open. */
    dial(): void {
        if (this.#closed || this.#options.connected()) {
            // When the open link is lost, `lost` dials again.
            return;
        }
        const socket = this.#openSocket();
        if (socket === undefined) {
            return;
        }
        let transport: Socket | undefined;
        socket.once("upgrade", response => (transport = response.socket));
        socket.once("error", error => this.#failed(error.message));
        socket.once("open", () => {
            socket.removeAllListeners("error");
            this.#delayMs = MIN_REDIAL_MS;
            const certifiedId = transport === undefined ? undefined : certifiedHostId(transport);
            this.#link = this.#options.opened(socket, certifiedId);
        });
    }

    /** Starts a connection. The address may come from another host and be unusable, for which the library throws. */
    #openSocket(): WebSocket | undefined {
        const material = this.#options.material();
        const scheme = material === undefined ? "ws" : "wss";
        try {
            return new WebSocket(`${scheme}://${this.#options.address}/`, {
                handshakeTimeout: this.#options.connectMs,
                maxPayload: MAX_MESSAGE_BYTES,
                perMessageDeflate: false,
                ...(material === undefined ? {} : this.#tlsOptions(material)),
            });
        }
        catch (error) {
            this.#failed(error instanceof Error ? error.message : String(error));
            return undefined;
        }
    }

    /** Called for every link that ended. Dials again if this dialer opened it and no other link is open by then. */
    ended(link: PeerLink): void {
        if (this.#link === link) {
            this.#link = undefined;
            this.#redialLater();
        }
    }

    /** Called when the link in use to the host was lost, whichever side dialed it. */
    lost(): void {
        if (this.#link === undefined) {
            this.#redialLater();
        }
    }

    /** Stops dialing; an open link stays. */
    close(): void {
        this.#closed = true;
        clearTimeout(this.#timer);
    }

    #tlsOptions(material: IdentityMaterial): object {
        return {
            ...material,
            rejectUnauthorized: true,
            // A certificate names the host by its id, since IP addresses can change.
            checkServerIdentity: (_host: string, certificate: Parameters<typeof commonName>[0]) =>
                commonName(certificate) === this.#options.id
                    ? undefined
                    : new Error(`certificate of another host: ${commonName(certificate) ?? "no common name"}`),
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
        this.#redialLater();
    }

    #redialLater(): void {
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
