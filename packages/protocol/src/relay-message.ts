import type { LogPosition, StatementOrder, StatementOrderResult } from "@medlarledge/statements";

/** Entry host to entry host: run this order over a connection of yours. */
export interface RelayOrder {
    readonly kind: "relayOrder";
    readonly id: number;
    readonly order: StatementOrder;
}

/** What the sender knows of the leader of a group: its position, and how long ago that was asked for. */
export interface PrimaryPositionReport {
    readonly position: LogPosition;
    readonly ageMs: number;
}

/** Answer to one relayed order. */
export interface RelayResult {
    readonly kind: "relayResult";
    readonly id: number;
    readonly result: StatementOrderResult;
    readonly leader: PrimaryPositionReport | undefined;
}

/** Entry host to entry host: roll this transaction back. */
export interface RelayRollback {
    readonly kind: "relayEnd";
    readonly group: string;
    readonly endpoint: string;
    readonly transaction: string;
}

export type RelayMessage = RelayOrder | RelayResult | RelayRollback;
