import type { Socket } from "node:net";
import { PostgresConnection } from "pg-gateway";
import { backendKeyData } from "./message-builders.js";

export type Authenticate = (user: string, password: string) => boolean | Promise<boolean>;

/** Reported to callers at start-up; drivers read them to choose formats. */
export const START_PARAMETERS: ReadonlyMap<string, string> = new Map([
    ["server_version", "16.0 (medlarledge)"],
    ["server_encoding", "UTF8"],
    ["client_encoding", "UTF8"],
    ["DateStyle", "ISO, MDY"],
    ["integer_datetimes", "on"],
    ["standard_conforming_strings", "on"],
]);

/**
 * pg-gateway's start-up and password exchange for one caller.
 *
 * It is detached from the socket from the beginning and gets one whole, checked message at a time: version 0.2.4
 * cuts the second of two messages in one packet at the wrong place, buffers without a limit and loops on a text
 * without an end. Of its password methods, clear text is the one that lets `authenticate` see the password.
 */
export class CallerGateway extends PostgresConnection {
    readonly #key: { readonly processId: number; readonly secretKey: number; };

    constructor(
        socket: Socket,
        authenticate: Authenticate | undefined,
        key: { readonly processId: number; readonly secretKey: number; },
    ) {
        super(socket, {
            authMode: authenticate === undefined ? "none" : "cleartextPassword",
            validateCredentials: async (credentials) => {
                try {
                    return credentials.authMode === "cleartextPassword" && authenticate !== undefined
                        && await authenticate(credentials.user, credentials.password);
                }
                catch {
                    // A failed look-up is no proof of the password.
                    return false;
                }
            },
        });
        this.#key = key;
        this.detach();
    }

    /** Replaces pg-gateway's own order, which has no key data and only the server version. */
    override completeAuthentication(): Promise<void> {
        this.isAuthenticated = true;
        this.sendAuthenticationOk();
        for (const [name, value] of START_PARAMETERS) {
            this.sendParameterStatus(name, value);
        }
        this.sendData(backendKeyData(this.#key.processId, this.#key.secretKey));
        this.sendReadyForQuery("idle");
        return Promise.resolve();
    }
}
