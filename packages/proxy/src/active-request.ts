import type { DatabaseContext } from "./database-context.js";
import type { Outcome, RequestClass } from "./ports.js";
import { Outcome as Outcomes, StatementKind } from "./ports.js";
import type { Request } from "./request-assembler.js";
import { causeOf } from "./request-failure.js";
import type { RequestFailure } from "./request-failure.js";
import type { RequestPlan } from "./request-plan.js";

/** The request that a caller currently runs, with its progress. */
export class ActiveRequest {
    readonly request: Request;
    readonly requestClass: RequestClass;
    /** The request runs on a connection that the caller reserved in an earlier request. */
    readonly usesReservedConnection: boolean;
    plan: RequestPlan;
    retries = 0;
    /** No freshness check failed. */
    fresh = true;
    replica = false;
    sentAt = 0;

    constructor(request: Request, plan: RequestPlan, requestClass: RequestClass, usesReservedConnection: boolean) {
        this.request = request;
        this.plan = plan;
        this.requestClass = requestClass;
        this.usesReservedConnection = usesReservedConnection;
    }

    get deadlineAt(): number {
        return this.request.arrivedAt + this.requestClass.deadlineMs;
    }

    /** The request may safely run twice. Does not cover whether part of its response was already sent. */
    get repeatable(): boolean {
        if (this.usesReservedConnection || this.request.isStarted) {
            return false;
        }
        return this.plan.kind === StatementKind.Read || !this.plan.executes || this.requestClass.repeatable;
    }

    /** The position read after its response raises the session's read floor. */
    get raisesReadFloor(): boolean {
        return this.plan.kind === StatementKind.Read && this.plan.executes && this.plan.allowsTrailingQuery;
    }

    record(database: DatabaseContext, outcome: Outcome, failure: RequestFailure | undefined): void {
        const { clock, events } = database.environment;
        const { name, worth, deadlineMs } = this.requestClass;
        const latencyMs = clock() - this.request.arrivedAt;
        const done = outcome === Outcomes.Done;
        events.served({
            database: database.name,
            className: name,
            worth,
            read: this.plan.kind === StatementKind.Read && this.plan.executes,
            outcome,
            cause: failure === undefined ? undefined : causeOf(failure),
            latencyMs,
            replica: done && this.replica,
            deadlineMet: done && latencyMs <= deadlineMs,
            fresh: this.fresh,
            retries: this.retries,
        });
    }
}
