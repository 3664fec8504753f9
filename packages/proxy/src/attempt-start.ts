import type { Position } from "@medlarledge/protocol";
import type { PoolConnection } from "./pool-connection.js";
import type { Request } from "./request-assembly.js";
import type { RequestPlan } from "./request-plan.js";

/** What an attempt reports. Each call but `callerFull` ends the attempt. */
export interface AttemptListener {
    /** The position in front is below the floor. The rest of the answer is still to come on the connection. */
    freshnessCheckFailed(position: Position | undefined): void;
    /** The whole answer is there; a write's position is still to be asked elsewhere when `position` is undefined. */
    answered(position: Position | undefined): void;
    lost(reason: string): void;
    /** A commit's answer is larger than what may be held. */
    heldResponseTooLarge(): void;
    callerBufferFull(): void;
    /** The connection takes bytes again. */
    drained(): void;
}

export interface AttemptStart {
    readonly connection: PoolConnection;
    readonly request: Request;
    readonly plan: RequestPlan;
    /** Position query of the endpoint's role. */
    readonly positionQuery: Uint8Array;
    /** Position that the query in front must reach, if one is to be sent. */
    readonly requiredPosition: Position | undefined;
}
