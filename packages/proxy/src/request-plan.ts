import { FromCaller } from "./message-type.js";
import { textAt } from "./messages.js";
import type { Classification, Classifier, ProxySettingStatement } from "./ports.js";
import { StatementKind } from "./ports.js";
import type { CallerStatements, PreparedStatement, PreparedStatementRegistry } from "./prepared-statements.js";
import type { Request } from "./request-assembler.js";

const NAME_OFFSET = 5;

/** How one request must be routed and run, derived from its statements. */
export interface RequestPlan {
    readonly kind: StatementKind;
    /** False when the request only prepares or describes: then it can be repeated. */
    readonly executes: boolean;
    readonly pins: boolean;
    readonly touchesSession: boolean;
    /** What the request resets: prepared statements, or with DISCARD ALL the whole session state. */
    readonly resets: "none" | "statements" | "all";
    readonly refusal: string | undefined;
    /** A position query may be sent after the request in the same packet. */
    readonly allowsTrailingQuery: boolean;
    /** The request may end a transaction, so that its outcome is unknown if the connection is lost. */
    readonly mayCommit: boolean;
    readonly comment: Classification["comment"];
    /** Set when the request reads or changes a `medlarledge.*` setting, which the proxy handles itself. */
    readonly own: ProxySettingStatement | undefined;
    /** The request depends on the connection of an earlier statement, so it is valid only on a reserved connection. */
    readonly transactionOnly: boolean;
}

interface TextTraits {
    readonly readsCopyData: boolean;
    readonly mayLeaveTransactionOpen: boolean;
    readonly mayCommit: boolean;
    readonly deallocatesAll: boolean;
}

// Matching words instead of parsing is enough: a false positive costs one round trip or a less precise error, but never
// gives a wrong result.
const COPY_PATTERN = /\bcopy\b/i;
const STDIN_PATTERN = /\bstdin\b/i;
const BEGIN_PATTERN = /\b(begin|start|chain)\b/i;
const CHAIN_PATTERN = /\bchain\b/i;
const COMMIT_PATTERN = /\b(commit|end|prepare|call|do)\b/i;
const DEALLOCATE_ALL_PATTERN = /^\s*deallocate\s+(prepare\s+)?all\b/i;
const NO_COMMENT = {};

const traitsByClassification = new WeakMap<Classification, TextTraits>();

function textTraits(text: string, classification: Classification): TextTraits {
    const known = traitsByClassification.get(classification);
    if (known !== undefined) {
        return known;
    }
    const foundTraits = {
        readsCopyData: COPY_PATTERN.test(text) && STDIN_PATTERN.test(text),
        mayLeaveTransactionOpen: mayLeaveTransactionOpen(text, classification),
        mayCommit: COMMIT_PATTERN.test(text),
        deallocatesAll: DEALLOCATE_ALL_PATTERN.test(text),
    };
    traitsByClassification.set(classification, foundTraits);
    return foundTraits;
}

/** Whether a transaction may be open after the statements; then no position query may follow as its first statement. */
function mayLeaveTransactionOpen(text: string, classification: Classification): boolean {
    if (classification.kind === StatementKind.Begin) {
        return true;
    }
    if (classification.kind === StatementKind.Commit) {
        return CHAIN_PATTERN.test(text);
    }
    return classification.kind !== StatementKind.Read && classification.statements > 1 && BEGIN_PATTERN.test(text);
}

/** Statement kinds in rising precedence: the last one present determines the kind of a request. */
const PRECEDENCE: readonly StatementKind[] = [
    StatementKind.Read,
    StatementKind.SessionState,
    StatementKind.Rollback,
    StatementKind.Begin,
    StatementKind.Write,
    StatementKind.Pinned,
    StatementKind.Commit,
    StatementKind.ProxySetting,
    StatementKind.Refused,
];

class PlanBuilder {
    kind: StatementKind = StatementKind.Read;
    executes = false;
    pins = false;
    touchesSession = false;
    resets: RequestPlan["resets"] = "none";
    refusal: string | undefined;
    readsCopyData = false;
    mayLeaveTransactionOpen = false;
    mayCommit = false;
    comment: Classification["comment"] = NO_COMMENT;
    own: RequestPlan["own"];
    transactionOnly = false;
    statementCount = 0;

