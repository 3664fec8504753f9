import { createHash } from "node:crypto";
import type { Socket } from "node:net";
import { serialize } from "pg-protocol";
import { continueSession, finalizeSession, type SaslSession, startSession } from "pg/lib/crypto/sasl.js";
import type { Credentials, EndpointError } from "./endpoint-connection.js";
import { describeFrameError, type Frame, FrameReader, HEADER_BYTES } from "./frame-reader.js";
import { parameterStatusOf, reportFieldsOf } from "./message-readers.js";
import { BackendType } from "./message-types.js";

/** Sub-codes of the Authentication message. */
const AuthenticationCode = { Ok: 0, ClearText: 3, Md5: 5, Sasl: 10, SaslContinue: 11, SaslFinal: 12 } as const;

/** Largest message accepted before the start-up is complete. */
const MAX_HANDSHAKE_BYTES = 64 * 1024;

export interface EndpointStart {
    readonly processId: number;
    readonly secretKey: number;
    readonly parameters: ReadonlyMap<string, string>;
}

export type HandshakeResult =
    | { readonly ok: true; readonly start: EndpointStart; }
    | { readonly ok: false; readonly error: EndpointError; };

/**
 * Start-up and authentication at an endpoint, by pg-protocol's messages and pg's SCRAM client. A whole pg `Client` is
 * not used: its socket can only be taken out through private fields, and it keeps listeners on it.
 */
export class EndpointHandshake {
    readonly #socket: Socket;
    readonly #credentials: Credentials;
    readonly #reader = new FrameReader(MAX_HANDSHAKE_BYTES);
    readonly #done: (result: HandshakeResult) => void;
    readonly #parameters = new Map<string, string>();
    readonly #onData = (chunk: Buffer): void => this.#receive(chunk);
    #processId = 0;
    #secretKey = 0;
    #sasl: SaslSession | undefined;
    #finished = false;

    /** `done` is called at most once; the socket is paused and without listeners of this class then. */
    constructor(
        socket: Socket,
        database: string,
        credentials: Credentials,
        done: (result: HandshakeResult) => void,
    ) {
        this.#socket = socket;
        this.#credentials = credentials;
        this.#done = done;
        socket.on("data", this.#onData);
        socket.write(serialize.startup({
            user: credentials.user,
            database: credentials.database ?? database,
            application_name: "medlarledge",
        }));
    }

    #receive(chunk: Buffer): void {
        const frames = this.#reader.push(chunk);
        if ("kind" in frames) {
            this.#fail({ kind: "protocol", reason: describeFrameError(frames) });
            return;
        }
        for (const frame of frames) {
            if (!this.#finished) {
                this.#take(frame);
            }
        }
    }

    #take(frame: Frame): void {
        const { type, bytes } = frame;
        if (type === BackendType.Authentication && bytes.length >= HEADER_BYTES + 4) {
            this.#authenticate(bytes.readInt32BE(HEADER_BYTES), bytes.subarray(HEADER_BYTES + 4));
        }
        else if (type === BackendType.ParameterStatus) {
            const status = parameterStatusOf(frame);
            this.#parameters.set(status?.name ?? "", status?.value ?? "");
        }
        else if (type === BackendType.BackendKeyData && bytes.length >= HEADER_BYTES + 8) {
            this.#processId = bytes.readInt32BE(HEADER_BYTES);
            this.#secretKey = bytes.readInt32BE(HEADER_BYTES + 4);
        }
        else if (type === BackendType.ReadyForQuery) {
            this.#finish({
                ok: true,
                start: { processId: this.#processId, secretKey: this.#secretKey, parameters: this.#parameters },
            });
        }
        else if (type === BackendType.ErrorResponse) {
            const fields = reportFieldsOf(frame);
            this.#fail({ kind: "rejected", sqlstate: fields.get("C") ?? "", message: fields.get("M") ?? "" });
        }
        else if (type !== BackendType.NoticeResponse && type !== BackendType.NegotiateProtocolVersion) {
            this.#fail({ kind: "protocol", reason: `unexpected message 0x${type.toString(16)} during the start-up` });
        }
    }

    #authenticate(code: number, data: Buffer): void {
        const { user, password } = this.#credentials;
        if (code === AuthenticationCode.Ok) {
            return;
        }
        if (password === undefined || password === "") {
            this.#fail({ kind: "protocol", reason: "the endpoint asks for a password and none is set" });
            return;
        }
        switch (code) {
            case AuthenticationCode.ClearText:
                this.#socket.write(serialize.password(password));
                break;
            case AuthenticationCode.Md5:
                this.#socket.write(serialize.password(md5Answer(user, password, data)));
                break;
            case AuthenticationCode.Sasl:
            case AuthenticationCode.SaslContinue:
            case AuthenticationCode.SaslFinal:
                this.#exchange(code, password, data).catch((error: unknown) => {
                    this.#fail({ kind: "protocol", reason: error instanceof Error ? error.message : "SASL" });
                });
                break;
            default:
                this.#fail({ kind: "protocol", reason: `unsupported authentication method ${code}` });
        }
    }

    /** Rejects when the endpoint does not prove that it knows the password, or names no known mechanism. */
    async #exchange(code: number, password: string, data: Buffer): Promise<void> {
        if (code === AuthenticationCode.Sasl) {
            this.#sasl = startSession(data.toString("utf8").split("\0").filter((name) => name !== ""));
            const { mechanism, response } = this.#sasl;
            this.#socket.write(serialize.sendSASLInitialResponseMessage(mechanism, response));
            return;
        }
        if (this.#sasl === undefined) {
            throw new Error("SASL data before the choice of a mechanism");
        }
        if (code === AuthenticationCode.SaslFinal) {
            finalizeSession(this.#sasl, data.toString("utf8"));
            return;
        }
        await continueSession(this.#sasl, password, data.toString("utf8"));
        if (this.#socket.writable) {
            this.#socket.write(serialize.sendSCRAMClientFinalMessage(this.#sasl.response));
        }
    }

    #fail(error: EndpointError): void {
        this.#finish({ ok: false, error });
    }

    #finish(result: HandshakeResult): void {
        if (!this.#finished) {
            this.#finished = true;
            this.#socket.off("data", this.#onData);
            this.#socket.pause();
            this.#done(result);
        }
    }
}

function md5Answer(user: string, password: string, salt: Buffer): string {
    const inner = createHash("md5").update(password + user).digest("hex");
    return "md5" + createHash("md5").update(inner).update(salt).digest("hex");
}
