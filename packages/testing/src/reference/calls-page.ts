import { buildRoutes, type RouteSource } from "../../../daemon/src/http-routes.js";
import { code, markdownTable } from "./markdown.js";

const MEANINGS: Readonly<Record<string, string>> = {
    "GET /healthz": "200 while the process runs.",
    "GET /readyz": "200 when callers may be sent here, else 503; `reason` says why.",
    "POST /v1/endpoints": "Announces an endpoint; see [endpoints.md](../operators/endpoints.md).",
    "POST /v1/endpoints/leave": "Says that an endpoint leaves.",
    "POST /v1/configuration": "Proposes a configuration: `number`, `digest`, `operator`, `files`.",
    "GET /v1/status": "`host`: this host; `cluster`: everything that the leader knows, with the problems.",
    "GET /v1/history": "Terms begun and configurations accepted, oldest first.",
    "GET /v1/burn": "The service-level report; `?format=` `json`, `text` or `html`.",
};

const ACCESS = {
    open: "everybody",
    signed: "signature of the body with `announceKey` in `x-medlarledge-signature`",
    operator: "`Authorization: Bearer` with `operatorToken`, when one is set",
} as const;

/** The calls over HTTP that every host answers. */
export function callsPage(): string {
    // The routes are only listed here; no handler is called.
    const routes = buildRoutes({} as RouteSource);
    const rows = Object.entries(routes).map(([name, { access }]) => {
        const meaning = MEANINGS[name];
        if (meaning === undefined) {
            throw new Error(`the call ${name} has no description`);
        }
        return [code(name), ACCESS[access], meaning];
    });
    const answers = [
        ["200", "done; for a configuration: accepted, now or earlier"],
        ["400", "the body is not JSON, or the format is unknown"],
        ["401", "the signature or the token does not match"],
        ["404", "there is no such call"],
        ["409", "the leader refused the request; the body says why"],
        ["413", "the body is larger than 16 MiB"],
        ["500", "a failure that no handler expected"],
        ["503", "no leader answered within 5 s, or the host is not ready"],
    ];
    return [
        markdownTable(["call", "open to", "meaning"], rows),
        "## Answers",
        markdownTable(["status", "meaning"], answers),
    ].join("\n\n");
}
