/** Outcomes other than success, of endpoints and of this proxy alike. */
export const ErrorCode = {
    /** Too much load; not run. */
    Busy: "busy",
    /** The log has not reached the position asked for; not run. */
    Lagging: "lagging",
    /** The endpoint does not lead its group; not run. */
    ReadOnly: "readOnly",
    /** Another endpoint or group answers at this address; not run. */
    Misrouted: "misrouted",
    /** The endpoint's connections are used up; not run. */
    TooManyConnections: "tooManyConnections",
    /** The transaction was rolled back; nothing of it is kept. */
    Aborted: "aborted",
    /** The connection does not know the prepared statement; not run. */
    UnknownStatement: "unknownStatement",
    /** Ran and failed. */
    Failed: "failed",
    /** Ran for too long; what it did is not known. */
    Timeout: "timeout",
    /** Sent, and no answer came: whether it ran is not known. */
    Unknown: "unknown",
    /** No configuration names the database. */
    UnknownDatabase: "unknownDatabase",
    NotAuthorized: "notAuthorized",
    /** The message is larger than the limit. */
    TooLarge: "tooLarge",
    /** The statement cannot be understood, or not in this state. */
    Malformed: "malformed",
} as const;
export type ErrorCode = (typeof ErrorCode)[keyof typeof ErrorCode];

const NO_EFFECT_CODES: ReadonlySet<ErrorCode> = new Set([
    ErrorCode.Busy,
    ErrorCode.Lagging,
    ErrorCode.ReadOnly,
    ErrorCode.Misrouted,
    ErrorCode.TooManyConnections,
    ErrorCode.Aborted,
]);

/** True for codes that tell a caller that nothing of its request, or of the transaction around it, is kept. */
export function guaranteesNoEffect(code: ErrorCode): boolean {
    return NO_EFFECT_CODES.has(code);
}

const ENDPOINT_FAULT_CODES: ReadonlySet<ErrorCode> = new Set([ErrorCode.Failed, ErrorCode.Timeout]);

/** True for codes by which an endpoint says that it ran a statement and failed: another one may succeed. */
export function isEndpointFault(code: ErrorCode): boolean {
    return ENDPOINT_FAULT_CODES.has(code);
}
