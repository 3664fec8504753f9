import type { LoadReport, LogPosition, StatementOrder, StatementOrderResult } from "@medlarledge/statements";

/** Entry host to entry host: run a statement order over a connection of the receiver. */
export interface RelayOrder {
    readonly kind: "relayOrder";
    /** Unique among all orders of all processes, so that a restarted process takes no result of its predecessor's. */
    readonly id: string;
    readonly order: StatementOrder;
}

/** Latest log position that the sender knows of the primary of a group, and the time since it was queried, in ms. */
export interface PrimaryPositionReport {
    readonly position: LogPosition;
    readonly ageMs: number;
}

/** Answer to one `relayOrder`. */
export interface RelayResult {
    readonly kind: "relayResult";
    readonly id: string;
    readonly result: StatementOrderResult;
    readonly leader: PrimaryPositionReport | undefined;
    /** Load of the endpoint at the sender; undefined where hosts do not report it. */
    readonly load: LoadReport | undefined;
}

/** Entry host to entry host: roll back a transaction. */
export interface RelayRollback {
    readonly kind: "relayEnd";
    readonly group: string;
    readonly endpoint: string;
    readonly transaction: string;
}

/** Entry host to entry host: the caller of a session has left; remove its orders that still wait. */
export interface RelayCancellation {
    readonly kind: "relayCancel";
    readonly group: string;
    readonly endpoint: string;
    readonly session: string;
}

export type RelayMessage = RelayOrder | RelayResult | RelayRollback | RelayCancellation;
