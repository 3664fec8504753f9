import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { FakeCaller } from "./fake-wire.js";
import { ProxyHarness } from "./proxy-harness.js";

const CALLERS = 4;
const STEPS = 160;
const LIMIT = 3;
const DEADLINE_MS = 400;

/** Faults that break one rule each, to show that the checks detect it. */
export type InjectedFault = "none" | "leaseIgnored" | "writesRepeated" | "readsUnchecked";

interface SentRequest {
    readonly sql: string;
    /** Summaries of the response messages, up to ReadyForQuery. */
    words: string[];
    answered: boolean;
}

interface CallerScript {
    readonly caller: FakeCaller;
    readonly sent: SentRequest[];
    readonly script: string[];
    floor: number;
    isDisconnected: boolean;
}

/**
 * A random interleaving of callers, responses, lost connections, deadlines, leases and failovers. `run` returns the
 * violated rules.
 */
export class RandomInterleaving {
    readonly #harness = new ProxyHarness(["a", "b", "c"]);
    readonly #violations: string[] = [];
    readonly #fault: InjectedFault;
    readonly #random;
    readonly #callerScripts: CallerScript[] = [];
    #leaseValid = true;
    #lastNameNumber = 0;

    constructor(seed: number, fault: InjectedFault) {
        this.#random = xoroshiro128plus(seed);
        this.#fault = fault;
        const harness = this.#harness;
        harness.limit = LIMIT;
        harness.databaseSettings = {
            acknowledge: seed % 3 === 0 ? "replica" : "primary",
            roaming: "strict",
            replicaReads: true,
            replicaWaitMs: 0,
        };
        harness.requestClass = {
            ...harness.requestClass,
            deadlineMs: DEADLINE_MS,
            repeatable: fault === "writesRepeated",
        };
        harness.skipsFreshnessChecks = fault === "readsUnchecked";
        harness.isLeaseValid = term => term === this.#term() && (this.#leaseValid || fault === "leaseIgnored");
    }

    async run(): Promise<readonly string[]> {
        this.#harness.proxy.prepare("shop");
        await this.#harness.advance(150);
        for (let index = 0; index < CALLERS; index++) {
            this.#addCaller();
        }
        for (let step = 0; step < STEPS; step++) {
            this.#step();
            await this.#harness.flushMicrotasks();
        }
        await this.#restore();
        this.#check();
        return this.#violations;
    }

