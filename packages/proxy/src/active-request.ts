import type { DatabaseContext } from "./database-context.js";
import type { Outcome, RequestClass } from "./ports.js";
import { Outcome as Outcomes, StatementKind } from "./ports.js";
import type { Request } from "./request-assembly.js";
import { causeOf } from "./request-failure.js";
import type { RequestFailure } from "./request-failure.js";
import type { RequestPlan } from "./request-plan.js";

/** What is known of the request that a caller runs now. */
export class ActiveRequest {
    readonly request: Request;
    readonly requestClass: RequestClass;
    /** The caller kept its connection from earlier requests. */
    readonly usesReservedConnection: boolean;
    plan: RequestPlan;
    retries = 0;
    /** No proof of freshness failed. */
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

    /** Running it twice does no harm. Whether part of its answer was sent is for the caller of this to check. */
    get repeatable(): boolean {
        if (this.usesReservedConnection || this.request.started) {
            return false;
        }
        return this.plan.kind === StatementKind.Read || !this.plan.executes || this.requestClass.repeatable;
    }

    /** The position behind its answer raises the session's floor. */
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
