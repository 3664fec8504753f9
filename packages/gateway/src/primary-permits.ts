/** Decides which endpoints this process may use as primaries. */
export interface PrimaryPermits {
    /** Returns true when a statement that only the primary may run can be sent to an endpoint now. */
    mayUse(group: string, endpoint: string): boolean;
    /** Returns true when an endpoint's answer to such a statement may be passed on now. */
    mayAcknowledge(group: string, endpoint: string): boolean;
    /** Returns true when another endpoint was ordered to be the primary. */
    isSuperseded(group: string, endpoint: string): boolean;
    /** Returns true when no answer of the endpoint to such a statement will be passed on any more. */
    isEnded(group: string, endpoint: string): boolean;
    /** Counts such a statement as outstanding until `ended` is called. */
    started(group: string): void;
    ended(group: string): void;
}

/** Permits where endpoints themselves refuse what only the primary may run. */
export const UNRESTRICTED_PERMITS: PrimaryPermits = {
    mayUse: () => true,
    mayAcknowledge: () => true,
    isSuperseded: () => false,
    isEnded: () => false,
    started: () => undefined,
    ended: () => undefined,
};
