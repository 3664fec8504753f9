// Stand-ins for the users' databases, as PROTOCOL.md ("The wire", "Clients", "Backends") describes them: a service with
// one primary and its replicas, and backends that speak the line protocol and send heartbeats.
import { request } from "node:http";
import { createServer } from "node:net";

const HEARTBEAT_MS = 1_200;
const REPLICATION_MS = 5;

/** One service: its backends, its term and the commits that each backend has. */
export class Service {
    backends = [];
    /** Statements that ran: their ids, signatures and rows. */
    runs = [];
    term = 1;
    /** The backend that was promoted last. */
    primary;
    promotedAt = Number.NEGATIVE_INFINITY;
    /** Time from a promotion call to its effect. */
    promoteMs = 600;
    /** Time for which an old primary goes on after a promotion; 0 where it loses the lead at that moment. */
    formerGoesOnMs = 0;
    lagMs = 20;
    /** Called when a backend takes the lead, before the others lose what it has not received. */
    promoted = () => undefined;
    /** Called when a backend has committed. */
    committed = () => undefined;
    #timer;

    /** @param syncReplicas number of replicas that have to receive a commit before it is acknowledged */
    constructor(name, record, syncReplicas = 0) {
        this.name = name;
        this.record = record;
        this.syncReplicas = syncReplicas;
        this.#timer = setInterval(() => this.#replicate(), REPLICATION_MS);
    }

    /** True when a backend ran the statement and signed this answer to it. */
    hasSigned(id, { end, rows }) {
        const signature = end.slice("DONE ".length);
        return this.runs.some(run => run.id === id && run.signature === signature && run.rows === rows.join("|"));
    }

    backend(id) {
        return this.backends.find(backend => backend.id === id);
    }

    /**
     * The named backend leads the next term with what it has received. The others lose what it has not: at once, or the
     * old primary a second later, since it can reach the new one, where it does not step down by itself.
     */
    promote(id) {
        const chosen = this.backend(id);
        if (chosen === undefined || !chosen.isUp) {
            return false;
        }
        if (chosen === this.primary) {
            return true;
        }
        setTimeout(() => this.#lead(chosen), this.promoteMs);
        return true;
    }

    #lead(chosen) {
        if (!chosen.isUp) {
            return;
        }
        const former = this.primary;
        this.term += 1;
        this.primary = chosen;
        this.promotedAt = performance.now();
        this.record.add("platform", `${chosen.id} leads term ${this.term} with ${chosen.log.length} commits`);
        this.promoted(chosen);
        chosen.isPrimary = true;
        chosen.term = this.term;
        chosen.applied = chosen.log.length;
        const { term } = this;
        for (const other of this.backends.filter(backend => backend !== chosen)) {
            const goesOnMs = other === former && other.isUp ? this.formerGoesOnMs : 0;
            if (goesOnMs === 0) {
                this.#follow(other, term);
            }
            else {
                setTimeout(() => this.#follow(other, term), goesOnMs);
            }
        }
        this.backends.forEach(backend => backend.beat());
    }

    #follow(backend, term) {
        const { primary } = this;
        if (this.term === term) {
            backend.isPrimary = false;
            backend.log = backend.log.filter(commit => primary.log.includes(commit));
            backend.applied = Math.min(backend.applied, backend.log.length);
            backend.term = term;
            backend.beat();
        }
    }

    close() {
        clearInterval(this.#timer);
        this.backends.forEach(backend => backend.close());
    }

    #replicate() {
        const { primary } = this;
        const now = performance.now();
        for (const replica of this.backends) {
            if (replica === primary || replica.isPrimary || !replica.isUp) {
                continue;
            }
            if (primary?.isUp === true && !replica.isDeaf) {
                replica.log = [...primary.log];
                replica.term = primary.term;
            }
            const due = replica.log.findLastIndex(commit => commit.at <= now - (replica.lagMs ?? this.lagMs));
            replica.applied = Math.max(replica.applied, due + 1);
        }
    }
}

