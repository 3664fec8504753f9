import type { Endpoint } from "@medlarledge/protocol";
import { formatPosition } from "@medlarledge/protocol";
import { commandComplete, dataRow, errorResponse, readyForQuery, rowDescription } from "../src/messages.js";
import type { EndpointConnection, EndpointConnector, EndpointHandler, Frame } from "../src/ports.js";
import { framesOf, message } from "./fake-wire.js";

/** A statement committed by a session of an endpoint, with the number of its transaction. */
export interface CommittedStatement {
    readonly sql: string;
    readonly transaction: number;
}

/** Simulates a PostgreSQL session: transactions, prepared statements, COPY and errors. */
export class FakeSession implements EndpointConnection {
    readonly secretKey: number;
    readonly parameters = new Map<string, string>();
    readonly inbox: Frame[] = [];
    readonly prepared = new Map<string, string>();
    readonly executed: string[] = [];
    open = true;
    paused = false;
    settings = 0;
    #handler: EndpointHandler | undefined;
    #status = "I";
    #writes: string[] = [];
    #isSkippingToSync = false;
    #isCopying = false;
    #bound = "";

    constructor(readonly server: FakeServer, readonly processId: number) {
        this.secretKey = processId * 3;
    }

    get endpoint(): Endpoint {
        return this.server.endpoint;
    }

    get status(): string {
        return this.#status;
    }

    setHandler(handler: EndpointHandler): void {
        this.#handler = handler;
    }

    send(bytes: Uint8Array): boolean {
        this.inbox.push(...framesOf(Buffer.from(bytes)));
        return true;
    }

    pause(): void {
        this.paused = true;
    }

    resume(): void {
        this.paused = false;
    }

    close(): void {
        this.open = false;
        this.inbox.length = 0;
        this.server.sessions.delete(this);
    }

    /** Closes the session as if the network or the server had failed. */
    cut(): void {
        if (this.open) {
            this.close();
            this.#handler?.closed("cut");
        }
    }

    /** Answers up to `count` messages and delivers the answers in one chunk, or loses them with the connection. */
    processMessages(count = Number.POSITIVE_INFINITY, loseResponses = false): boolean {
        if (!this.open || this.paused || this.inbox.length === 0) {
            return false;
        }
        const out: Uint8Array[] = [];
        for (let done = 0; done < count && this.inbox.length > 0; done++) {
            out.push(...this.#answer(this.inbox.shift()!));
        }
        if (loseResponses) {
            this.cut();
        }
        else if (out.length > 0) {
            this.#handler?.frames(framesOf(Buffer.concat(out)));
        }
        return true;
    }

    #answer(frame: Frame): Uint8Array[] {
        const type = String.fromCharCode(frame.type);
        const body = Buffer.from(frame.bytes.subarray(5)).toString().split("\0");
        if (this.#isCopying) {
            return this.#copy(type);
        }
        if (type === "Q") {
            this.prepared.delete("");
            const out: Uint8Array[] = [];
            for (const sql of body[0]!.split(";").map(part => part.trim()).filter(part => part !== "")) {
                out.push(...this.#run(sql, true));
                if (this.#mustStop()) {
                    break;
                }
            }
            return this.#expectsCopyData() ? out : [...out, ...this.#sync()];
        }
        if (type === "S") {
            return this.#sync();
        }
        return this.#isSkippingToSync ? [] : this.#extended(type, body);
    }

    #mustStop(): boolean {
        return this.#isSkippingToSync || this.#isCopying;
    }