    add(text: string, classification: Classification): void {
        const foundTraits = textTraits(text, classification);
        this.statementCount += 1;
        if (PRECEDENCE.indexOf(classification.kind) > PRECEDENCE.indexOf(this.kind)) {
            this.kind = classification.kind;
        }
        this.pins ||= classification.pins;
        this.touchesSession ||= classification.kind === StatementKind.SessionState || classification.pins;
        if (classification.resets) {
            this.resets = "all";
        }
        else if (foundTraits.deallocatesAll && this.resets === "none") {
            this.resets = "statements";
        }
        this.transactionOnly ||= classification.transactionOnly;
        this.refusal ??= classification.refusal;
        this.readsCopyData ||= foundTraits.readsCopyData;
        this.mayLeaveTransactionOpen ||= foundTraits.mayLeaveTransactionOpen;
        this.mayCommit ||= foundTraits.mayCommit || classification.kind === StatementKind.Commit;
        this.comment = this.comment === NO_COMMENT ? classification.comment : this.comment;
        if (classification.kind === StatementKind.ProxySetting) {
            this.own = classification.set;
        }
        if (classification.kind === StatementKind.Refused) {
            this.refusal ??= "the statement cannot be pooled";
        }
    }

    build(complete: boolean): RequestPlan {
        if (this.own !== undefined && this.statementCount > 1) {
            this.refusal ??= "a statement on medlarledge settings must be sent alone";
        }
        // Later statements of a request that starts before its Sync are not known yet, so treat it as a write.
        const kind = complete || this.kind !== StatementKind.Read ? this.kind : StatementKind.Write;
        return {
            kind,
            executes: this.executes || !complete,
            pins: this.pins,
            touchesSession: this.touchesSession,
            resets: this.resets,
            refusal: this.refusal,
            allowsTrailingQuery: complete && !this.readsCopyData && !this.mayLeaveTransactionOpen,
            mayCommit: this.mayCommit || !complete,
            comment: this.comment,
            own: this.own,
            transactionOnly: this.transactionOnly,
        };
    }
}

/** Plans an extended-protocol request. `statements` holds the statements that the caller prepared earlier. */
export function planExtendedRequest(
    request: Request,
    registry: PreparedStatementRegistry,
    statements: CallerStatements,
): RequestPlan {
    const builder = new PlanBuilder();
    const localStatements = new Map<string, PreparedStatement>();
    for (const frame of request.frames) {
        switch (frame.type) {
            case FromCaller.FunctionCall:
                builder.refusal = "function calls by message are not supported; use SELECT";
                break;
            case FromCaller.Parse: {
                const name = textAt(frame.bytes, NAME_OFFSET);
                const statement = statementOf(frame.bytes, registry);
                localStatements.set(name, statement);
                builder.add(statement.text, statement.classification);
                break;
            }
            case FromCaller.Bind: {
                const name = textAt(frame.bytes, frame.bytes.indexOf(0, NAME_OFFSET) + 1);
                const statement = statements.get(name);
                if (!localStatements.has(name) && statement !== undefined) {
                    builder.add(statement.text, statement.classification);
                }
                break;
            }
            case FromCaller.Execute:
                builder.executes = true;
                break;
            default:
                break;
        }
    }
    return builder.build(request.complete);
}

/** Returns the statement that a Parse message prepares. */
export function statementOf(parse: Uint8Array, registry: PreparedStatementRegistry): PreparedStatement {
    const body = parse.subarray(parse.indexOf(0, NAME_OFFSET) + 1);
    return registry.intern(body);
}

/** Plans a request of the simple or the extended protocol. */
export function planRequest(
    request: Request,
    classifier: Classifier,
    registry: PreparedStatementRegistry,
    statements: CallerStatements,
): RequestPlan {
    const [first] = request.frames;
    if (!request.simple || first?.type !== FromCaller.Query) {
        return planExtendedRequest(request, registry, statements);
    }
    // A simple query destroys the unnamed statement.
    statements.delete("");
    const text = textAt(first.bytes, NAME_OFFSET);
    const builder = new PlanBuilder();
    builder.executes = true;
    builder.add(text, classifier.classify(text));
    return builder.build(true);
}

/** Merges the plan of a started request with that of the messages that arrived since. */
export function mergePlans(first: RequestPlan, more: RequestPlan): RequestPlan {
    const isMorePrecedent = PRECEDENCE.indexOf(more.kind) > PRECEDENCE.indexOf(first.kind);
    return {
        ...first,
        kind: isMorePrecedent ? more.kind : first.kind,
        pins: first.pins || more.pins,
        touchesSession: first.touchesSession || more.touchesSession,
        resets: more.resets === "none" ? first.resets : more.resets,
    };
}
