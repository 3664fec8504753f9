export type { Answer, Completion, TransactionState } from "./answer.js";
export { errorAnswer as failed, TransactionStates } from "./answer.js";
export type { Acceptance, Caller, CallerHandler, CallerRequest } from "./caller.js";
export type { CommandAnswer, EndpointCommand, EndpointStatus } from "./endpoint-command.js";
export type {
    ConnectFailure,
    ConnectionHandler,
    ConnectResult as Connected,
    EndpointAddress,
    EndpointConnection,
    EndpointConnector,
} from "./endpoint-connection.js";
export { ErrorCode, guaranteesNoEffect as isPromise, isEndpointFault } from "./error-code.js";
export type { LogPosition } from "./log-position.js";
export { compareLogPositions, laterLogPosition } from "./log-position.js";
export type {
    OrderedStatement,
    StatementOrder as Order,
    StatementOrderResult as OrderResult,
    TransactionContext as Opening,
} from "./statement-order.js";
export { NotRunReason, UnknownReason } from "./statement-order.js";
export type { ForwardedStatement, Statement } from "./statement.js";
