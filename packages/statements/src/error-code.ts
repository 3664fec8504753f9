/** Error outcomes of a statement, reported by endpoints or by this proxy. */
export const ErrorCode = {
    /** Refused because of load; not run. */
    Busy: "busy",
    /** The endpoint's log has not reached the required position; not run. */
    Lagging: "lagging",
    /** The endpoint is not the primary of its group; not run. */
    ReadOnly: "readOnly",
    /** Another endpoint or group answers at this address; not run. */
    Misrouted: "misrouted",
    /** The endpoint's connection limit is reached; not run. */
    TooManyConnections: "tooManyConnections",
    /** The transaction was rolled back; it has no effect. */
    Aborted: "aborted",
    /** The prepared statement does not exist on the connection; not run. */
    UnknownStatement: "unknownStatement",
    /** Ran and failed. */
    Failed: "failed",
    /** Exceeded the time limit; its effect is unknown. */
    Timeout: "timeout",
    /** Sent without an answer: whether it ran is unknown. */
    Unknown: "unknown",
    /** No configuration names the database. */
    UnknownDatabase: "unknownDatabase",
    NotAuthorized: "notAuthorized",
    /** The message is larger than the limit. */
    TooLarge: "tooLarge",
    /** The statement cannot be parsed or is not valid in the present transaction state. */
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

/** True for codes that guarantee that neither the request nor the transaction around it has any effect. */
export function guaranteesNoEffect(code: ErrorCode): boolean {
    return NO_EFFECT_CODES.has(code);
}

const ENDPOINT_FAULT_CODES: ReadonlySet<ErrorCode> = new Set([ErrorCode.Failed, ErrorCode.Timeout]);

/** True for codes of a statement that ran on the endpoint and failed there; another endpoint may succeed. */
export function isEndpointFault(code: ErrorCode): boolean {
    return ENDPOINT_FAULT_CODES.has(code);
}
