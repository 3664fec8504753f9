import type { Position } from "@medlarledge/protocol";
import type { PoolConnection } from "./pool-connection.js";
import type { Request } from "./request-assembler.js";
import type { RequestPlan } from "./request-plan.js";

/** Receives the results of an attempt. Each call except `callerBufferFull` and `drained` ends the attempt. */
export interface AttemptListener {
    /**
     * The endpoint's position is below the required one. The rest of the response is still pending on the connection.
     */
    freshnessCheckFailed(position: Position | undefined): void;
    /**
     * The response is complete. When `position` is undefined after a write, the position must be read over another
     * connection.
     */
    answered(position: Position | undefined): void;
    lost(reason: string): void;
    /** The response to a commit is larger than the limit for held responses. */
    heldResponseTooLarge(): void;
    callerBufferFull(): void;
    /** The connection's socket buffer drained. */
    drained(): void;
}

export interface AttemptStart {
    readonly connection: PoolConnection;
    readonly request: Request;
    readonly plan: RequestPlan;
    /** Position query that matches the endpoint's role. */
    readonly positionQuery: Uint8Array;
    /** Position that a query before the request must return at least, or undefined when none is needed. */
    readonly requiredPosition: Position | undefined;
}
