import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { FakeCaller } from "./fake-wire.js";
import { World } from "./world.js";

const CALLERS = 4;
const STEPS = 160;
const LIMIT = 3;
const DEADLINE_MS = 400;

/** Ways to break a rule, to show that the checks notice it. */
export type Sabotage = "none" | "leaseIgnored" | "writesRepeated" | "readsUnproved";

interface Sent {
    readonly sql: string;
    /** Words of the answer up to ReadyForQuery. */
    words: string[];
    answered: boolean;
}

interface Session {
    readonly caller: FakeCaller;
    readonly sent: Sent[];
    readonly script: string[];
    floor: number;
    gone: boolean;
}

/** Random interleavings of callers, answers, losses, deadlines, leases and failovers. Returns the broken rules. */
export class Interleaving {
    readonly #world = new World(["a", "b", "c"]);
    readonly #violations: string[] = [];
    readonly #sabotage: Sabotage;
    readonly #random;
    readonly #sessions: Session[] = [];
    #leaseValid = true;
    #names = 0;

    constructor(seed: number, sabotage: Sabotage) {
        this.#random = xoroshiro128plus(seed);
        this.#sabotage = sabotage;
        const world = this.#world;
        world.limit = LIMIT;
        world.databaseSettings = {
            acknowledge: seed % 3 === 0 ? "replica" : "primary",
            roaming: "strict",
            replicaReads: true,
            replicaWaitMs: 0,
        };
        world.requestClass = {
            ...world.requestClass,
            deadlineMs: DEADLINE_MS,
            repeatable: sabotage === "writesRepeated",
        };
        world.unprovedReads = sabotage === "readsUnproved";
        world.lease = term => term === this.#term() && (this.#leaseValid || sabotage === "leaseIgnored");
    }

    async run(): Promise<readonly string[]> {
        this.#world.proxy.prepare("shop");
        await this.#world.advance(150);
        for (let index = 0; index < CALLERS; index++) {
            this.#join();
        }
        for (let step = 0; step < STEPS; step++) {
            this.#step();
            await this.#world.settle();
        }
        await this.#heal();
        this.#check();
        return this.#violations;
    }

