import { ErrorCode, NotRunReason } from "@medlarledge/statements";

/** What a caller is told of an order that did not run, by its reason. */
export const NOT_RUN_CODES: Readonly<Record<NotRunReason, ErrorCode>> = {
    [NotRunReason.Busy]: ErrorCode.Busy,
    [NotRunReason.Lagging]: ErrorCode.Lagging,
    [NotRunReason.NotPrimary]: ErrorCode.ReadOnly,
    [NotRunReason.Misrouted]: ErrorCode.Misrouted,
    [NotRunReason.NoConnection]: ErrorCode.Busy,
    [NotRunReason.Unreachable]: ErrorCode.Busy,
    [NotRunReason.TransactionLost]: ErrorCode.Aborted,
};
