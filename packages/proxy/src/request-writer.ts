import { FromCaller, FromEndpoint } from "./message-type.js";
import { closeComplete, closeStatement, parse, parseComplete, textAt, withName } from "./messages.js";
import type { PoolConnection } from "./pool-connection.js";
import type { Frame } from "./ports.js";
import type { CallerStatements, Statement, StatementNames } from "./prepared-statements.js";
import { SHARED_PREFIX } from "./prepared-statements.js";
import { statementOf } from "./request-plan.js";

const NAME_AT = 5;
const STATEMENT_LETTER = 0x53;
const PARSE_COMPLETE = parseComplete();
const CLOSE_COMPLETE = closeComplete();

/** What happens with the next response of the endpoint to an extended-protocol message. */
interface Step {
    readonly action: "forward" | "swallow" | "synthesize";
    readonly bytes?: Uint8Array;
    /** What the caller's statement name means from here on. */
    readonly defines?: { readonly name: string; readonly statement: Statement | undefined; };
    /** Shared name that the connection has from here on. */
    readonly prepares?: string;
}

const FORWARD: Step = { action: "forward" };
const SWALLOW: Step = { action: "swallow" };
const EVICTION: Step = { action: "swallow" };

const COMPLETIONS = new Set<number>([
    FromEndpoint.ParseComplete,
    FromEndpoint.BindComplete,
    FromEndpoint.CloseComplete,
    FromEndpoint.RowDescription,
    FromEndpoint.NoData,
    FromEndpoint.CommandComplete,
    FromEndpoint.EmptyQueryResponse,
    FromEndpoint.PortalSuspended,
]);

/**
 * Rewrites the statement names of an extended-protocol request for the connection that it runs on, and matches the
 * endpoint's responses to what the caller sent.
 */
export class RequestWriter {
    readonly #names: StatementNames;
    readonly #caller: CallerStatements;
    /** Names that this request has defined so far; `undefined` is a closed one. */
    readonly #local = new Map<string, Statement | undefined>();
    /** Shared names whose Parse is on its way in this request. */
    readonly #pending = new Set<string>();
    #steps: Step[] = [];
    #next = 0;
    #failed = false;
    #unnamed: Statement | undefined;

    constructor(names: StatementNames, caller: CallerStatements) {
        this.#names = names;
        this.#caller = caller;
    }

    begin(connection: PoolConnection): void {
        this.#local.clear();
        this.#steps = [];
        this.#next = 0;
        this.#failed = false;
        this.#unnamed = undefined;
        this.#pending.clear();
        connection.statements.nextRequest();
    }

    /** Appends the bytes for the connection to `out`. Returns the number of Sync messages among the frames. */
    write(frames: readonly Frame[], connection: PoolConnection, out: Uint8Array[]): number {
        let syncs = 0;
        for (const frame of frames) {
            switch (frame.type) {
                case FromCaller.Parse:
                    this.#parse(frame.bytes, connection, out);
                    break;
                case FromCaller.Bind:
                    this.#refer(frame.bytes, frame.bytes.indexOf(0, NAME_AT) + 1, connection, out);
                    break;
                case FromCaller.Describe:
                    this.#describe(frame.bytes, connection, out);
                    break;
                case FromCaller.Close:
                    this.#close(frame.bytes, out);
                    break;
                case FromCaller.Execute:
                    this.#steps.push(FORWARD);
                    out.push(frame.bytes);
                    break;
                default:
                    syncs += frame.type === FromCaller.Sync ? 1 : 0;
                    out.push(frame.bytes);
            }
        }
        return syncs;
    }

    /** Matches one response. Returns whether it goes to the caller. */
    accept(frame: Frame, connection: PoolConnection): boolean {
        if (frame.type === FromEndpoint.ErrorResponse) {
            // The endpoint skips to Sync. A statement that it should have closed is still there under its name.
            connection.unfit ||= this.#steps.includes(EVICTION, this.#next);
            this.#failed = true;
            return true;
        }
        if (!COMPLETIONS.has(frame.type)) {
            return true;
        }
        const step = this.#steps[this.#next];
        this.#next += 1;
        if (step === undefined) {
            return true;
        }
        this.#apply(step, connection);
        return step.action === "forward";
    }

    /** Responses that the proxy gives itself before the endpoint's next one. */
    synthesized(connection: PoolConnection, push: (bytes: Uint8Array) => void): void {
        while (!this.#failed) {
            const step = this.#steps[this.#next];
            if (step?.action !== "synthesize") {
                return;
            }
            this.#next += 1;
            this.#apply(step, connection);
            push(step.bytes ?? PARSE_COMPLETE);
        }
    }