export class Backend {
    isPrimary = false;
    isUp = true;
    isDeaf = false;
    isDraining = false;
    lagMs = undefined;
    term = 1;
    log = [];
    applied = 0;
    connections = new Set();
    busy = 0;
    waiting = [];
    /** Duration of the work of a statement in ms. */
    workMs = () => 5;
    /** Called with each command before it is processed; returns "lose" to lose its answer. */
    onCommand = () => undefined;
    #born = Date.now();
    #sequence = 0;
    #signatures = 0;
    #timer;
    #server;

    constructor({ id, service, host, port, zone, slots, connectionLimit, control, record }) {
        Object.assign(this, { id, service, host, port, zone, slots, connectionLimit, control, record });
        service.backends.push(this);
    }

    listen() {
        this.#server = createServer(socket => this.connections.add(new Connection(socket, this)));
        this.#timer = setInterval(() => this.beat(), HEARTBEAT_MS);
        return new Promise((resolve, reject) => {
            this.#server.once("error", reject);
            this.#server.listen(this.port, this.host, () => {
                this.beat();
                resolve();
            });
        });
    }

    get position() {
        return `${this.term}.${this.isPrimary ? this.log.length : this.applied}`;
    }

    get received() {
        return `${this.term}.${this.log.length}`;
    }

    /** Signs a statement that ran. */
    sign(id, values, rows = []) {
        this.#signatures += 1;
        const signature = `${this.id}.${this.term}.${this.#signatures}`;
        this.service.runs.push({ id, backend: this.id, signature, rows: rows.join("|"), values });
        return signature;
    }

    /** Resolves with the function that frees the slot. */
    slot(connection) {
        return new Promise(resolve => {
            this.waiting.push({ connection, resolve });
            this.#fill();
        });
    }

    #fill() {
        while (this.busy < this.slots && this.waiting.length > 0) {
            const { connection, resolve } = this.waiting.shift();
            if (connection.isClosed) {
                resolve(undefined);
                continue;
            }
            this.busy += 1;
            let isFree = false;
            const free = () => {
                if (!isFree) {
                    isFree = true;
                    this.busy -= 1;
                    this.#fill();
                }
            };
            connection.freeSlot = free;
            resolve(free);
        }
    }

    /** Sends a heartbeat to the control hosts in turn until one acknowledges it. */
    async beat() {
        this.#sequence += 1;
        const body = JSON.stringify({
            service: this.service.name,
            address: `${this.host}:${this.port}`,
            zone: this.zone,
            version: "v1",
            slots: this.slots,
            state: this.isDraining ? "draining" : "ready",
            cold_remaining_ms: 0,
            database_role: this.isPrimary ? "primary" : "replica",
            sequence: this.#sequence,
            born: this.#born,
        });
        for (const address of this.control()) {
            if (await call(address, "POST", `/v1/Instances.Heartbeat/${this.id}`, body, 1_000) === 200) {
                return true;
            }
        }
        return false;
    }

    /** Stops like a crash: connections end, nothing listens; the log stays. */
    close() {
        this.isUp = false;
        clearInterval(this.#timer);
        this.#server?.close();
        this.connections.forEach(connection => connection.destroy());
    }

    /** Starts again after a crash, with its log. */
    restart() {
        this.isUp = true;
        this.isPrimary = this.service.primary === this;
        if (!this.isPrimary) {
            this.log = this.log.filter(commit => this.service.primary.log.includes(commit));
            this.applied = Math.min(this.applied, this.log.length);
            this.term = this.service.term;
        }
        this.#born = Date.now();
        this.#sequence = 0;
        return this.listen();
    }
}

/** Makes an HTTP call. Resolves with the status, or with undefined when no response came. */
export function call(address, method, path, body, timeoutMs, received = () => undefined) {
    const [host, port] = address.split(":");
    return new Promise(resolve => {
        const headers = body === undefined
            ? {}
            : { "content-type": "application/json", "content-length": Buffer.byteLength(body) };
        const sent = request({ host, port, method, path, headers, timeout: timeoutMs, agent: false }, response => {
            let text = "";
            response.setEncoding("utf8");
            response.on("data", chunk => (text += chunk));
            response.on("end", () => {
                received(text);
                resolve(response.statusCode);
            });
            response.on("error", () => resolve(undefined));
        });
        sent.on("timeout", () => sent.destroy());
        sent.on("error", () => resolve(undefined));
        sent.end(body);
    });
}

