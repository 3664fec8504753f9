import { ErrorCode } from "../../../proxy/src/request-failure.js";
import { code, markdownTable } from "./markdown.js";
import type { SourceFile } from "./source-files.js";

const MEANINGS: Readonly<Record<keyof typeof ErrorCode, string>> = {
    NotRun: "The request was not run; it may be sent again.",
    OutcomeUnknown: "The request may have been run; it is not repeated.",
    StateLost: "Not run; writes that the session had seen were lost in a failover. Told once for each loss.",
    CannotBePooled: "Not run; the statement cannot be pooled.",
    TokenRefused: "The session token is malformed, forged, or of another database.",
    RolledBack: "The transaction was rolled back as a whole; it may be run again.",
    InFailedTransaction: "A statement after an error in a transaction; it was not run.",
    AdminShutdown: "The entry host is shutting down; connect to another one.",
    ConnectionFailure: "The connection to the endpoint failed.",
};

/** A call that answers with a literal code and text. */
const LITERAL = /(?:errorResponse|refuse)\(\s*(?:\w+,\s*)?"([0-9A-Z]{5})",\s*(?:"([^"]*)"|`([^`]*)`)/g;

/** SQLSTATEs of the answers that the proxy gives itself. */
export function sqlstatePage(sources: readonly SourceFile[]): string {
    const names = Object.keys(ErrorCode) as readonly (keyof typeof ErrorCode)[];
    const literals = new Map(
        sources.flatMap(({ text }) =>
            [...text.matchAll(LITERAL)].map(([, sqlstate = "", plain, template]) => {
                const message = (plain ?? template ?? "").replace(/\$\{[^}]*\}/g, "...");
                return [`${sqlstate} ${message}`, [code(sqlstate), message]] as const;
            })
        ),
    );
    const outcomes = names.map(name => [code(ErrorCode[name]), name, MEANINGS[name]]);
    return [
        "## Outcomes of requests",
        markdownTable(["SQLSTATE", "name", "meaning"], outcomes),
        "## Refused connections and protocol errors",
        markdownTable(
            ["SQLSTATE", "text"],
            [...literals].sort(([left], [right]) => left < right ? -1 : 1).map(([, row]) => row),
        ),
        "A user that the folder does not have, or a wrong password, is answered with `28P01`. Errors of an endpoint are "
        + "passed on as they are.",
    ].join("\n\n");
}
