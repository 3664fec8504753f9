export {
    CustomerDirectory,
    type CustomerKeys,
    digestKey,
    findSharedKeys,
    type KeyDigest,
} from "./customer-directory.js";
export type { Customer, OperationLimit } from "./customer.js";
export { type FreshnessQuestion, KeyLease } from "./key-lease.js";
