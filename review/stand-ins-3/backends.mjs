// Stand-ins of the users' backends and of the platform's promotion call, after PROTOCOL.md.
import { createServer as createHttpServer } from "node:http";
import { createServer } from "node:net";

const BACKEND_PORT = 8165;
const HEARTBEAT_MS = 1_200;
const pause = ms => new Promise(resolve => setTimeout(resolve, ms));

/** A service: one primary and its replicas. */
export class Service {
    constructor(name, { record, control, syncReplicas = 0, promoteMs = 600, replicateMs = 2, applyMs = 20, workMs = 4 }) {
        Object.assign(this, { name, record, control, syncReplicas, promoteMs, replicateMs, applyMs, workMs });
        this.term = 1;
        this.backends = [];
        /** Commits that were acknowledged to the sender of the COMMIT or WRITE, by the id of its request. */
        this.acknowledged = new Map();
    }

    add(backend) {
        this.backends.push(backend);
        return backend;
    }

    get primary() {
        return this.backends.find(({ isPrimary }) => isPrimary);
    }

    /** Appends a commit to the primary's log and resolves when it may be acknowledged. */
    commit(primary, entry) {
        primary.log.push(entry);
        const replicas = this.backends.filter(other => other !== primary && other.isUp);
        if (this.syncReplicas === 0) {
            replicas.forEach(replica => this.#send(primary, replica, () => undefined));
            return Promise.resolve();
        }
        return new Promise(resolve => {
            replicas.forEach(replica =>
                this.#send(primary, replica, () => {
                    if (replica.log.includes(entry)) {
                        resolve();
                    }
                })
            );
        });
    }

    /** A replica receives all that the primary had when it sent, in order. */
    #send(primary, replica, received) {
        const length = primary.log.length;
        const { term } = this;
        setTimeout(() => {
            if (replica.isUp && !replica.isDeaf && !replica.isPrimary && this.term === term) {
                for (const entry of primary.log.slice(replica.log.length, length)) {
                    replica.log.push(entry);
                }
                const count = replica.log.length;
                setTimeout(() => (replica.applied = Math.max(replica.applied, Math.min(count, replica.log.length))), this.applyMs);
                received();
            }
        }, this.replicateMs);
    }

    /** A replica that was deaf receives what it missed. */
    catchUp(replica) {
        const { primary } = this;
        if (primary !== undefined) {
            this.#send(primary, replica, () => undefined);
        }
    }

    /** Makes a backend the primary of the next term, with what it has received and nothing more. */
    promote(backend) {
        if (backend.isPrimary || !backend.isUp) {
            return;
        }
        this.term += 1;
        const kept = new Set(backend.log);
        for (const other of this.backends) {
            other.isPrimary = other === backend;
            other.log = other.log.filter(entry => kept.has(entry));
            other.applied = Math.min(other.applied, other.log.length);
            other.isDeaf = other === backend ? false : other.isDeaf;
        }
        backend.applied = backend.log.length;
        this.record(`${backend.id} leads ${this.name} in term ${this.term} with ${backend.log.length} commits`);
        const lost = [...this.acknowledged].filter(([, entry]) => !kept.has(entry)).map(([id]) => id);
        this.lost = [...(this.lost ?? []), ...lost];
        for (const id of lost) {
            this.acknowledged.delete(id);
            this.record(`the acknowledged commit ${id} is not in the log of ${backend.id}`);
        }
        this.backends.forEach(other => void other.beat());
    }
}

/** One backend. */
export class Backend {
    constructor(service, { id, ip, zone, slots = 3, connectionLimit = 41, isPrimary = false }) {
        Object.assign(this, { service, id, ip, zone, slots, connectionLimit, isPrimary });
        this.log = [];
        this.applied = 0;
        this.isUp = false;
        this.isDeaf = false;
        this.state = "ready";
        this.sequence = 0;
        this.busy = 0;
        this.waiting = [];
        this.sockets = new Set();
        this.signatures = 0;
    }

    get position() {
        return `${this.service.term}.${this.isPrimary ? this.log.length : this.applied}`;
    }

