import { FromCaller, FromEndpoint } from "./message-type.js";
import { closeComplete, closeStatement, parse, parseComplete, replaceName, textAt } from "./messages.js";
import type { PoolConnection } from "./pool-connection.js";
import type { Frame } from "./ports.js";
import type { CallerStatements, PreparedStatement, PreparedStatementRegistry } from "./prepared-statements.js";
import { SHARED_PREFIX } from "./prepared-statements.js";
import { statementOf } from "./request-plan.js";

const NAME_OFFSET = 5;
const STATEMENT_TARGET = 0x53;
const PARSE_COMPLETE = parseComplete();
const CLOSE_COMPLETE = closeComplete();

/** How to handle the endpoint's response to one extended-protocol message. */
interface ResponseStep {
    readonly action: "forward" | "suppress" | "synthesize";
    readonly bytes?: Uint8Array;
    /** The caller's statement name that this step defines, or removes when `statement` is undefined. */
    readonly defines?: { readonly name: string; readonly statement: PreparedStatement | undefined; };
    /** The shared name that the connection has prepared after this step. */
    readonly prepares?: string;
}

const FORWARD: ResponseStep = { action: "forward" };
const SUPPRESS: ResponseStep = { action: "suppress" };
const EVICTION: ResponseStep = { action: "suppress" };

