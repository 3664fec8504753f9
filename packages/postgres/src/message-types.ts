/** Type codes of messages that a caller sends. */
export const FrontendType = {
    Bind: 0x42,
    Close: 0x43,
    CopyData: 0x64,
    CopyDone: 0x63,
    CopyFail: 0x66,
    Describe: 0x44,
    Execute: 0x45,
    Flush: 0x48,
    FunctionCall: 0x46,
    Parse: 0x50,
    Password: 0x70,
    Query: 0x51,
    Sync: 0x53,
    Terminate: 0x58,
} as const;
export type FrontendType = (typeof FrontendType)[keyof typeof FrontendType];

/** Type codes of messages that an endpoint sends. */
export const BackendType = {
    Authentication: 0x52,
    BackendKeyData: 0x4b,
    BindComplete: 0x32,
    CloseComplete: 0x33,
    CommandComplete: 0x43,
    CopyBothResponse: 0x57,
    CopyData: 0x64,
    CopyDone: 0x63,
    CopyInResponse: 0x47,
    CopyOutResponse: 0x48,
    DataRow: 0x44,
    EmptyQueryResponse: 0x49,
    ErrorResponse: 0x45,
    FunctionCallResponse: 0x56,
    NegotiateProtocolVersion: 0x76,
    NoData: 0x6e,
    NoticeResponse: 0x4e,
    NotificationResponse: 0x41,
    ParameterDescription: 0x74,
    ParameterStatus: 0x53,
    ParseComplete: 0x31,
    PortalSuspended: 0x73,
    ReadyForQuery: 0x5a,
    RowDescription: 0x54,
} as const;
export type BackendType = (typeof BackendType)[keyof typeof BackendType];

/** Codes in the place of a protocol version in the first packet of a connection. */
export const StartupCode = {
    Cancel: 80877102,
    Encryption: 80877103,
    GssEncryption: 80877104,
    Version3: 196608,
} as const;

/** Status in ReadyForQuery: idle, in a transaction, in a failed transaction. */
export type TransactionStatus = "I" | "T" | "E";
