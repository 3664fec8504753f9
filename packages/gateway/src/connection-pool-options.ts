import type { Clock } from "@medlarledge/runtime";
import type { ConnectFailure, EndpointAddress, EndpointConnector, StatementOrder } from "@medlarledge/statements";
import type { PooledConnection } from "./pooled-connection.js";

/** What the pool needs to know of an order that requests a connection. */
export interface ConnectionRequest
    extends
        Pick<StatementOrder, "priority" | "patienceMs" | "timeoutMs" | "values" | "customer">,
        Partial<Pick<StatementOrder, "session" | "weight" | "targetMs">>
{
    /** A probe runs no caller's statement, so it may use any customer's connection. */
    readonly isProbe?: boolean;
}

/** Why a connection is opened. */
export const OpeningCause = {
    /** Ahead of the first order. */
    WarmUp: "warmUp",
    /** Orders wait, and the limit is not reached. */
    Growth: "growth",
    /** Orders wait, and another customer's connection was closed for it. */
    Replacement: "replacement",
} as const;
export type OpeningCause = (typeof OpeningCause)[keyof typeof OpeningCause];

export interface Opening {
    readonly cause: OpeningCause;
    /** Whether the connection belongs to a customer or to the proxy itself. */
    readonly owner: "customer" | "proxy";
}

export interface ConnectionPoolEvents {
    opening(opening: Opening): void;
    answered(): void;
    connected(): void;
    /** An attempt that began at `startedAt` failed. */
    connectFailed(failure: ConnectFailure, startedAt: number): void;
    /** A connection was closed by the endpoint, the network or this process. */
    closed(connection: PooledConnection, reason: string): void;
    /** The number of waiting orders or of usable connections may have changed. */
    demandChanged(): void;
}

export interface ConnectionPoolOptions {
    readonly address: EndpointAddress;
    readonly connector: EndpointConnector;
    readonly clock: Clock;
    /** Maximum number of connections that this process may have. */
    readonly limit: () => number;
    /** Average time that the endpoint takes for an order, in ms. */
    readonly averageMs: () => number;
    /** Time after which the answer to an order is overdue, in ms. */
    readonly overdueMs: () => number;
    /** Whether the connection is reserved for a caller's transaction. */
    readonly isReserved: (connection: PooledConnection) => boolean;
    readonly events: ConnectionPoolEvents;
}
