import type { Endpoint } from "@medlarledge/protocol";
import type { EndpointConnection, EndpointConnector, EndpointError } from "./endpoint-connection.js";
import type { Frame } from "./frame-reader.js";
import { query, terminate } from "./message-builders.js";
import { reportFieldsOf, rowOf } from "./message-readers.js";
import { BackendType } from "./message-types.js";

export type Row = readonly (string | undefined)[];

export type QueryResult =
    | { readonly ok: true; readonly rows: readonly Row[]; }
    | { readonly ok: false; readonly error: EndpointError; };

/** Runs simple queries one after the other over a connection of its own, for control statements. */
export class ShortConnection {
    readonly #connection: EndpointConnection;
    #rows: Row[] = [];
    #error: EndpointError | undefined;
    #closed: EndpointError | undefined;
    #resolve: ((result: QueryResult) => void) | undefined;

    private constructor(connection: EndpointConnection) {
        this.#connection = connection;
        connection.setHandler({
            frames: (frames) => frames.forEach((frame) => this.#take(frame)),
            drained: () => undefined,
            closed: (reason) => {
                this.#closed = { kind: "unreachable", reason };
                this.#settle({ ok: false, error: this.#closed });
            },
        });
    }

    /**
     * Connects, gives the connection to `use`, and closes it. The time limit covers everything: when it is over, the
     * connection is closed, so that a running query fails.
     */
    static async use<T>(
        connector: EndpointConnector,
        endpoint: Endpoint,
        timeoutMs: number,
        use: (connection: ShortConnection) => Promise<T>,
    ): Promise<T | undefined> {
        const startedAt = performance.now();
        const connected = await connector.connect(endpoint, timeoutMs);
        if (!connected.ok) {
            return undefined;
        }
        const left = Math.max(1, timeoutMs - (performance.now() - startedAt));
        const timer = setTimeout(() => connected.connection.close(), left);
        try {
            return await use(new ShortConnection(connected.connection));
        }
        finally {
            clearTimeout(timer);
            connected.connection.send(terminate());
            connected.connection.close();
        }
    }

    query(sql: string): Promise<QueryResult> {
        if (this.#closed !== undefined) {
            return Promise.resolve({ ok: false, error: this.#closed });
        }
        this.#rows = [];
        this.#error = undefined;
        return new Promise((resolve) => {
            this.#resolve = resolve;
            this.#connection.send(query(sql));
        });
    }

    #take(frame: Frame): void {
        if (frame.type === BackendType.DataRow) {
            this.#rows.push(rowOf(frame) ?? []);
        }
        else if (frame.type === BackendType.ErrorResponse) {
            const fields = reportFieldsOf(frame);
            this.#error = { kind: "rejected", sqlstate: fields.get("C") ?? "", message: fields.get("M") ?? "" };
        }
        else if (frame.type === BackendType.ReadyForQuery) {
            this.#settle(
                this.#error === undefined ? { ok: true, rows: this.#rows } : { ok: false, error: this.#error },
            );
        }
    }

    #settle(result: QueryResult): void {
        const resolve = this.#resolve;
        this.#resolve = undefined;
        resolve?.(result);
    }
}