    #expectsCopyData(): boolean {
        return this.#isCopying;
    }

    #extended(type: string, body: string[]): Uint8Array[] {
        switch (type) {
            case "P":
                if (body[0] !== "" && this.prepared.has(body[0]!)) {
                    return this.#fail("42P05");
                }
                this.prepared.set(body[0]!, body[1]!);
                return [message("1", "")];
            case "B": {
                const sql = this.prepared.get(body[1]!);
                this.#bound = sql ?? "";
                return sql === undefined ? this.#fail("26000") : [message("2", "")];
            }
            case "D":
                return [message("t", "\0\0"), message("n", "")];
            case "E":
                return this.#run(this.#bound, false);
            case "C":
                this.prepared.delete(body[0]!.slice(1));
                return [message("3", "")];
            default:
                return [];
        }
    }

    #copy(type: string): Uint8Array[] {
        if (type !== "c" && type !== "f") {
            return [];
        }
        this.#isCopying = false;
        if (type === "f") {
            return [...this.#fail("57014"), ...this.#sync()];
        }
        this.#writes.push("copy");
        return [commandComplete("COPY 1"), ...this.#sync()];
    }

    #sync(): Uint8Array[] {
        if (this.#isSkippingToSync && this.#status === "I") {
            this.#writes = [];
        }
        this.#isSkippingToSync = false;
        if (this.#status === "I") {
            this.#commit();
        }
        return [readyForQuery(this.#status.charCodeAt(0))];
    }

    #commit(): void {
        const transaction = ++this.server.transactions;
        for (const sql of this.#writes.splice(0)) {
            this.server.position += 10;
            this.server.committed.push({ sql, transaction });
        }
    }

    #fail(code: string): Uint8Array[] {
        this.#isSkippingToSync = true;
        if (this.#status === "T") {
            this.#status = "E";
        }
        return [errorResponse(code, "failed")];
    }

    #run(sql: string, describe: boolean): Uint8Array[] {
        const [first = ""] = sql.toUpperCase().split(" ");
        if (this.#status === "E" && first !== "ROLLBACK" && first !== "COMMIT") {
            return this.#fail("25P02");
        }
        this.executed.push(sql);
        this.server.executed.push(sql);
        const row = (value: string): Uint8Array[] => [
            ...(describe ? [rowDescription("x")] : []),
            dataRow(value),
            commandComplete("SELECT 1"),
        ];
        if (sql.startsWith("SELECT pg_is_in_recovery()")) {
            return [rowDescription("x"), endpointProbeRow(this.server), commandComplete("SELECT 1")];
        }
        if (sql.includes("pg_current_wal_insert_lsn")) {
            if (this.server.cancelsPositionQuery) {
                this.server.cancelsPositionQuery = false;
                return this.#fail("57014");
            }
            return this.server.replica ? this.#fail("55000") : row(formatPosition(this.server.position));
        }
        if (sql.includes("pg_last_wal_replay_lsn")) {
            return row(formatPosition(this.server.position));
        }
        switch (first) {
            case "BEGIN":
                this.#status = "T";
                return [commandComplete("BEGIN")];
            case "COMMIT": {
                const failed = this.#status === "E";
                this.#status = "I";
                if (failed) {
                    this.#writes = [];
                }
                this.#commit();
                this.#status = sql.includes("CHAIN") ? "T" : "I";
                return [commandComplete(failed ? "ROLLBACK" : "COMMIT")];
            }
            case "ROLLBACK":
                this.#status = "I";
                this.#writes = [];
                return [commandComplete("ROLLBACK")];
            case "INSERT":
                this.#writes.push(sql);
                return [commandComplete("INSERT 0 1")];
            case "COPY":
                this.#isCopying = true;
                return [message("G", Uint8Array.of(0, 0, 0))];
            case "FAIL":
                return this.#fail("42601");
            case "DISCARD":
                this.settings = 0;
                this.prepared.clear();
                return [commandComplete("DISCARD ALL")];
            case "LISTEN":
                this.settings += 1;
                return [commandComplete("LISTEN")];
            default:
                return row(sql.startsWith("SELECT position") ? `${sql}@${this.server.position}` : sql);
        }
    }
}

function endpointProbeRow(server: FakeServer): Uint8Array {
    const columns = [
        server.replica ? "t" : "f",
        String(server.timeline),
        formatPosition(server.position),
        server.endpoint.systemIdentifier,
    ];
    const parts = columns.map(text => {
        const length = Buffer.alloc(4);
        length.writeInt32BE(text.length);
        return Buffer.concat([length, Buffer.from(text)]);
    });
    return message("D", Buffer.concat([Uint8Array.of(0, columns.length), ...parts]));
}

export class FakeServer {
    readonly sessions = new Set<FakeSession>();
    readonly committed: CommittedStatement[] = [];
    readonly executed: string[] = [];
    readonly cancelled: number[] = [];
    position = 100;
    timeline = 1;
    transactions = 0;
    reachable = true;
    /** The next position query fails, as after a cancel request that arrives late. */
    cancelsPositionQuery = false;
    openedSessions = 0;
    maxSessions = 0;

    constructor(readonly endpoint: Endpoint, public replica: boolean) {}
}

/** Connects to the fake servers by endpoint id. */
export class FakeNetwork implements EndpointConnector {
    readonly servers = new Map<string, FakeServer>();

    connect(endpoint: Endpoint): ReturnType<EndpointConnector["connect"]> {
        const server = this.servers.get(endpoint.id);
        if (server?.reachable !== true) {
            return Promise.resolve({ ok: false, error: { kind: "refused" } });
        }
        server.openedSessions += 1;
        const session = new FakeSession(server, server.openedSessions + 1_000 * this.servers.size);
        server.sessions.add(session);
        server.maxSessions = Math.max(server.maxSessions, server.sessions.size);
        return Promise.resolve({ ok: true, connection: session });
    }

    cancel(endpoint: Endpoint, processId: number): Promise<void> {
        this.servers.get(endpoint.id)?.cancelled.push(processId);
        return Promise.resolve();
    }
}