    #term(): number {
        return this.#world.databaseView.terms.at(-1)!.term;
    }

    #primary(): string {
        return this.#world.databaseView.terms.at(-1)!.primary;
    }

    #pick(count: number): number {
        return uniformInt(this.#random, 0, count - 1);
    }

    #join(): void {
        const session: Session = { caller: this.#world.caller(), sent: [], script: [], floor: 0, gone: false };
        session.caller.onMessage = word => {
            this.#received(session, word);
        };
        this.#sessions.push(session);
    }

    #step(): void {
        const choice = this.#pick(100);
        if (choice < 40) {
            this.#send(this.#sessions[this.#pick(this.#sessions.length)]!);
        }
        else if (choice < 75) {
            this.#onSession((id, index) => {
                this.#world.sessions(id)[index]!.work(1 + this.#pick(4));
            });
        }
        else if (choice < 80) {
            this.#onSession((id, index) => {
                this.#world.sessions(id)[index]!.work(this.#pick(3), true);
            });
        }
        else if (choice < 90) {
            this.#world.time.runDue(this.#world.time.now + this.#pick(choice === 89 ? DEADLINE_MS : 20));
        }
        else {
            this.#disturb(choice);
        }
    }

    #disturb(choice: number): void {
        const world = this.#world;
        if (choice < 94) {
            this.#leaseValid = this.#pick(2) === 0;
            world.changed();
        }
        else if (choice < 97) {
            for (const server of world.network.servers.values()) {
                if (server.replica) {
                    const behind = world.server(this.#primary()).position - server.position;
                    server.position += behind > 0 ? 10 * this.#pick(behind / 10 + 1) : 0;
                }
            }
        }
        else if (choice < 98 && this.#term() < 3) {
            const next = [...world.network.servers.values()].find(server => server.replica)!;
            const behind = [...world.network.servers.values()].find(server => server.replica && server !== next);
            if (behind !== undefined) {
                behind.position = Math.min(behind.position, next.position);
                behind.timeline = this.#term() + 1;
            }
            world.promote(next.endpoint.id, next.position);
        }
        else if (choice < 99) {
            const session = this.#sessions[this.#pick(this.#sessions.length)]!;
            world.proxy.cancel(session.caller.processId, session.caller.secretKey);
        }
        else {
            const session = this.#sessions[this.#pick(this.#sessions.length)]!;
            session.gone = true;
            session.caller.leave();
            this.#join();
        }
    }

    #onSession(act: (id: string, index: number) => void): void {
        const id = ["a", "b", "c"][this.#pick(3)]!;
        const count = this.#world.sessions(id).length;
        if (count > 0) {
            act(id, this.#pick(count));
        }
    }

    /** Sends the caller's next request without waiting for earlier answers. */
    #send(session: Session): void {
        if (session.gone) {
            return;
        }
        if (session.script.length === 0) {
            const name = `n${++this.#names}`;
            const kind = this.#pick(3);
            session.script.push(
                ...(kind === 0
                    ? [`INSERT ${name}`]
                    : kind === 1
                    ? [`SELECT position ${name}`]
                    : ["BEGIN", `INSERT ${name}`, `INSERT ${name}+`, "COMMIT"]),
            );
        }
        const sql = session.script.shift()!;
        session.sent.push({ sql, words: [], answered: false });
        session.caller.query(sql);
    }

    #received(session: Session, word: string): void {
        const current = session.sent.find(item => !item.answered);
        if (current === undefined || session.gone) {
            this.#violations.push(`unexpected ${word}`);
            return;
        }
        current.words.push(word);
        const acknowledges = word === "C:COMMIT" || (word === "C:INSERT 0 1" && !this.#inTransaction(session));
        if (acknowledges) {
            this.#acknowledged(current.sql);
        }
        if (word.startsWith("Z:")) {
            current.answered = true;
            this.#answered(session, current);
        }
    }

    #inTransaction(session: Session): boolean {
        const done = session.sent.filter(item => item.answered);
        return done.at(-1)?.words.at(-1) === "Z:T";
    }

    #acknowledged(sql: string): void {
        if (!this.#leaseValid) {
            this.#violations.push(`${sql} acknowledged without a lease`);
        }
        const { committed, position } = this.#world.server(this.#primary());
        const at = sql === "COMMIT" ? -1 : committed.findIndex(item => item.sql === sql);
        const written = position - 10 * (committed.length - 1 - at);
        const servers = [...this.#world.network.servers.values()];
        const replicated = servers.some(server => server.replica && server.position >= written);
        if (at >= 0 && !replicated && this.#world.databaseSettings.acknowledge === "replica") {
            this.#violations.push(`${sql} acknowledged before a replica had it`);
        }
        if (sql !== "COMMIT" && !committed.some(item => item.sql === sql)) {
            this.#violations.push(`${sql} acknowledged by another endpoint than the primary`);
        }
    }

    #answered(session: Session, request: Sent): void {
        const position = Number(/^\d+:(\d+)$/.exec(session.caller.token)?.[1] ?? 0);
        for (const word of request.words.filter(item => item.startsWith("D:"))) {
            const [text = "", at] = word.slice(2).split("@");
            if (text !== request.sql) {
                this.#violations.push(`${request.sql} was answered with ${text}`);
            }
            const complete = !request.words.some(item => item.startsWith("E:"));
            if (complete && Number(at) < session.floor) {
                this.#violations.push(`${request.sql} read ${at ?? ""} below the floor ${session.floor}`);
            }
        }
        session.floor = request.words.includes("E:ML003") ? 0 : Math.max(session.floor, position);
    }

    async #heal(): Promise<void> {
        this.#leaseValid = true;
        for (const server of this.#world.network.servers.values()) {
            if (server.replica) {
                server.position = Math.max(server.position, this.#world.server(this.#primary()).position);
            }
        }
        this.#world.changed();
        for (let round = 0; round < 8; round++) {
            await this.#world.advance(DEADLINE_MS / 4);
        }
        for (const session of this.#sessions.filter(item => !item.gone)) {
            while (session.script.length > 0) {
                this.#send(session);
            }
        }
        await this.#world.advance(3 * DEADLINE_MS);
    }

    #check(): void {
        for (const session of this.#sessions.filter(item => !item.gone)) {
            for (const request of session.sent.filter(item => !item.answered)) {
                this.#violations.push(`${request.sql} was never answered`);
            }
            this.#checkWrites(session);
        }
        this.#checkTransactions();
        for (const server of this.#world.network.servers.values()) {
            if (server.mostSessions > LIMIT) {
                this.#violations.push(`${server.mostSessions} connections to ${server.endpoint.id}`);
            }
        }
        const status = this.#world.proxy.status().databases[0]!;
        const left = status.heldAnswers + status.waiting + status.waitingForReplica
            + status.endpoints.reduce((sum, item) => sum + item.inFlight, 0);
        if (left > 0) {
            this.#violations.push(`${left} requests left over`);
        }
    }

    #committed(sql: string): number {
        return [...this.#world.network.servers.values()].flatMap(server => server.committed)
            .filter(item => item.sql === sql).length;
    }

    #checkWrites(session: Session): void {
        let failed = false;
        let inserts: Sent[] = [];
        for (const request of session.sent) {
            const error = request.words.find(item => item.startsWith("E:"))?.slice(2);
            if (request.sql === "BEGIN") {
                inserts = [];
                failed = error !== undefined;
            }
            else if (request.sql.startsWith("INSERT")) {
                inserts.push(request);
                failed ||= error !== undefined;
                this.#checkInsert(request, error);
            }
            else if (request.sql === "COMMIT") {
                const done = request.words.includes("C:COMMIT");
                for (const insert of inserts) {
                    const times = this.#committed(insert.sql);
                    if (done ? times !== 1 : times > (error === "ML002" && !failed ? 1 : 0)) {
                        this.#violations.push(`${insert.sql} committed ${times} times: ${request.words.join(" ")}`);
                    }
                }
            }
        }
    }

    #checkInsert(request: Sent, error: string | undefined): void {
        const times = this.#committed(request.sql);
        const alone = !request.sql.endsWith("+") && request.words.at(-1) === "Z:I";
        if (times > 1 || (times > 0 && error !== undefined && error !== "ML002")) {
            this.#violations.push(`${request.sql} committed ${times} times: ${request.words.join(" ")}`);
        }
        if (alone && error === undefined && times !== 1) {
            this.#violations.push(`${request.sql} acknowledged but not committed`);
        }
    }

    /** Each committed transaction holds one autocommit statement, or both statements of one caller's transaction. */
    #checkTransactions(): void {
        for (const server of this.#world.network.servers.values()) {
            const byTransaction = new Map<number, string[]>();
            for (const { sql, transaction } of server.committed) {
                byTransaction.set(transaction, [...byTransaction.get(transaction) ?? [], sql]);
            }
            for (const statements of byTransaction.values()) {
                const [first = "", second] = statements;
                if (statements.length > 2 || (second !== undefined && second !== `${first}+`) || first.endsWith("+")) {
                    this.#violations.push(`one transaction holds ${statements.join(", ")}`);
                }
            }
        }
    }
}
