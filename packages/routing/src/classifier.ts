import { loadModule, parseSync, scanSync } from "libpg-query";
import { type CacheLimits, LruCache } from "./lru-cache.js";
import { parseComment, splitTrailingComment } from "./statement-comment.js";
import { type Classification, StatementKind } from "./statement-kind.js";
import { classifyStatement, type StatementFacts } from "./statement-rules.js";
import { mergeStatements } from "./statement-text.js";

const CACHE_LIMITS: CacheLimits = { entries: 4_096, characters: 2 * 1024 * 1024, keyCharacters: 16 * 1024 };

// Parsing takes about 1 ms per 10,000 characters and blocks the event loop.
const MAX_PARSED_CHARACTERS = 256 * 1024;

const NO_COMMENT: Readonly<Record<string, string>> = {};

interface ParsedText {
    readonly valid: boolean;
    readonly classification: Classification;
}

/** Classifies statements with PostgreSQL's own parser. Results are cached by statement text. */
export class Classifier {
    readonly #cache: LruCache<ParsedText>;

    private constructor(limits: CacheLimits) {
        this.#cache = new LruCache(limits);
    }

    /** Creates a classifier; the parser is loaded once per process. */
    static async load(limits: CacheLimits = CACHE_LIMITS): Promise<Classifier> {
        await loadModule();
        return new Classifier(limits);
    }

    /** Classifies the text of a simple query or of a Parse message. Text that cannot be parsed is a write. */
    classify(sql: string): Classification {
        const { statement, comment } = splitTrailingComment(sql);
        const parsed = this.#parse(statement);
        if (comment === "" || !parsed.valid) {
            return parsed.classification;
        }
        return { ...parsed.classification, comment: parseComment(comment) };
    }

    #parse(text: string): ParsedText {
        const cached = this.#cache.get(text);
        if (cached !== undefined) {
            return cached;
        }
        const parsed = parseText(text);
        this.#cache.set(text, parsed);
        return parsed;
    }
}

function parseText(text: string): ParsedText {
    if (text.length > MAX_PARSED_CHARACTERS) {
        // The statement may leave session state on the connection, so the connection is not shared afterwards.
        return {
            valid: false,
            classification: classification({ kind: StatementKind.Write, pins: true }, 1, NO_COMMENT),
        };
    }
    if (text.trim() === "") {
        return { valid: true, classification: classification({ kind: StatementKind.Read }, 0, NO_COMMENT) };
    }
    try {
        const statements = text.includes("\0") ? undefined : parseSync(text).stmts ?? [];
        if (statements !== undefined) {
            const facts = mergeStatements(statements.map(raw => classifyStatement(raw.stmt)));
            return { valid: true, classification: classification(facts, statements.length, commentsOf(text)) };
        }
    }
    catch {
        // The text is forwarded to the primary, which reports the syntax error.
    }
    return { valid: false, classification: classification({ kind: StatementKind.Write }, 1, NO_COMMENT) };
}

function classification(
    facts: StatementFacts,
    statements: number,
    comment: Readonly<Record<string, string>>,
): Classification {
    return {
        kind: facts.kind,
        statements,
        pins: facts.pins === true,
        resets: facts.resets === true,
        readOnly: facts.readOnly === true,
        transactionOnly: facts.transactionOnly === true,
        refusal: facts.refusal,
        comment,
        set: facts.set,
    };
}

/** Reads the comments with the scanner, which distinguishes them from literals; skipped if the text can have none. */
function commentsOf(text: string): Readonly<Record<string, string>> {
    if (!text.includes("/*") && !text.includes("--")) {
        return NO_COMMENT;
    }
    const comments = scanSync(text).tokens.filter(token => token.tokenName.endsWith("_COMMENT"));
    return Object.assign({}, ...comments.map(token => parseComment(token.text))) as Readonly<Record<string, string>>;
}
