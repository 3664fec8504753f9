export type { Answer, Completion, TransactionState } from "./answer.js";
export { errorAnswer, TransactionStates } from "./answer.js";
export type { Acceptance, Caller, CallerHandler, CallerRequest } from "./caller.js";
export type { CommandAnswer, EndpointCommand, EndpointStatus } from "./endpoint-command.js";
export type {
    ConnectFailure,
    ConnectionHandler,
    ConnectResult,
    EndpointAddress,
    EndpointConnection,
    EndpointConnector,
} from "./endpoint-connection.js";
export { ErrorCode, guaranteesNoEffect, isEndpointFault } from "./error-code.js";
export type { LoadReport } from "./load-report.js";
export type { LogPosition } from "./log-position.js";
export { compareLogPositions, laterLogPosition } from "./log-position.js";
export type { OrderedStatement, StatementOrder, StatementOrderResult, TransactionContext } from "./statement-order.js";
export { NotRunReason, UnknownReason } from "./statement-order.js";
export type { ForwardedStatement, Statement } from "./statement.js";