    #apply(step: Step, connection: PoolConnection): void {
        if (step.prepares !== undefined) {
            connection.statements.add(step.prepares);
        }
        if (step.defines?.statement !== undefined) {
            this.#caller.set(step.defines.name, step.defines.statement);
        }
        else if (step.defines !== undefined) {
            this.#caller.delete(step.defines.name);
        }
    }

    #lookUp(name: string): Statement | undefined {
        return this.#local.has(name) ? this.#local.get(name) : this.#caller.get(name);
    }

    #parse(bytes: Uint8Array, connection: PoolConnection, out: Uint8Array[]): void {
        const name = textAt(bytes, NAME_AT);
        const statement = statementOf(bytes, this.#names);
        const defines = { name, statement };
        if (name === "") {
            this.#local.set(name, statement);
            this.#unnamed = statement;
            this.#steps.push({ action: "forward", defines });
            out.push(bytes);
            return;
        }
        const taken = this.#lookUp(name) !== undefined;
        this.#local.set(name, statement);
        const has = this.#has(statement, connection);
        if (has && !taken) {
            this.#steps.push({ action: "synthesize", bytes: PARSE_COMPLETE, defines });
            return;
        }
        if (taken && !has) {
            this.#prepare(statement, connection, out);
        }
        // For a name already taken this Parse fails at the endpoint, as it would without the proxy.
        this.#evict(connection, out);
        this.#steps.push({ action: "forward", defines, prepares: statement.name });
        this.#pending.add(statement.name);
        out.push(parse(statement.name, statement.body));
    }

    #has(statement: Statement, connection: PoolConnection): boolean {
        return connection.statements.use(statement.name) || this.#stepPrepares(statement.name);
    }

    #stepPrepares(name: string): boolean {
        return this.#pending.has(name) && this.#steps.some(step => step.prepares === name);
    }

    #prepare(statement: Statement, connection: PoolConnection, out: Uint8Array[]): void {
        this.#evict(connection, out);
        this.#pending.add(statement.name);
        this.#steps.push({ action: "swallow", prepares: statement.name });
        out.push(parse(statement.name, statement.body));
    }

    #evict(connection: PoolConnection, out: Uint8Array[]): void {
        const name = connection.statements.evict();
        if (name !== undefined) {
            this.#steps.push(EVICTION);
            out.push(closeStatement(name));
        }
    }

    #describe(bytes: Uint8Array, connection: PoolConnection, out: Uint8Array[]): void {
        if (bytes[NAME_AT] === STATEMENT_LETTER) {
            this.#refer(bytes, NAME_AT + 1, connection, out);
            return;
        }
        this.#steps.push(FORWARD);
        out.push(bytes);
    }

    /** Passes on a message that refers to the statement whose name is at `nameAt`. */
    #refer(bytes: Uint8Array, nameAt: number, connection: PoolConnection, out: Uint8Array[]): void {
        const name = textAt(bytes, nameAt);
        const statement = this.#lookUp(name);
        if (statement === undefined) {
            // The endpoint answers that it does not exist; the connection's own unnamed and shared ones are hidden.
            const hidden = name === "" || name.startsWith(SHARED_PREFIX);
            this.#steps.push(FORWARD);
            out.push(hidden ? withName(bytes, nameAt, `unknown ${name}`) : bytes);
            return;
        }
        if (name === "") {
            if (this.#unnamed !== statement) {
                this.#unnamed = statement;
                this.#steps.push(SWALLOW);
                out.push(parse("", statement.body));
            }
            this.#steps.push(FORWARD);
            out.push(bytes);
            return;
        }
        if (!this.#has(statement, connection)) {
            this.#prepare(statement, connection, out);
        }
        this.#steps.push(FORWARD);
        out.push(withName(bytes, nameAt, statement.name));
    }

    #close(bytes: Uint8Array, out: Uint8Array[]): void {
        const name = textAt(bytes, NAME_AT + 1);
        if (bytes[NAME_AT] !== STATEMENT_LETTER) {
            this.#steps.push(FORWARD);
            out.push(bytes);
            return;
        }
        this.#local.set(name, undefined);
        this.#steps.push({ action: "synthesize", bytes: CLOSE_COMPLETE, defines: { name, statement: undefined } });
    }
}
