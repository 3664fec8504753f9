const PAIR = /([A-Za-z0-9_.%-]+)\s*=\s*'((?:[^'\\]|\\.)*)'/g;

/** A text split before a comment at its end. */
export interface SplitText {
    readonly statement: string;
    readonly comment: string;
}

/**
 * Takes off a block comment at the end, so that texts that differ only in a trace number share a cache entry.
 * With no earlier comment in the text, the last two characters can only end a comment or an unterminated literal, and
 * the latter does not parse with or without them.
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

/** Reads the `key='value'` pairs of one comment, URL-decoded, as sqlcommenter writes them. */
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
