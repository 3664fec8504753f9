import { FromCaller } from "./message-type.js";
import { textAt } from "./messages.js";
import type { Classification, Classifier, ProxySettingStatement } from "./ports.js";
import { StatementKind } from "./ports.js";
import type { CallerStatements, Statement, StatementNames } from "./prepared-statements.js";
import type { Request } from "./request-assembly.js";

const NAME_AT = 5;

/** What the proxy decides about one request before it runs. */
export interface RequestPlan {
    readonly kind: StatementKind;
    /** False when the request only prepares or describes: then it can be repeated. */
    readonly executes: boolean;
    readonly pins: boolean;
    readonly touchesSession: boolean;
    /** Removes prepared statements, with DISCARD ALL the whole session state. */
    readonly resets: "none" | "statements" | "all";
    readonly refusal: string | undefined;
    /** The position query can follow in the same packet. */
    readonly allowsTrailingQuery: boolean;
    /** The request may contain the end of a transaction, so that a lost connection leaves its outcome open. */
    readonly mayCommit: boolean;
    readonly comment: Classification["comment"];
    /** Set when the proxy answers the request itself. */
    readonly own: ProxySettingStatement | undefined;
    /** Makes sense only where the session's earlier statements ran. */
    readonly transactionOnly: boolean;
}

interface TextTraits {
    readonly copies: boolean;
    readonly begins: boolean;
    readonly mayCommit: boolean;
    readonly deallocatesAll: boolean;
}

// Word tests on purpose: a false positive costs one round trip or a less precise error, never a wrong answer.
const COPY_WORD = /\bcopy\b/i;
const STDIN_WORD = /\bstdin\b/i;
const BEGIN_WORD = /\b(begin|start|chain)\b/i;
const CHAIN_WORD = /\bchain\b/i;
const COMMIT_WORD = /\b(commit|end|prepare|call|do)\b/i;
const DEALLOCATE_ALL = /^\s*deallocate\s+(prepare\s+)?all\b/i;
const NO_COMMENT = {};

const traitsOf = new WeakMap<Classification, TextTraits>();

function traits(text: string, classification: Classification): TextTraits {
    const known = traitsOf.get(classification);
    if (known !== undefined) {
        return known;
    }
    const found = {
        copies: COPY_WORD.test(text) && STDIN_WORD.test(text),
        begins: leavesTransaction(text, classification),
        mayCommit: COMMIT_WORD.test(text),
        deallocatesAll: DEALLOCATE_ALL.test(text),
    };
    traitsOf.set(classification, found);
    return found;
}

/** Whether a transaction may be open behind the statements; the position query must not be the first in it. */
function leavesTransaction(text: string, classification: Classification): boolean {
    if (classification.kind === StatementKind.Begin) {
        return true;
    }
    if (classification.kind === StatementKind.Commit) {
        return CHAIN_WORD.test(text);
    }
    return classification.kind !== StatementKind.Read && classification.statements > 1 && BEGIN_WORD.test(text);
}

/** Kinds in the order in which one of them determines a request with several statements. */
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
    copies = false;
    begins = false;
    mayCommit = false;
    comment: Classification["comment"] = NO_COMMENT;
    own: RequestPlan["own"];
    transactionOnly = false;
    statements = 0;

    add(text: string, classification: Classification): void {
        const found = traits(text, classification);
        this.statements += 1;
        if (PRECEDENCE.indexOf(classification.kind) > PRECEDENCE.indexOf(this.kind)) {
            this.kind = classification.kind;
        }
        this.pins ||= classification.pins;
        this.touchesSession ||= classification.kind === StatementKind.SessionState || classification.pins;
        if (classification.resets) {
            this.resets = "all";
        }
        else if (found.deallocatesAll && this.resets === "none") {
            this.resets = "statements";
        }
        this.transactionOnly ||= classification.transactionOnly;
        this.refusal ??= classification.refusal;
        this.copies ||= found.copies;
        this.begins ||= found.begins;
        this.mayCommit ||= found.mayCommit || classification.kind === StatementKind.Commit;
        this.comment = this.comment === NO_COMMENT ? classification.comment : this.comment;
        if (classification.kind === StatementKind.ProxySetting) {
            this.own = classification.set;
        }
        if (classification.kind === StatementKind.Refused) {
            this.refusal ??= "the statement cannot be pooled";
        }
    }

    build(complete: boolean): RequestPlan {
        if (this.own !== undefined && this.statements > 1) {
            this.refusal ??= "a statement on medlarledge settings must be sent alone";
        }
        // Statements that follow in a request already started are not known yet: treat it as a write.
        const kind = complete || this.kind !== StatementKind.Read ? this.kind : StatementKind.Write;
        return {
            kind,
            executes: this.executes || !complete,
            pins: this.pins,
            touchesSession: this.touchesSession,
            resets: this.resets,
            refusal: this.refusal,
            allowsTrailingQuery: complete && !this.copies && !this.begins,
            mayCommit: this.mayCommit || !complete,
            comment: this.comment,
            own: this.own,
            transactionOnly: this.transactionOnly,
        };
    }
}

/** Plans a request. `statements` holds what the caller prepared in earlier requests. */
export function planRequest(request: Request, names: StatementNames, statements: CallerStatements): RequestPlan {
    const builder = new PlanBuilder();
    const local = new Map<string, Statement>();
    for (const frame of request.frames) {
        switch (frame.type) {
            case FromCaller.FunctionCall:
                builder.refusal = "function calls by message are not supported; use SELECT";
                break;
            case FromCaller.Parse: {
                const name = textAt(frame.bytes, NAME_AT);
                const statement = statementOf(frame.bytes, names);
                local.set(name, statement);
                builder.add(statement.text, statement.classification);
                break;
            }
            case FromCaller.Bind: {
                const name = textAt(frame.bytes, frame.bytes.indexOf(0, NAME_AT) + 1);
                const statement = statements.get(name);
                if (!local.has(name) && statement !== undefined) {
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

/** The statement that a Parse message prepares. */
export function statementOf(parse: Uint8Array, names: StatementNames): Statement {
    const body = parse.subarray(parse.indexOf(0, NAME_AT) + 1);
    return names.intern(body);
}

/** Plans any request. */
export function planOf(
    request: Request,
    classifier: Classifier,
    names: StatementNames,
    statements: CallerStatements,
): RequestPlan {
    const [first] = request.frames;
    if (!request.simple || first?.type !== FromCaller.Query) {
        return planRequest(request, names, statements);
    }
    // A simple query destroys the unnamed statement.
    statements.delete("");
    const text = textAt(first.bytes, NAME_AT);
    const builder = new PlanBuilder();
    builder.executes = true;
    builder.add(text, classifier.classify(text));
    return builder.build(true);
}

/** The plan of a request that has already started, after more of it arrived. */
export function joinPlans(first: RequestPlan, more: RequestPlan): RequestPlan {
    const later = PRECEDENCE.indexOf(more.kind) > PRECEDENCE.indexOf(first.kind);
    return {
        ...first,
        kind: later ? more.kind : first.kind,
        pins: first.pins || more.pins,
        touchesSession: first.touchesSession || more.touchesSession,
        resets: more.resets === "none" ? first.resets : more.resets,
    };
}
