// Stand-in for a client: a session of the users' line protocol.
import { connect } from "node:net";

export class Session {
    #socket;
    #text = "";
    #lines = [];
    #resolve;
    #isStarting = true;
    isClosed = false;

    constructor(name, record) {
        this.name = name;
        this.record = record;
    }

    /** Opens the session. Resolves with true when READY came. */
    async open(address, database) {
        const [host, port] = address.split(":");
        this.#socket = connect(Number(port), host);
        this.#socket.setNoDelay(true);
        this.#socket.on("data", chunk => this.#receive(chunk.toString("latin1")));
        this.#socket.on("error", () => undefined);
        this.#socket.on("close", () => {
            this.isClosed = true;
            this.#finish();
        });
        const answer = await this.#exchange(`START ${database} client`, 2_000);
        if (answer.kind !== "answer" || !answer.end.startsWith("READY")) {
            this.close();
            return false;
        }
        this.#isStarting = false;
        return true;
    }

    /** Sends a statement. Resolves with the answer, or with `closed` when none came. */
    async ask(id, text, timeoutMs = 5_000) {
        this.record.add(this.name, `sends ${id} ${text}`);
        const answer = await this.#exchange(`QUERY ${id} ${text}`, timeoutMs);
        const told = answer.kind === "answer"
            ? [...answer.rows.map(row => `ROW ${row}`), answer.end, answer.ready].join(" | ")
            : "no answer, the connection ended";
        this.record.add(this.name, `gets  ${id} <- ${told}`);
        return answer;
    }

    close() {
        this.isClosed = true;
        this.#socket.destroy();
        this.#finish();
    }

    #exchange(line, timeoutMs) {
        if (this.isClosed) {
            return Promise.resolve({ kind: "closed" });
        }
        return new Promise(resolve => {
            const timer = setTimeout(() => this.close(), timeoutMs);
            this.#resolve = answer => {
                clearTimeout(timer);
                resolve(answer);
            };
            this.#socket.write(`${line}\r\n`);
        });
    }

    #receive(text) {
        const lines = (this.#text + text).split("\r\n");
        this.#text = lines.pop();
        for (const line of lines) {
            this.#lines.push(line);
            // START is answered with READY, or with ERROR alone.
            if (line.startsWith("READY") || (this.#isStarting && line.startsWith("ERROR"))) {
                this.#finish();
            }
        }
    }

    #finish() {
        const resolve = this.#resolve;
        const lines = this.#lines;
        this.#resolve = undefined;
        this.#lines = [];
        const ready = lines.at(-1);
        resolve?.(
            ready?.startsWith("READY") === true
                ? {
                    kind: "answer",
                    rows: lines.filter(line => line.startsWith("ROW ")).map(line => line.slice(4)),
                    end: lines.at(-2) ?? ready,
                    ready,
                }
                : { kind: "closed" },
        );
    }
}
