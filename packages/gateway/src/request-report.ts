import { type Answer, type CallerRequest, ErrorCode } from "@medlarledge/statements";
import { type AnsweredRequest, Failure, type GatewayListener } from "./gateway-event.js";
import type { Group } from "./group.js";
import type { Route } from "./route.js";

/** How a request was answered. */
export interface Outcome {
    readonly answer: Answer;
    /** Where the statement ran or was last tried. */
    readonly endpoint: string | undefined;
    readonly attempts: number;
    /** Time in which no endpoint could be chosen, in ms. */
    readonly waitedMs: number;
    /** Why there is no success. */
    readonly cause: string | undefined;
}

/** What the code of an answer says about the request; codes that are missing say that it has not run. */
const FAILURE_BY_CODE: Partial<Record<ErrorCode, Failure>> = {
    [ErrorCode.Unknown]: Failure.Unknown,
    [ErrorCode.Timeout]: Failure.Unknown,
    [ErrorCode.Failed]: Failure.Failed,
    [ErrorCode.Malformed]: Failure.Failed,
    [ErrorCode.TooLarge]: Failure.Failed,
    [ErrorCode.UnknownStatement]: Failure.Failed,
};

export interface ReportedRequest {
    readonly request: CallerRequest;
    readonly route: Route;
    readonly group: Group;
    readonly transaction: string | undefined;
    readonly latencyMs: number;
    readonly configuration: number;
}

/** Reports how a request was answered. */
export function reportOutcome(listener: GatewayListener, reported: ReportedRequest, outcome: Outcome): void {
    const { route, group } = reported;
    const { completion } = outcome.answer;
    const request = toAnsweredRequest(reported, outcome);
    if (completion.kind === "done") {
        const onPrimary = outcome.endpoint === group.primary();
        listener({ kind: "served", request, onPrimary, targetMs: route.targetMs });
        return;
    }
    const { code } = completion;
    listener({
        kind: "notServed",
        failure: FAILURE_BY_CODE[code] ?? Failure.Refused,
        request,
        code,
        cause: outcome.cause ?? code,
        condition: group.condition(),
    });
}

function toAnsweredRequest(reported: ReportedRequest, { endpoint, attempts, waitedMs }: Outcome): AnsweredRequest {
    const { request, route, transaction, latencyMs, configuration } = reported;
    return {
        requestId: request.id,
        database: route.database,
        group: route.group,
        statement: request.statement.kind,
        endpoint,
        transaction,
        latencyMs,
        waitedMs,
        attempts,
        configuration,
    };
}
