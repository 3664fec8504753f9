import type { ConfigurationChange } from "@medlarledge/protocol";
import type { LeaderAnswer } from "@medlarledge/runtime";
import { type BurnReport, renderBurnPage, renderBurnText } from "@medlarledge/telemetry";
import type { EntryTask } from "./entry-task.js";
import type { HttpAnswer, HttpRoute } from "./http-server.js";

/** How long an operator's or an endpoint's call may wait for the leader. */
const LEADER_TIMEOUT_MS = 5_000;

const PAGE_TYPE = "text/html; charset=utf-8";
const TEXT_TYPE = "text/plain; charset=utf-8";

export interface RouteSource {
    readonly entry: EntryTask;
    readonly readiness: () => { readonly ready: boolean; readonly reason: string; };
    readonly localStatus: () => unknown;
    /** The burn report of this host's own copy of the counts; undefined on a host without one. */
    readonly burn: () => BurnReport | undefined;
    /** A new endpoint, or a new state of one, was accepted. */
    readonly announced: (endpoint: string) => void;
    readonly configurationAnswered: (change: ConfigurationChange, answer: unknown) => void;
}

type BurnRenderer = (report: BurnReport) => HttpAnswer;

const BURN_FORMATS: Readonly<Record<string, BurnRenderer>> = {
    json: report => ({ status: 200, body: report }),
    text: report => ({ status: 200, body: renderBurnText(report), type: TEXT_TYPE }),
    html: report => ({ status: 200, body: renderBurnPage(report), type: PAGE_TYPE }),
};

/** The calls of the platform, of endpoints and of operators. */
export function buildRoutes(source: RouteSource): Readonly<Record<string, HttpRoute>> {
    const { entry } = source;
    const forward = async (name: string, body: unknown): Promise<HttpAnswer> =>
        toAnswer(await entry.request(name, body, LEADER_TIMEOUT_MS));
    return {
        "GET /healthz": { access: "open", handle: () => ({ status: 200, body: { healthy: true } }) },
        "GET /readyz": {
            access: "open",
            handle: () => {
                const readiness = source.readiness();
                return { status: readiness.ready ? 200 : 503, body: readiness };
            },
        },
        "POST /v1/endpoints": {
            access: "signed",
            handle: async body => {
                const answer = await forward("announce", body);
                // Endpoints announce themselves every few seconds; only what changed is worth a log line.
                if ((answer.body as { readonly outcome?: unknown; }).outcome === "accepted") {
                    source.announced((body as { readonly id: string; }).id);
                }
                return answer;
            },
        },
        "POST /v1/endpoints/leave": { access: "signed", handle: body => forward("leave", body) },
        "POST /v1/configuration": {
            access: "operator",
            handle: async body => {
                const answer = await forward("apply", body);
                source.configurationAnswered(body as ConfigurationChange, answer.body);
                return answer;
            },
        },
        "GET /v1/status": {
            access: "operator",
            handle: async () => {
                const answer = await forward("status", undefined);
                return { status: answer.status, body: { host: source.localStatus(), cluster: answer.body } };
            },
        },
        "GET /v1/history": { access: "operator", handle: () => forward("history", undefined) },
        "GET /v1/burn": { access: "operator", handle: (_body, query) => burnAnswer(source, query.get("format")) },
    };
}

async function burnAnswer(source: RouteSource, format: string | null): Promise<HttpAnswer> {
    const render = BURN_FORMATS[format ?? "json"];
    if (render === undefined) {
        return { status: 400, body: { error: "format must be json, text or html" } };
    }
    const local = source.burn();
    if (local !== undefined) {
        return render(local);
    }
    const answer = await source.entry.request("burn", undefined, LEADER_TIMEOUT_MS);
    return answer.kind === "answered" && answer.ok ? render(answer.body as BurnReport) : toAnswer(answer);
}

function toAnswer(answer: LeaderAnswer): HttpAnswer {
    if (answer.kind === "unavailable") {
        return { status: 503, body: { error: answer.reason } };
    }
    return { status: answer.ok ? 200 : 409, body: answer.body ?? {} };
}
