// A client session, after PROTOCOL.md: one request at a time.
import { connect } from "node:net";

export class Session {
    constructor(address, database) {
        const [host, port] = address.split(":");
        this.rest = "";
        this.lines = [];
        this.isClosed = false;
        this.socket = connect(Number(port), host);
        this.socket.setNoDelay(true);
        this.socket.on("error", () => undefined);
        this.socket.on("data", chunk => this.#receive(chunk.toString("latin1")));
        this.socket.on("close", () => {
            this.isClosed = true;
            this.#settle(undefined);
        });
        this.started = this.#send(`START ${database}\r\n`);
    }

    /** Sends a query. Resolves to its answer, or to undefined when the connection ended or nothing came in time. */
    query(id, text, limitMs = 3_000) {
        return this.#send(`QUERY ${id} ${text}\r\n`, limitMs);
    }

    close() {
        this.socket.destroy();
    }

    #send(text, limitMs = 2_000) {
        return new Promise(resolve => {
            if (this.isClosed) {
                resolve(undefined);
                return;
            }
            this.timer = setTimeout(() => this.#settle(undefined), limitMs);
            this.resolve = resolve;
            this.socket.write(text, "latin1");
        });
    }

    #settle(answer) {
        clearTimeout(this.timer);
        this.resolve?.(answer);
        this.resolve = undefined;
    }

    #receive(text) {
        const lines = (this.rest + text).split("\r\n");
        this.rest = lines.pop();
        for (const line of lines) {
            this.lines.push(line);
            if (line.startsWith("READY ") || line.startsWith("ERROR ") && this.lines.length === 1 && this.hasStarted !== true) {
                const [completion = line] = this.lines.filter(other => other.startsWith("DONE") || other.startsWith("ERROR"));
                const [word, code] = completion.split(" ");
                this.hasStarted = true;
                const rows = this.lines.filter(other => other.startsWith("ROW"));
                this.lines = [];
                this.#settle({ ok: word !== "ERROR", code, rows, state: line.split(" ")[1], text: completion });
            }
        }
    }
}
