export type { CallerConnection, CallerHandler } from "./caller-connection.js";
export { type Authenticate, START_PARAMETERS } from "./caller-gateway.js";
export {
    CallerListener,
    type CallerListenerOptions,
    DEFAULT_HANDSHAKE_MS,
    DEFAULT_MAX_MESSAGE_BYTES,
    type ListenError,
    type ProtocolFault,
} from "./caller-listener.js";
export type {
    Connected,
    Credentials,
    EndpointConnection,
    EndpointConnector,
    EndpointError,
    EndpointHandler,
} from "./endpoint-connection.js";
export { fenceEndpoint, promoteEndpoint, readEndpoint, READING_SQL, START_SQL } from "./endpoint-control.js";
export { connectionString, followPrimary } from "./follow-primary.js";
export { describeFrameError, type Frame, type FrameError, FrameReader, HEADER_BYTES } from "./frame-reader.js";
export { findFrontendFault } from "./frontend-check.js";
export type { Column, Severity } from "./message-builders.js";
export { BackendType, FrontendType, StartupCode, type TransactionStatus } from "./message-types.js";
export { messages } from "./messages.js";
export { PostgresConnector } from "./postgres-connector.js";
export { type QueryResult, type Row, ShortConnection } from "./short-connection.js";
export { readStartupPacket, type StartupPacket, startupSettings } from "./startup-packet.js";
