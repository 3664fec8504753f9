import type { StatementOrder } from "@medlarledge/statements";
import { isWrite } from "./session-state.js";

type OrderKind = Pick<StatementOrder, "opening" | "statement">;

/** Returns true for an order that changes data when it succeeds. */
export function changesData({ opening, statement }: OrderKind): boolean {
    return statement.kind === "commit" ? statement.wrote : opening.kind === "bare" && isWrite(statement);
}

/** Returns true for a read outside of a transaction that any endpoint may run. */
export function isPlainRead(order: OrderKind): boolean {
    return order.opening.kind === "bare" && !changesData(order);
}

/** Returns true for an order that only the primary may run: it changes data, or it proves the freshness of a read. */
export function requiresPrimary(order: OrderKind): boolean {
    const { opening } = order;
    return opening.kind === "proven" || (opening.kind === "transaction" && !opening.readOnly) || changesData(order);
}
