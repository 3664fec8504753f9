import { ErrorCode, NotRunReason } from "@medlarledge/statements";

/** Error codes for callers when an order did not run, by reason. */
export const NOT_RUN_CODES: Readonly<Record<NotRunReason, ErrorCode>> = {
    [NotRunReason.Busy]: ErrorCode.Busy,
    [NotRunReason.Lagging]: ErrorCode.Lagging,
    [NotRunReason.NotPrimary]: ErrorCode.ReadOnly,
    [NotRunReason.Misrouted]: ErrorCode.Misrouted,
    [NotRunReason.NoConnection]: ErrorCode.Busy,
    [NotRunReason.Unreachable]: ErrorCode.Busy,
    [NotRunReason.Leaving]: ErrorCode.Busy,
    [NotRunReason.NoLease]: ErrorCode.Busy,
    [NotRunReason.TransactionLost]: ErrorCode.Aborted,
};
