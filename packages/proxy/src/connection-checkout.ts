import type { Term } from "@medlarledge/protocol";
import { TransactionStatus } from "./message-type.js";
import type { PoolConnection } from "./pool-connection.js";
import type { Pool } from "./pool.js";
import type { EndpointConnector } from "./ports.js";
import type { RequestFailure } from "./request-failure.js";
import { failures } from "./request-failure.js";
import type { RequestPlan } from "./request-plan.js";

/** A pool connection in use by a request or reserved by a caller, and the pool that it must be returned to. */
export interface ConnectionCheckout {
    readonly connection: PoolConnection;
    readonly pool: Pool;
    /**
     * The term at checkout. All statements on the connection belong to this term, however long the caller reserves it.
     */
    readonly term: Term;
}

/** Time for a write to finish after its caller disconnected. */
const ABANDONED_WRITE_TIMEOUT_MS = 5_000;

export function hasOpenTransaction(checkout: ConnectionCheckout): boolean {
    return checkout.connection.status !== TransactionStatus.Idle;
}

/**
 * Returns why a reserved connection cannot run the caller's next request, or undefined when it can. COMMIT was not
 * sent, so an open transaction is rolled back.
 */
export function refusalForReserved(
    reserved: ConnectionCheckout,
    term: Term | undefined,
    expired: boolean,
    plan: RequestPlan,
): RequestFailure | undefined {
    if (reserved.term === term && !expired) {
        return undefined;
    }
    const reason = reserved.term === term ? "the deadline passed" : "the primary changed";
    return hasOpenTransaction(reserved)
        ? failures.rolledBack(reason, TransactionStatus.Failed)
        : failures.notRun(reason, plan);
}

/**
 * Returns the connection of a request whose caller disconnected. A complete write outside a transaction runs to its
 * end; everything else is cancelled.
 */
export function returnAfterDisconnect(checkout: ConnectionCheckout, mayFinish: boolean): void {
    const { connection, pool } = checkout;
    if (connection.outstandingResponses > 0 && !mayFinish) {
        pool.cancelAndClose(connection);
    }
    else if (connection.isReusable) {
        pool.release(connection);
    }
    else {
        pool.discard(connection, true, ABANDONED_WRITE_TIMEOUT_MS);
    }
}

/** Sends a cancel request for the statement that runs on the connection. */
export function cancelStatement(checkout: ConnectionCheckout, connector: EndpointConnector): void {
    const { endpoint, processId, secretKey } = checkout.connection.wire;
    // The cancel request may arrive late and would then stop another caller's statement: do not reuse the connection.
    checkout.connection.mustClose = true;
    connector.cancel(endpoint, processId, secretKey).catch(() => undefined);
}
