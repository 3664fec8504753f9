function code(letter: string): number {
    return letter.charCodeAt(0);
}

/** Types of messages from a caller. */
export const FromCaller = {
    Bind: code("B"),
    Close: code("C"),
    CopyData: code("d"),
    CopyDone: code("c"),
    CopyFail: code("f"),
    Describe: code("D"),
    Execute: code("E"),
    Flush: code("H"),
    FunctionCall: code("F"),
    Parse: code("P"),
    Query: code("Q"),
    Sync: code("S"),
    Terminate: code("X"),
} as const;

/** Types of messages from an endpoint. */
export const FromEndpoint = {
    BindComplete: code("2"),
    CloseComplete: code("3"),
    CommandComplete: code("C"),
    CopyInResponse: code("G"),
    DataRow: code("D"),
    EmptyQueryResponse: code("I"),
    ErrorResponse: code("E"),
    NoData: code("n"),
    NotificationResponse: code("A"),
    ParameterStatus: code("S"),
    ParseComplete: code("1"),
    PortalSuspended: code("s"),
    ReadyForQuery: code("Z"),
    RowDescription: code("T"),
} as const;

/** Transaction status bytes of ReadyForQuery. */
export const TransactionStatus = { Idle: code("I"), InTransaction: code("T"), Failed: code("E") } as const;
