const PAIR = /([A-Za-z0-9_.%-]+)\s*=\s*'((?:[^'\\]|\\.)*)'/g;

/** A statement text and the block comment at its end; the comment is empty when there is none. */
export interface SplitText {
    readonly statement: string;
    readonly comment: string;
}

/**
 * Splits off a block comment at the end, so that texts that differ only in a trace id share a cache entry.
 * With no earlier comment in the text, the last two characters can only end a comment or an unterminated literal, and
 * text with the latter cannot be parsed with or without them.
 */
export function splitTrailingComment(sql: string): SplitText {
    const text = sql.trimEnd();
    const start = text.endsWith("*/") ? text.indexOf("/*") : -1;
    if (start < 0 || text.indexOf("*/", start + 2) !== text.length - 2) {
        return { statement: sql, comment: "" };
    }
    const statement = text.slice(0, start);
    return statement.includes("--") || text.indexOf("/*", start + 2) >= 0
        ? { statement: sql, comment: "" }
        : { statement, comment: text.slice(start) };
}

/** Parses the URL-encoded `key='value'` pairs of a comment in sqlcommenter format. */
export function parseComment(comment: string): Readonly<Record<string, string>> {
    const pairs: Record<string, string> = Object.create(null) as Record<string, string>;
    for (const [, key = "", value = ""] of comment.matchAll(PAIR)) {
        pairs[decode(key)] = decode(value.replace(/\\(.)/g, "$1"));
    }
    return pairs;
}

function decode(text: string): string {
    try {
        return decodeURIComponent(text);
    }
    catch {
        return text;
    }
}
