export {
    CustomerDirectory,
    type CustomerKeys,
    digestKey,
    findSharedKeys,
    type KeyDigest,
} from "./customer-directory.js";
export type { Customer, OperationLimit } from "./customer.js";
export { type FreshnessQuestion, KeyLease } from "./key-lease.js";
export { ledgerCap, type LimitAccuracy, operationBound, ownCap } from "./limit-slack.js";
export { type Admission, AdmissionCause, type OwnPart, TokenHolder } from "./token-holder.js";
export { type LedgerView, type TokenHost, TokenLedger } from "./token-ledger.js";
export { LEADER_CONTACT_MS } from "./token-timing.js";