    async start() {
        this.isUp = true;
        this.born = Date.now();
        this.server = createServer(socket => this.#accept(socket));
        await new Promise(resolve => this.server.listen(BACKEND_PORT, this.ip, resolve));
        this.timer = setInterval(() => void this.beat(), HEARTBEAT_MS);
        void this.beat();
    }

    stop() {
        this.isUp = false;
        clearInterval(this.timer);
        this.server?.close();
        this.sockets.forEach(socket => socket.destroy());
    }

    /** Says that it leaves; resolves when that is acknowledged. */
    async drain() {
        this.state = "draining";
        while (this.isUp && !await this.beat()) {
            await pause(200);
        }
        this.service.record(`${this.id}: its draining is acknowledged`);
    }

    async beat() {
        this.sequence += 1;
        const body = JSON.stringify({
            service: this.service.name,
            address: `${this.ip}:${BACKEND_PORT}`,
            zone: this.zone,
            version: "v1",
            slots: this.slots,
            state: this.state,
            cold_remaining_ms: 0,
            database_role: this.isPrimary ? "primary" : "replica",
            sequence: this.sequence,
            born: this.born,
        });
        for (const address of this.service.control()) {
            try {
                const response = await fetch(`http://${address}/v1/Instances.Heartbeat/${this.id}`, {
                    method: "POST",
                    headers: { "content-type": "application/json" },
                    body,
                    signal: AbortSignal.timeout(1_000),
                });
                await response.text();
                if (response.ok) {
                    return true;
                }
            }
            catch {
                // The next machine is called.
            }
        }
        return false;
    }

    async slot() {
        if (this.busy >= this.slots) {
            await new Promise(resolve => this.waiting.push(resolve));
        }
        this.busy += 1;
        await pause(this.service.workMs);
        this.busy -= 1;
        this.waiting.shift()?.();
    }

    #accept(socket) {
        this.sockets.add(socket);
        new Connection(this, socket);
    }
}

/** One connection to a backend. */
class Connection {
    constructor(backend, socket) {
        this.backend = backend;
        this.socket = socket;
        this.values = new Map();
        this.prepared = new Map();
        this.transaction = undefined;
        this.rest = "";
        this.last = Promise.resolve();
        socket.setNoDelay(true);
        socket.on("error", () => socket.destroy());
        socket.on("close", () => {
            backend.sockets.delete(socket);
            this.transaction = undefined;
        });
        socket.on("data", chunk => {
            const lines = (this.rest + chunk.toString("latin1")).split("\r\n");
            this.rest = lines.pop();
            for (const line of lines) {
                this.last = this.last.then(() => this.#line(line));
            }
        });
    }

    async #line(line) {
        const { backend, socket } = this;
        const [word, ...rest] = line.split(" ");
        if (word === "START") {
            const [service, , id] = rest;
            if (service !== backend.service.name || (id !== undefined && id !== backend.id)) {
                socket.end(`ERROR MISROUTED ${backend.id}\r\n`);
            }
            else if (backend.sockets.size > backend.connectionLimit) {
                socket.end(`ERROR TOOMANY ${backend.id}\r\n`);
            }
            else {
                await backend.slot();
                this.#ready();
            }
        }
        else if (word === "QUERY") {
            const [id, ...words] = rest;
            this.#answer(await this.#query(id, words));
        }
        else {
            socket.end();
        }
    }

