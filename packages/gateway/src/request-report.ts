import type { Customer } from "@medlarledge/customers";
import { type Answer, type CallerRequest, ErrorCode } from "@medlarledge/statements";
import { type AnsweredRequest, Failure, type GatewayListener } from "./gateway-event.js";
import type { Group } from "./group.js";
import type { Route } from "./route.js";

/** The answer to a request and how it came about. */
export interface Outcome {
    readonly answer: Answer;
    /** Endpoint of the last attempt. */
    readonly endpoint: string | undefined;
    readonly attempts: number;
    /** Time during which no endpoint could be chosen, in ms. */
    readonly waitedMs: number;
    /** Why the request failed; undefined on success. */
    readonly cause: string | undefined;
}

/** Kind of failure by error code. Codes that are missing mean that the request has not run. */
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
    readonly customer: Customer | undefined;
    readonly transaction: string | undefined;
    readonly latencyMs: number;
    readonly configuration: number;
}

/** Reports the outcome of a request to the listener. */
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
    const { request, route, customer, transaction, latencyMs, configuration } = reported;
    return {
        requestId: request.id,
        database: route.database,
        group: route.group,
        customer: customer?.name,
        statement: request.statement.kind,
        endpoint,
        transaction,
        latencyMs,
        waitedMs,
        attempts,
        configuration,
    };
}
