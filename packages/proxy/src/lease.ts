import type { Term } from "@medlarledge/protocol";
import type { PoolConnection } from "./pool-connection.js";
import type { Pool } from "./pool.js";

/** A connection that a request or a caller uses, and where it goes back to. */
export interface Lease {
    readonly connection: PoolConnection;
    readonly pool: Pool;
    /** The term in which it was taken. What runs on it belongs to that term, however long the caller keeps it. */
    readonly term: Term;
}