    #answer({ rows = [], signature = "-", error }) {
        if (!this.socket.destroyed) {
            const text = rows.map(row => `ROW ${row}\r\n`).join("");
            this.socket.write(text + (error === undefined ? `DONE ${signature}\r\n` : `ERROR ${error}\r\n`), "latin1");
            this.#ready();
        }
    }

    #ready() {
        const state = this.transaction === undefined ? "I" : this.transaction.hasFailed ? "E" : "T";
        this.socket.write(`READY ${state} ${this.backend.position}\r\n`);
    }

    async #query(id, words) {
        const { backend } = this;
        if (words[0] === "AFTER") {
            const [term, number] = words[1].split(".").map(Number);
            const has = backend.isPrimary ? backend.log.length : backend.applied;
            return backend.service.term < term || has < number ? { error: `LAGGING ${backend.id}` } : this.#query(id, words.slice(2));
        }
        const [verb, ...rest] = words;
        if (this.transaction?.hasFailed === true && verb !== "ROLLBACK" && verb !== "COMMIT") {
            return { error: "MALFORMED the transaction has failed" };
        }
        switch (verb) {
            case "BEGIN":
                if (rest[0] !== "READ" && !backend.isPrimary) {
                    return { error: `READONLY ${backend.id}` };
                }
                this.transaction = { isPlain: rest[0] !== "READ", writes: [], hasFailed: false };
                return {};
            case "ROLLBACK":
                this.transaction = undefined;
                return {};
            case "COMMIT":
                return this.#commit(id);
            case "SET":
                this.values.set(rest[0], rest.slice(1).join(" "));
                return {};
            case "PREPARE":
                this.prepared.set(rest[0], rest[1]);
                return {};
            case "RESET":
                this.values.clear();
                this.prepared.clear();
                return {};
            case "STATUS": {
                const position = `${backend.service.term}.${backend.log.length}`;
                const role = backend.isPrimary ? "primary" : "replica";
                return { rows: [`${role} ${backend.service.term} ${position} 0 0 ${backend.busy} ${backend.sockets.size}`] };
            }
            case "READ":
                return this.#run(id, false, words.join(" "));
            case "WRITE":
                return this.#run(id, true, words.join(" "));
            case "EXECUTE": {
                const mode = this.prepared.get(rest[0]);
                return mode === undefined ? { error: "NOSTMT -" } : this.#run(id, mode === "WRITE", words.join(" "));
            }
            default:
                return { error: "MALFORMED -" };
        }
    }

    async #run(id, writes, text) {
        const { backend, transaction } = this;
        await backend.slot();
        const hasLostLead = transaction?.isPlain === true && !backend.isPrimary;
        if (hasLostLead || (writes && (!backend.isPrimary || transaction?.isPlain === false))) {
            if (transaction !== undefined) {
                transaction.hasFailed = true;
            }
            return { error: `READONLY ${backend.id}` };
        }
        if (writes && transaction === undefined) {
            await this.#append([id], id);
        }
        else if (writes) {
            transaction.writes.push(id);
        }
        const rows = writes ? [] : backend.service.rowsOf?.(text) ?? [`row-of-${text.length}`];
        return { rows, signature: this.#signature() };
    }

    async #commit(id) {
        const { backend, transaction } = this;
        await backend.slot();
        this.transaction = undefined;
        if (transaction?.hasFailed === true) {
            return { error: "ABORTED -" };
        }
        if (transaction?.writes.length > 0) {
            if (!backend.isPrimary) {
                return { error: `READONLY ${backend.id}` };
            }
            await this.#append(transaction.writes, id);
        }
        return { signature: this.#signature() };
    }

    async #append(ids, id) {
        const { backend } = this;
        const entry = { ids, id };
        await backend.service.commit(backend, entry);
        if (backend.isUp && !this.socket.destroyed) {
            entry.wasAnswered = true;
        }
    }

    #signature() {
        this.backend.signatures += 1;
        return `${this.backend.id}.${this.backend.signatures}`;
    }
}

/** The platform's promotion call. */
export class Platform {
    constructor(address, services, record) {
        const [host, port] = address.split(":");
        this.fences = new Map();
        this.ordered = () => undefined;
        this.server = createHttpServer(async (request, response) => {
            const chunks = [];
            for await (const chunk of request) {
                chunks.push(chunk);
            }
            const { service: name, id } = JSON.parse(Buffer.concat(chunks).toString());
            const service = services.find(other => other.name === name);
            const backend = service?.backends.find(other => other.id === id);
            const fence = Number(request.headers["x-fencing-token"]);
            await pause(15);
            const isAccepted = backend?.isUp === true && fence >= (this.fences.get(name) ?? 0);
            record(`platform: promotion of ${id} with token ${fence}: ${isAccepted ? 200 : 409}`);
            if (isAccepted) {
                this.fences.set(name, fence);
                this.ordered(service, backend);
                setTimeout(() => this.fences.get(name) === fence && service.promote(backend), service.promoteMs);
            }
            response.writeHead(isAccepted ? 200 : 409, { "content-type": "application/json" }).end("{}");
        });
        this.listening = new Promise(resolve => this.server.listen(Number(port), host, resolve));
    }

    close() {
        this.server.close();
        this.server.closeAllConnections();
    }
}
