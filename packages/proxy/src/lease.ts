import type { Term } from "@medlarledge/protocol";
import type { Failure } from "./failure.js";
import { failures } from "./failure.js";
import { TransactionStatus } from "./message-type.js";
import type { PoolConnection } from "./pool-connection.js";
import type { Pool } from "./pool.js";
import type { EndpointConnector } from "./ports.js";
import type { RequestPlan } from "./request-plan.js";

/** A connection that a request or a caller uses, and where it goes back to. */
export interface Lease {
    readonly connection: PoolConnection;
    readonly pool: Pool;
    /** The term in which it was taken. What runs on it belongs to that term, however long the caller keeps it. */
    readonly term: Term;
}

/** Time that a write gets to end after its caller left. */
const ABANDONED_WRITE_MS = 5_000;

export function hasOpenTransaction(lease: Lease): boolean {
    return lease.connection.status !== TransactionStatus.Idle;
}

/**
 * Why a kept connection cannot take the caller's next request, if it cannot. COMMIT was not sent, so an open
 * transaction ends without effect.
 */
export function refusalOfKept(
    kept: Lease,
    term: Term | undefined,
    expired: boolean,
    plan: RequestPlan,
): Failure | undefined {
    if (kept.term === term && !expired) {
        return undefined;
    }
    const reason = kept.term === term ? "the deadline passed" : "the primary changed";
    return hasOpenTransaction(kept)
        ? failures.rolledBack(reason, TransactionStatus.Failed)
        : failures.notRun(reason, plan);
}

/**
 * Gives back the connection of a request whose caller left. A complete write outside a transaction runs to its end;
 * everything else is stopped.
 */
export function abandon(lease: Lease, mayEnd: boolean): void {
    const { connection, pool } = lease;
    if (connection.outstanding > 0 && !mayEnd) {
        pool.cancelAndClose(connection);
    }
    else if (connection.clean) {
        pool.release(connection);
    }
    else {
        pool.discard(connection, true, ABANDONED_WRITE_MS);
    }
}

/** Asks the endpoint to stop the statement that runs on the connection. */
export function cancelStatement(lease: Lease, connector: EndpointConnector): void {
    const { endpoint, processId, secretKey } = lease.connection.wire;
    // The request may arrive late: nobody else may use the connection after it.
    lease.connection.unfit = true;
    connector.cancel(endpoint, processId, secretKey).catch(() => undefined);
}