    #term(): number {
        return this.#harness.databaseView.terms.at(-1)!.term;
    }

    #primary(): string {
        return this.#harness.databaseView.terms.at(-1)!.primary;
    }

    #randomBelow(count: number): number {
        return uniformInt(this.#random, 0, count - 1);
    }

    #addCaller(): void {
        const callerScript: CallerScript = {
            caller: this.#harness.caller(),
            sent: [],
            script: [],
            floor: 0,
            isDisconnected: false,
        };
        callerScript.caller.onMessage = message => {
            this.#received(callerScript, message);
        };
        this.#callerScripts.push(callerScript);
    }

    #step(): void {
        const choice = this.#randomBelow(100);
        if (choice < 40) {
            this.#send(this.#callerScripts[this.#randomBelow(this.#callerScripts.length)]!);
        }
        else if (choice < 75) {
            this.#onSession((id, index) => {
                this.#harness.sessions(id)[index]!.processMessages(1 + this.#randomBelow(4));
            });
        }
        else if (choice < 80) {
            this.#onSession((id, index) => {
                this.#harness.sessions(id)[index]!.processMessages(this.#randomBelow(3), true);
            });
        }
        else if (choice < 90) {
            this.#harness.time.runDue(this.#harness.time.now + this.#randomBelow(choice === 89 ? DEADLINE_MS : 20));
        }
        else {
            this.#injectEvent(choice);
        }
    }

    #injectEvent(choice: number): void {
        const harness = this.#harness;
        if (choice < 94) {
            this.#leaseValid = this.#randomBelow(2) === 0;
            harness.changed();
        }
        else if (choice < 97) {
            for (const server of harness.network.servers.values()) {
                if (server.replica) {
                    const behind = harness.server(this.#primary()).position - server.position;
                    server.position += behind > 0 ? 10 * this.#randomBelow(behind / 10 + 1) : 0;
                }
            }
        }
        else if (choice < 98 && this.#term() < 3) {
            const next = [...harness.network.servers.values()].find(server => server.replica)!;
            const behind = [...harness.network.servers.values()].find(server => server.replica && server !== next);
            if (behind !== undefined) {
                behind.position = Math.min(behind.position, next.position);
                behind.timeline = this.#term() + 1;
            }
            harness.promote(next.endpoint.id, next.position);
        }
        else if (choice < 99) {
            const callerScript = this.#callerScripts[this.#randomBelow(this.#callerScripts.length)]!;
            harness.proxy.cancel(callerScript.caller.processId, callerScript.caller.secretKey);
        }
        else {
            const callerScript = this.#callerScripts[this.#randomBelow(this.#callerScripts.length)]!;
            callerScript.isDisconnected = true;
            callerScript.caller.leave();
            this.#addCaller();
        }
    }

    #onSession(act: (id: string, index: number) => void): void {
        const id = ["a", "b", "c"][this.#randomBelow(3)]!;
        const count = this.#harness.sessions(id).length;
        if (count > 0) {
            act(id, this.#randomBelow(count));
        }
    }

    /** Sends the caller's next request without waiting for earlier responses. */
    #send(callerScript: CallerScript): void {
        if (callerScript.isDisconnected) {
            return;
        }
        if (callerScript.script.length === 0) {
            const name = `n${++this.#lastNameNumber}`;
            const kind = this.#randomBelow(3);
            callerScript.script.push(
                ...(kind === 0
                    ? [`INSERT ${name}`]
                    : kind === 1
                    ? [`SELECT position ${name}`]
                    : ["BEGIN", `INSERT ${name}`, `INSERT ${name}+`, "COMMIT"]),
            );
        }
        const sql = callerScript.script.shift()!;
        callerScript.sent.push({ sql, words: [], answered: false });
        callerScript.caller.query(sql);
    }

    #received(callerScript: CallerScript, message: string): void {
        const current = callerScript.sent.find(item => !item.answered);
        if (current === undefined || callerScript.isDisconnected) {
            this.#violations.push(`unexpected ${message}`);
            return;
        }
        current.words.push(message);
        const acknowledges = message === "C:COMMIT"
            || (message === "C:INSERT 0 1" && !this.#inTransaction(callerScript));
        if (acknowledges) {
            this.#acknowledged(current.sql);
        }
        if (message.startsWith("Z:")) {
            current.answered = true;
            this.#answered(callerScript, current);
        }
    }

    #inTransaction(callerScript: CallerScript): boolean {
        const done = callerScript.sent.filter(item => item.answered);
        return done.at(-1)?.words.at(-1) === "Z:T";
    }

    #acknowledged(sql: string): void {
        if (!this.#leaseValid) {
            this.#violations.push(`${sql} acknowledged without a lease`);
        }
        const { committed, position } = this.#harness.server(this.#primary());
        const at = sql === "COMMIT" ? -1 : committed.findIndex(item => item.sql === sql);
        const written = position - 10 * (committed.length - 1 - at);
        const servers = [...this.#harness.network.servers.values()];
        const replicated = servers.some(server => server.replica && server.position >= written);
        if (at >= 0 && !replicated && this.#harness.databaseSettings.acknowledge === "replica") {
            this.#violations.push(`${sql} acknowledged before a replica had it`);
        }
        if (sql !== "COMMIT" && !committed.some(item => item.sql === sql)) {
            this.#violations.push(`${sql} acknowledged by another endpoint than the primary`);
        }
    }

    #answered(callerScript: CallerScript, request: SentRequest): void {
        const position = Number(/^\d+:(\d+)$/.exec(callerScript.caller.token)?.[1] ?? 0);
        for (const message of request.words.filter(item => item.startsWith("D:"))) {
            const [text = "", at] = message.slice(2).split("@");
            if (text !== request.sql) {
                this.#violations.push(`${request.sql} was answered with ${text}`);
            }
            const complete = !request.words.some(item => item.startsWith("E:"));
            if (complete && Number(at) < callerScript.floor) {
                this.#violations.push(`${request.sql} read ${at ?? ""} below the floor ${callerScript.floor}`);
            }
        }
        callerScript.floor = request.words.includes("E:ML003") ? 0 : Math.max(callerScript.floor, position);
    }

    async #restore(): Promise<void> {
        this.#leaseValid = true;
        for (const server of this.#harness.network.servers.values()) {
            if (server.replica) {
                server.position = Math.max(server.position, this.#harness.server(this.#primary()).position);
            }
        }
        this.#harness.changed();
        for (let round = 0; round < 8; round++) {
            await this.#harness.advance(DEADLINE_MS / 4);
        }
        for (const callerScript of this.#callerScripts.filter(item => !item.isDisconnected)) {
            while (callerScript.script.length > 0) {
                this.#send(callerScript);
            }
        }
        await this.#harness.advance(3 * DEADLINE_MS);
    }

    #check(): void {
        for (const callerScript of this.#callerScripts.filter(item => !item.isDisconnected)) {
            for (const request of callerScript.sent.filter(item => !item.answered)) {
                this.#violations.push(`${request.sql} was never answered`);
            }
            this.#checkWrites(callerScript);
        }
        this.#checkTransactions();
        for (const server of this.#harness.network.servers.values()) {
            if (server.maxSessions > LIMIT) {
                this.#violations.push(`${server.maxSessions} connections to ${server.endpoint.id}`);
            }
        }
        const status = this.#harness.proxy.status().databases[0]!;
        const left = status.heldAnswers + status.waiting + status.waitingForReplica
            + status.endpoints.reduce((sum, item) => sum + item.inFlight, 0);
        if (left > 0) {
            this.#violations.push(`${left} requests left over`);
        }
    }

    #committed(sql: string): number {
        return [...this.#harness.network.servers.values()].flatMap(server => server.committed)
            .filter(item => item.sql === sql).length;
    }

    #checkWrites(callerScript: CallerScript): void {
        let failed = false;
        let inserts: SentRequest[] = [];
        for (const request of callerScript.sent) {
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

    #checkInsert(request: SentRequest, error: string | undefined): void {
        const times = this.#committed(request.sql);
        const alone = !request.sql.endsWith("+") && request.words.at(-1) === "Z:I";
        if (times > 1 || (times > 0 && error !== undefined && error !== "ML002")) {
            this.#violations.push(`${request.sql} committed ${times} times: ${request.words.join(" ")}`);
        }
        if (alone && error === undefined && times !== 1) {
            this.#violations.push(`${request.sql} acknowledged but not committed`);
        }
    }

    /** Checks that each committed transaction holds one autocommit statement or both statements of one caller. */
    #checkTransactions(): void {
        for (const server of this.#harness.network.servers.values()) {
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
