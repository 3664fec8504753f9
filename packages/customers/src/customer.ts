/** A customer of the deployment: the owner of keys, connections and a limit of operations. */
export interface Customer {
    readonly name: string;
    /** Part of scarce room relative to other customers; above 0. */
    readonly weight: number;
    /** Limit over all hosts; undefined when none is stated. */
    readonly limit: OperationLimit | undefined;
}

/** Limit of a customer's operations, over all hosts together. */
export interface OperationLimit {
    /** Operations a second that are allowed in the long run. */
    readonly perSecond: number;
    /** Operations that are allowed at once after a pause. */
    readonly burst: number;
}
