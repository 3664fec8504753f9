import { FrameReader, messages } from "@medlarledge/postgres";
import { formatPosition } from "@medlarledge/protocol";
import type { EndpointConnection, EndpointHandler, Frame } from "@medlarledge/proxy";
import type { SimulatedEndpoint } from "./simulated-endpoint.js";
import type { Stream } from "./simulated-network.js";

const MAX_BYTES = 1 << 20;
const TEXT = 25;

/** Splits whole protocol messages. */
export function framesOf(bytes: Uint8Array): readonly Frame[] {
    const frames = new FrameReader(MAX_BYTES).push(Buffer.from(bytes));
    return Array.isArray(frames) ? frames as readonly Frame[] : [];
}

/** The first zero-terminated text of a message. */
export function textOf(frame: Frame, from = 5): string {
    const bytes = Buffer.from(frame.bytes);
    return bytes.toString("utf8", from, bytes.indexOf(0, from));
}

/** One session at an endpoint, and at the same time the host's connection to it. */
export class SimulatedSession implements EndpointConnection {
    readonly secretKey = 1;
    readonly parameters: ReadonlyMap<string, string> = new Map();
    /** Runs a callback as part of the host's process. */
    enter: (run: () => void) => void = run => run();
    readonly #toServer: Stream;
    readonly #toHost: Stream;
    readonly #inbox: Frame[] = [];
    #handler: EndpointHandler | undefined;
    #working = false;
    #open = true;
    #rows: string[] = [];
    #status: "I" | "T" | "E" = "I";

    constructor(readonly server: SimulatedEndpoint, readonly host: string, readonly processId: number) {
        this.#toServer = server.world.network.stream(host, server.id);
        this.#toHost = server.world.network.stream(server.id, host);
    }

    get endpoint(): SimulatedEndpoint["description"] {
        return this.server.description;
    }

    setHandler(handler: EndpointHandler): void {
        this.#handler = handler;
    }

    send(bytes: Uint8Array): boolean {
        const { world, id } = this.server;
        for (const frame of framesOf(bytes)) {
            const sql = textOf(frame);
            if (/^(INSERT|SELECT v|BEGIN)/.test(sql)) {
                world.record({ kind: "workSent", at: world.time.now, host: this.host, endpoint: id });
                world.reach(`sent:${sql.slice(0, 6)}`);
            }
            this.#toServer.send(() => {
                this.#inbox.push(frame);
                this.#work();
            });
        }
        return true;
    }

    pause(): void {}

    resume(): void {}

    /** The host closes the connection; the server notices when the end of the stream arrives. */
    close(): void {
        this.#handler = undefined;
        this.#toServer.send(() => this.#drop());
    }

    /** The server ends; the host is told when the network allows. */
    end(): void {
        this.#drop();
        this.#toHost.send(() => this.enter(() => this.#handler?.closed("closed")));
    }

    #drop(): void {
        this.#open = false;
        this.#rows = [];
        this.#inbox.length = 0;
        this.server.sessions.delete(this);
    }

    #work(): void {
        if (this.#working || !this.#open) {
            return;
        }
        this.#working = true;
        this.server.world.time.at(this.server.statementMs, () => this.#next());
    }

    #next(): void {
        this.#working = false;
        if (!this.#open) {
            return;
        }
        if (this.server.paused) {
            this.server.world.time.at(5, () => this.#work());
            return;
        }
        const frame = this.#inbox.shift();
        if (frame === undefined) {
            return;
        }
        const out = this.#run(textOf(frame));
        const isInsert = textOf(frame).startsWith("INSERT");
        if (this.server.closeInAnswer && isInsert) {
            this.server.closeInAnswer = false;
            this.#deliver(out.slice(0, 1));
            this.end();
            return;
        }
        this.#deliver([...out, messages.readyForQuery(this.#status)]);
        if (this.#inbox.length > 0) {
            this.#work();
        }
    }

    #deliver(out: readonly Uint8Array[]): void {
        const bytes = Buffer.concat(out);
        this.#toHost.send(() => this.enter(() => this.#handler?.frames(framesOf(bytes))));
    }

    #run(sql: string): readonly Uint8Array[] {
        const { server } = this;
        const { world } = server;
        if (sql.includes("pg_is_in_recovery")) {
            const { role, timeline, position, systemIdentifier } = server.reading();
            return row([role === "replica" ? "t" : "f", String(timeline), formatPosition(position), systemIdentifier]);
        }
        if (sql.includes("pg_current_wal_insert_lsn")) {
            return server.isReplica ? this.#fail("55000") : row([formatPosition(server.position)]);
        }
        if (sql.includes("pg_last_wal_replay_lsn")) {
            return row([formatPosition(server.position)]);
        }
        if (sql.startsWith("BEGIN")) {
            this.#status = "T";
            return [messages.commandComplete("BEGIN")];
        }
        if (sql.startsWith("COMMIT") || sql.startsWith("ROLLBACK")) {
            return this.#finish(sql.startsWith("COMMIT") && this.#status === "T");
        }
        const written = /^INSERT INTO t VALUES \('(.+?)'\)/.exec(sql)?.[1];
        if (written !== undefined) {
            return this.#insert(written);
        }
        if (sql.startsWith("SELECT v")) {
            const tag = /'(.+?)'/.exec(sql)?.[1] ?? "";
            const rows = [tag, ...server.rows, ...this.#rows];
            world.reach("executed:SELECT");
            return [header(1), ...rows.map(value => messages.dataRow([value])), done(`SELECT ${rows.length}`)];
        }
        return [messages.commandComplete(sql.split(" ")[0] ?? "")];
    }

    #insert(written: string): readonly Uint8Array[] {
        const { server } = this;
        const { world } = server;
        if (server.isReplica || server.readOnly || this.#status === "E") {
            return this.#fail("25006");
        }
        world.record({ kind: "executed", at: world.time.now, endpoint: server.id, row: written });
        world.reach("executed:INSERT");
        this.#rows.push(written);
        if (this.#status === "I") {
            server.commit(this.#rows.splice(0));
        }
        return row([written], "INSERT 0 1");
    }

    #finish(commits: boolean): readonly Uint8Array[] {
        const rows = this.#rows.splice(0);
        this.#status = "I";
        if (commits && rows.length > 0) {
            this.server.commit(rows);
            this.server.world.reach("executed:COMMIT");
        }
        return [messages.commandComplete(commits ? "COMMIT" : "ROLLBACK")];
    }

    #fail(code: string): readonly Uint8Array[] {
        this.#status = this.#status === "I" ? "I" : "E";
        return [messages.errorResponse(code, "refused by the endpoint")];
    }
}

const done = messages.commandComplete;

function header(columns: number): Uint8Array {
    return messages.rowDescription(Array.from({ length: columns }, () => ({ name: "v", typeId: TEXT })));
}

function row(values: readonly string[], tag = "SELECT 1"): readonly Uint8Array[] {
    return [header(values.length), messages.dataRow(values), done(tag)];
}
