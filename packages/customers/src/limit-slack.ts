import type { OperationLimit } from "./customer.js";

/** How exactly a deployment's limits must be kept. */
export interface LimitAccuracy {
    /** In no sliding window of this length may a customer run more operations than `operationBound`. */
    readonly windowMs: number;
    /** Part of the operations of a window by which they may be exceeded. */
    readonly overrunShare: number;
    /** Operations by which they may be exceeded besides. */
    readonly slackOperations: number;
}

/**
 * Division of the slack of a window. Tokens of the ledgers of two successive leaders and the hosts' own tokens may be
 * unspent at the same time, so two of the first part, and one of each other part, make less than the whole. The rate
 * gets the largest part: what a customer asks within the slack is not refused, since a refusal near the limit costs
 * its callers more than the exceeded limit costs others.
 */
const LEDGER_SHARE = 0.2;
const OWN_SHARE = 0.1;
const BURST_SHARE = 0.1;
const RATE_SHARE = 0.35;

/** Operations that a window may exceed the limit by. */
function slack({ perSecond, burst }: OperationLimit, accuracy: LimitAccuracy): number {
    const allowed = perSecond * accuracy.windowMs / 1_000 + burst;
    return allowed * accuracy.overrunShare + accuracy.slackOperations;
}

/** Maximum number of operations of a customer in a window. */
export function operationBound(limit: OperationLimit, accuracy: LimitAccuracy): number {
    return limit.perSecond * accuracy.windowMs / 1_000 + limit.burst + slack(limit, accuracy);
}

/** Maximum number of tokens of one ledger that hosts hold unspent. */
export function ledgerCap(limit: OperationLimit, accuracy: LimitAccuracy): number {
    return slack(limit, accuracy) * LEDGER_SHARE;
}

/** Maximum number of unspent tokens that all hosts together have created themselves. */
export function ownCap(limit: OperationLimit, accuracy: LimitAccuracy): number {
    return slack(limit, accuracy) * OWN_SHARE;
}

/** Maximum number of tokens that a ledger may grant at once after a pause. */
export function ledgerBurst(limit: OperationLimit, accuracy: LimitAccuracy): number {
    return limit.burst + slack(limit, accuracy) * BURST_SHARE;
}

/** Operations a second that a ledger may grant in the long run. */
export function ledgerRate(limit: OperationLimit, accuracy: LimitAccuracy): number {
    return limit.perSecond + slack(limit, accuracy) * RATE_SHARE / (accuracy.windowMs / 1_000);
}
