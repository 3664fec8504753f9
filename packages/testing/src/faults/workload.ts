import { type Answer, SimulatedCaller } from "./callers.js";
import type { SimulatedHost } from "./simulated-host.js";
import type { World } from "./world.js";

const CALLERS = 6;
const AGE_MS = 2_000;
const PAUSE_MS = 60;
const HOME_SHARE = 0.7;

/** Callers that write, read and run transactions, and that roam between hosts with their session token. */
export class Workload {
    readonly #world: World;
    readonly #callers = new Map<string, SimulatedCaller>();
    #stopped = false;
    #rows = 0;
    #processIds = 0;
    #running = 0;

    constructor(world: World) {
        this.#world = world;
        world.hostEnded = id => this.#cut(id);
        for (let index = 0; index < CALLERS; index++) {
            void this.#live(`s${index}`);
        }
    }

    /** Lets running requests end; true when none is open. */
    stop(): boolean {
        this.#stopped = true;
        return this.#running === 0;
    }

    async #live(session: string): Promise<void> {
        let token = "";
        this.#running += 1;
        while (!this.#stopped) {
            await this.#world.time.sleep(PAUSE_MS * (0.5 + this.#world.time.random()));
            const caller = this.#connected(session, token);
            if (caller !== undefined) {
                await this.#act(session, caller);
                token = caller.token;
            }
        }
        this.#running -= 1;
    }

    #connected(session: string, token: string): SimulatedCaller | undefined {
        const former = this.#callers.get(session);
        if (former?.open === true && this.#world.time.random() < 0.8) {
            return former;
        }
        former?.cut();
        const hosts = this.#world.hosts.filter(host => host.alive && !host.paused && !host.entry.draining);
        // Every host has a caller that prefers it, so that a host that is cut off keeps being written to.
        const home = this.#world.time.random() < HOME_SHARE
            ? hosts.find(({ id }) => id === `h${Number(session.slice(1)) % this.#world.hosts.length}`)
            : undefined;
        const host = home ?? hosts[Math.floor(this.#world.time.random() * hosts.length)];
        return host === undefined ? undefined : this.#connect(session, host, token);
    }

    #connect(session: string, host: SimulatedHost, token: string): SimulatedCaller {
        const caller = new SimulatedCaller(this.#world, host.id, ++this.#processIds, token);
        this.#callers.set(session, caller);
        host.accept(caller);
        return caller;
    }

    #cut(hostId: string): void {
        [...this.#callers.values()].filter(caller => caller.hostId === hostId).forEach(caller => caller.cut());
    }

    async #act(session: string, caller: SimulatedCaller): Promise<void> {
        const choice = this.#world.time.random();
        if (choice < 0.3) {
            await this.#write(session, caller);
        }
        else if (choice < 0.55) {
            await this.#read(session, caller, undefined);
        }
        else if (choice < 0.7) {
            await this.#read(session, caller, AGE_MS);
        }
        else {
            await this.#transact(session, caller);
        }
    }

    async #write(session: string, caller: SimulatedCaller): Promise<void> {
        const row = this.#nextRow(session);
        this.#world.record({ kind: "transactionSent", at: this.#world.time.now, rows: [row] });
        this.#world.reach("caller:write");
        const answer = await this.#insert(session, caller, row);
        this.#answered(session, row, answer);
        if (answer.outcome === "done") {
            this.#world.reach("caller:done");
        }
    }

    async #read(session: string, caller: SimulatedCaller, ageMs: number | undefined): Promise<void> {
        const tag = this.#nextRow(`read-${session}`);
        const sentAt = this.#world.time.now;
        this.#world.reach("caller:read");
        const answer = await caller.query(`SELECT v, '${tag}' FROM t${ageMs === undefined ? "" : " /*class='aged'*/"}`);
        this.#told(session, answer);
        if (answer.outcome === "done") {
            const [received = "", ...rows] = answer.rows;
            const { complete } = answer;
            const at = this.#world.time.now;
            this.#world.record({ kind: "answer", at, session, expected: tag, received, complete });
            this.#world.record({ kind: "readAnswered", at, sentAt, session, ageMs, rows });
        }
    }

    async #transact(session: string, caller: SimulatedCaller): Promise<void> {
        this.#world.reach("caller:begin");
        const begun = await caller.query("BEGIN");
        this.#told(session, begun);
        if (begun.outcome !== "done") {
            return;
        }
        const rows = [this.#nextRow(session), this.#nextRow(session)];
        this.#world.reach("caller:first");
        const answers: Answer[] = [];
        for (const row of rows) {
            const answer = await this.#insert(session, caller, row);
            answers.push(answer);
            if (answer.outcome !== "done") {
                this.#answered(session, row, answer);
                break;
            }
        }
        if (answers.some(answer => answer.outcome !== "done")) {
            await caller.query("ROLLBACK");
            return;
        }
        this.#world.record({ kind: "transactionSent", at: this.#world.time.now, rows });
        this.#world.reach("caller:commit");
        const end = await caller.query("COMMIT");
        const outcome = end.outcome === "done" && end.tag === "COMMIT" ? "done" : "unknown";
        rows.forEach(row => this.#answered(session, row, { ...end, outcome }));
        if (outcome === "done") {
            this.#world.reach("caller:committed");
        }
    }

    async #insert(session: string, caller: SimulatedCaller, row: string): Promise<Answer> {
        this.#world.record({ kind: "writeSent", at: this.#world.time.now, session, row });
        const answer = await caller.query(`INSERT INTO t VALUES ('${row}') RETURNING v`);
        if (answer.outcome === "done") {
            const [received = ""] = answer.rows;
            const { complete } = answer;
            this.#world.record({
                kind: "answer",
                at: this.#world.time.now,
                session,
                expected: row,
                received,
                complete,
            });
        }
        return answer;
    }

    #answered(session: string, row: string, { outcome, term, code }: Answer): void {
        this.#told(session, { code });
        this.#world.record({ kind: "writeAnswered", at: this.#world.time.now, session, row, outcome, term });
    }

    #told(session: string, { code }: Pick<Answer, "code">): void {
        if (code === "ML003") {
            this.#world.record({ kind: "lossTold", at: this.#world.time.now, session });
        }
    }

    #nextRow(prefix: string): string {
        return `${prefix}-${++this.#rows}`;
    }
}