/** Server side of one connection to a backend. */
class Connection {
    isClosed = false;
    freeSlot = () => undefined;
    values = new Map();
    prepared = new Map();
    transaction;
    #text = "";
    #isStarted = false;
    #last = Promise.resolve();

    constructor(socket, backend) {
        this.socket = socket;
        this.backend = backend;
        socket.setNoDelay(true);
        socket.on("data", chunk => this.#receive(chunk.toString("latin1")));
        socket.on("error", () => socket.destroy());
        socket.on("close", () => {
            // A connection that is closed rolls back; its place in the queue and its slot become free.
            this.isClosed = true;
            this.transaction = undefined;
            backend.connections.delete(this);
            this.freeSlot();
        });
    }

    destroy() {
        this.socket.destroy();
    }

    #receive(text) {
        const lines = (this.#text + text).split("\r\n");
        this.#text = lines.pop();
        for (const line of lines) {
            this.#last = this.#last.then(() => this.#line(line));
        }
    }

    #send(text) {
        if (!this.isClosed) {
            this.socket.write(text, "latin1");
        }
    }

    get state() {
        return this.transaction === undefined ? "I" : this.transaction.hasFailed ? "E" : "T";
    }

    async #line(line) {
        const { backend } = this;
        const [verb, ...words] = line.split(" ");
        if (!this.#isStarted) {
            const [service, , id] = words;
            const isHere = verb === "START" && service === backend.service.name && (id ?? backend.id) === backend.id;
            if (!isHere || backend.connections.size > backend.connectionLimit) {
                this.#send(`ERROR ${isHere ? "TOOMANY" : "MISROUTED"} ${backend.id}\r\n`);
                this.socket.end();
                return;
            }
            const free = await backend.slot(this);
            await pause(12);
            free?.();
            this.#isStarted = true;
            this.#send(`READY I ${backend.position}\r\n`);
            return;
        }
        if (verb === "BYE") {
            this.socket.end();
            return;
        }
        const [id, ...text] = words;
        const fate = backend.onCommand(this, id, text.join(" "));
        const result = await this.#query(id, text);
        if (this.isClosed) {
            backend.record.add(backend.id, `${id} ${text.join(" ")}: the connection is closed, rolled back`);
            return;
        }
        const end = result.error === undefined ? `DONE ${result.signature ?? "-"}` : `ERROR ${result.error}`;
        if (id !== "-" || result.isNoted === true) {
            const rows = (result.rows ?? []).map(row => ` ROW ${row}`).join("");
            const lost = fate === "lose" ? " (answer lost)" : "";
            backend.record.add(backend.id, `${id} ${text.join(" ")} ->${rows} ${end}, ${this.state}${lost}`);
        }
        if (fate !== "lose") {
            const rows = (result.rows ?? []).map(row => `ROW ${row}\r\n`).join("");
            this.#send(`${rows}${end}\r\nREADY ${this.state} ${backend.position}\r\n`);
        }
    }

    async #query(id, [verb, ...rest]) {
        const { backend, transaction } = this;
        if (verb === "ROLLBACK") {
            this.transaction = undefined;
            return {};
        }
        if (transaction?.hasFailed === true) {
            if (verb === "COMMIT") {
                this.transaction = undefined;
                return { error: "ABORTED rolled back" };
            }
            return { error: "MALFORMED the transaction has failed", isNoted: true };
        }
        if (transaction?.isPlain === true && !backend.isPrimary) {
            // "READONLY [...] to any statement of a plain transaction whose backend has lost the lead, except the COMMIT
            // of a transaction that wrote nothing."
            if (verb !== "COMMIT" || transaction.writes.length > 0) {
                if (verb === "COMMIT") {
                    this.transaction = undefined;
                }
                else {
                    transaction.hasFailed = true;
                }
                return { error: `READONLY ${backend.id}`, isNoted: true };
            }
        }
        switch (verb) {
            case "AFTER":
                return this.#isBehind(rest[0]) ? { error: "LAGGING -" } : this.#query(id, rest.slice(1));
            case "BEGIN":
                return this.#begin(rest[0] === "READ");
            case "SET":
                this.values.set(rest[0], rest.slice(1).join(" "));
                return { isNoted: true };
            case "PREPARE":
                this.prepared.set(rest[0], rest.slice(1).join(" "));
                return { isNoted: true };
            case "DEALLOCATE":
                this.prepared.delete(rest[0]);
                return {};
            case "RESET":
                this.values.clear();
                this.prepared.clear();
                return { isNoted: true };
            case "STATUS":
                // "`STATUS` occupies a slot and returns either `BUSY` or a row".
                if (backend.busy >= backend.slots) {
                    return { error: `BUSY ${backend.id}`, isNoted: true };
                }
                return {
                    isNoted: true,
                    rows: [
                        `${backend.isPrimary ? "primary" : "replica"} ${backend.term} ${backend.received} ${backend.term}`
                        + ` 0 ${backend.busy} ${backend.connections.size}`,
                    ],
                };
            case "READ":
                return this.#run(id, "READ", rest.join(" "));
            case "WRITE":
                return this.#run(id, "WRITE", rest.join(" "));
            case "EXECUTE": {
                const shape = this.prepared.get(rest[0]);
                if (shape === undefined) {
                    this.#fail();
                    return { error: `NOSTMT ${rest[0]}` };
                }
                return this.#run(id, shape.split(" ")[0], `${shape} ${rest.slice(1).join(" ")}`);
            }
            case "COMMIT":
                return this.#commit(id);
            default:
                return { error: "MALFORMED -" };
        }
    }

    #isBehind(position) {
        const [term, number] = position.split(".").map(Number);
        const { backend } = this;
        const held = backend.isPrimary ? backend.log.length : backend.applied;
        return backend.term < term || held < number;
    }

    #begin(isRead) {
        if (!isRead && !this.backend.isPrimary) {
            return { error: `READONLY ${this.backend.id}` };
        }
        this.transaction = { isPlain: !isRead, writes: [], hasFailed: false };
        return {};
    }

    #fail() {
        if (this.transaction !== undefined) {
            this.transaction.hasFailed = true;
        }
    }

    async #run(id, kind, text) {
        const { backend } = this;
        const refused = () => kind === "WRITE" && (!backend.isPrimary || this.transaction?.isPlain === false);
        if (refused()) {
            this.#fail();
            return { error: `READONLY ${backend.id}` };
        }
        const free = await backend.slot(this);
        if (free === undefined) {
            return { error: "FAILED the connection is closed" };
        }
        await pause(backend.workMs(id, text));
        free();
        if (this.isClosed) {
            return { error: "FAILED the connection is closed" };
        }
        if (refused()) {
            this.#fail();
            return { error: `READONLY ${backend.id}` };
        }
        const values = [...this.values].map(([name, value]) => `${name}=${value}`).sort().join(",");
        if (kind === "WRITE") {
            if (this.transaction === undefined) {
                await this.#append([id]);
            }
            else {
                this.transaction.writes.push(id);
            }
            return { signature: backend.sign(id, values) };
        }
        const rows = [`row-of-${id}`];
        return { rows, signature: backend.sign(id, values, rows) };
    }

    /** Appends a commit. Resolves once as many replicas have received it as the service wants. */
    async #append(ids) {
        const { backend } = this;
        const commit = { ids, at: performance.now() };
        backend.log.push(commit);
        backend.service.committed(backend, commit);
        backend.applied = backend.log.length;
        const { service } = backend;
        const others = service.backends.filter(other => other !== backend);
        while (
            backend.isUp && others.filter(other => other.isUp && other.log.includes(commit)).length < service.syncReplicas
        ) {
            await pause(1);
        }
    }

    async #commit(id) {
        const { backend, transaction } = this;
        const free = await backend.slot(this);
        if (free === undefined) {
            return { error: "FAILED the connection is closed" };
        }
        await pause(backend.workMs(id, "COMMIT"));
        free();
        if (this.isClosed) {
            return { error: "FAILED the connection is closed" };
        }
        this.transaction = undefined;
        if (transaction !== undefined && transaction.writes.length > 0) {
            await this.#append([...transaction.writes, id]);
        }
        return { signature: backend.sign(id, "") };
    }
}

function pause(delayMs) {
    return new Promise(resolve => setTimeout(resolve, delayMs));
}