const COMPLETION_TYPES = new Set<number>([
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
export class RequestRewriter {
    readonly #registry: PreparedStatementRegistry;
    readonly #callerStatements: CallerStatements;
    /** The caller's names that this request has defined so far; `undefined` marks a closed statement. */
    readonly #definedNames = new Map<string, PreparedStatement | undefined>();
    /** Shared names whose Parse message was sent in this request. */
    readonly #pendingParses = new Set<string>();
    #steps: ResponseStep[] = [];
    #nextStep = 0;
    #hasFailed = false;
    #unnamedStatement: PreparedStatement | undefined;

    constructor(registry: PreparedStatementRegistry, callerStatements: CallerStatements) {
        this.#registry = registry;
        this.#callerStatements = callerStatements;
    }

    begin(connection: PoolConnection): void {
        this.#definedNames.clear();
        this.#steps = [];
        this.#nextStep = 0;
        this.#hasFailed = false;
        this.#unnamedStatement = undefined;
        this.#pendingParses.clear();
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
                    this.#rewriteReference(frame.bytes, frame.bytes.indexOf(0, NAME_OFFSET) + 1, connection, out);
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

    /** Matches one response to the next step. Returns whether to forward it to the caller. */
    handleResponse(frame: Frame, connection: PoolConnection): boolean {
        if (frame.type === FromEndpoint.ErrorResponse) {
            // The endpoint skips to Sync, so a statement whose Close it skipped still exists under its name.
            connection.mustClose ||= this.#steps.includes(EVICTION, this.#nextStep);
            this.#hasFailed = true;
            return true;
        }
        if (!COMPLETION_TYPES.has(frame.type)) {
            return true;
        }
        const step = this.#steps[this.#nextStep];
        this.#nextStep += 1;
        if (step === undefined) {
            return true;
        }
        this.#apply(step, connection);
        return step.action === "forward";
    }

    /** Sends the responses that the proxy must create itself before the endpoint's next one. */
    sendSynthesized(connection: PoolConnection, push: (bytes: Uint8Array) => void): void {
        while (!this.#hasFailed) {
            const step = this.#steps[this.#nextStep];
            if (step?.action !== "synthesize") {
                return;
            }
            this.#nextStep += 1;
            this.#apply(step, connection);
            push(step.bytes ?? PARSE_COMPLETE);
        }
    }

    #apply(step: ResponseStep, connection: PoolConnection): void {
        if (step.prepares !== undefined) {
            connection.statements.add(step.prepares);
        }
        if (step.defines?.statement !== undefined) {
            this.#callerStatements.set(step.defines.name, step.defines.statement);
        }
        else if (step.defines !== undefined) {
            this.#callerStatements.delete(step.defines.name);
        }
    }

    #lookUp(name: string): PreparedStatement | undefined {
        return this.#definedNames.has(name) ? this.#definedNames.get(name) : this.#callerStatements.get(name);
    }

    #parse(bytes: Uint8Array, connection: PoolConnection, out: Uint8Array[]): void {
        const name = textAt(bytes, NAME_OFFSET);
        const statement = statementOf(bytes, this.#registry);
        const defines = { name, statement };
        if (name === "") {
            this.#definedNames.set(name, statement);
            this.#unnamedStatement = statement;
            this.#steps.push({ action: "forward", defines });
            out.push(bytes);
            return;
        }
        const isNameTaken = this.#lookUp(name) !== undefined;
        this.#definedNames.set(name, statement);
        const isPrepared = this.#isPrepared(statement, connection);
        if (isPrepared && !isNameTaken) {
            this.#steps.push({ action: "synthesize", bytes: PARSE_COMPLETE, defines });
            return;
        }
        if (isNameTaken && !isPrepared) {
            this.#prepare(statement, connection, out);
        }
        // If the name is taken, this Parse fails at the endpoint, as it would without the proxy.
        this.#evict(connection, out);
        this.#steps.push({ action: "forward", defines, prepares: statement.name });
        this.#pendingParses.add(statement.name);
        out.push(parse(statement.name, statement.body));
    }

    #isPrepared(statement: PreparedStatement, connection: PoolConnection): boolean {
        return connection.statements.markUsed(statement.name) || this.#isParsePending(statement.name);
    }

    #isParsePending(name: string): boolean {
        return this.#pendingParses.has(name) && this.#steps.some(step => step.prepares === name);
    }

    #prepare(statement: PreparedStatement, connection: PoolConnection, out: Uint8Array[]): void {
        this.#evict(connection, out);
        this.#pendingParses.add(statement.name);
        this.#steps.push({ action: "suppress", prepares: statement.name });
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
        if (bytes[NAME_OFFSET] === STATEMENT_TARGET) {
            this.#rewriteReference(bytes, NAME_OFFSET + 1, connection, out);
            return;
        }
        this.#steps.push(FORWARD);
        out.push(bytes);
    }

    /** Rewrites and forwards a message that refers to the statement whose name is at `nameOffset`. */
    #rewriteReference(bytes: Uint8Array, nameOffset: number, connection: PoolConnection, out: Uint8Array[]): void {
        const name = textAt(bytes, nameOffset);
        const statement = this.#lookUp(name);
        if (statement === undefined) {
            // The endpoint reports that it does not exist. The unnamed and the shared statements of the connection may
            // belong to other callers, so references to them get a name that does not exist.
            const isHidden = name === "" || name.startsWith(SHARED_PREFIX);
            this.#steps.push(FORWARD);
            out.push(isHidden ? replaceName(bytes, nameOffset, `unknown ${name}`) : bytes);
            return;
        }
        if (name === "") {
            if (this.#unnamedStatement !== statement) {
                this.#unnamedStatement = statement;
                this.#steps.push(SUPPRESS);
                out.push(parse("", statement.body));
            }
            this.#steps.push(FORWARD);
            out.push(bytes);
            return;
        }
        if (!this.#isPrepared(statement, connection)) {
            this.#prepare(statement, connection, out);
        }
        this.#steps.push(FORWARD);
        out.push(replaceName(bytes, nameOffset, statement.name));
    }

    #close(bytes: Uint8Array, out: Uint8Array[]): void {
        const name = textAt(bytes, NAME_OFFSET + 1);
        if (bytes[NAME_OFFSET] !== STATEMENT_TARGET) {
            this.#steps.push(FORWARD);
            out.push(bytes);
            return;
        }
        this.#definedNames.set(name, undefined);
        this.#steps.push({ action: "synthesize", bytes: CLOSE_COMPLETE, defines: { name, statement: undefined } });
    }
}
