import type { CommandAnswer, EndpointCommand } from "./endpoint-command.js";
import type { LogPosition } from "./log-position.js";

/** Address of an endpoint, with the id and group that must answer there. */
export interface EndpointAddress {
    readonly id: string;
    readonly group: string;
    readonly host: string;
    readonly port: number;
}

/** Receives the events of an endpoint connection. */
export interface ConnectionHandler {
    /** Answers arrive in the order of the commands. */
    answered(answer: CommandAnswer): void;
    /** Called once when the connection ends, also because of an answer that cannot be parsed. */
    closed(reason: string): void;
}

/** An open connection to an endpoint. */
export interface EndpointConnection {
    setHandler(handler: ConnectionHandler): void;
    /** Sends the commands in one packet. */
    send(commands: readonly EndpointCommand[]): void;
    /** Ends the connection without further calls of the handler. The endpoint rolls back statements running on it. */
    close(): void;
}

/** Why a connection could not be opened. */
export type ConnectFailure =
    /** No process listens at the address, or the network reports the endpoint as unreachable. */
    | { readonly kind: "refused"; readonly reason: string; }
    /** No answer arrived over the network. */
    | { readonly kind: "timeout"; }
    /** The endpoint is reachable, but too busy to complete the connection setup in time. */
    | { readonly kind: "unresponsive"; }
    /** The endpoint's connection limit is reached. */
    | { readonly kind: "tooMany"; }
    /** Another endpoint or group answered. */
    | { readonly kind: "misrouted"; }
    | { readonly kind: "malformed"; readonly reason: string; };

export type ConnectResult =
    | { readonly ok: true; readonly connection: EndpointConnection; readonly position: LogPosition | undefined; }
    | { readonly ok: false; readonly failure: ConnectFailure; };

/** Opens connections to endpoints. */
export interface EndpointConnector {
    /**
     * Opens a connection. Never rejects; every failure is a result, also that of an address which cannot be used.
     * @param customer in whose name the connection is opened; undefined for the proxy itself
     * @param timeoutMs maximum time until the connection is ready for use
     */
    connect(address: EndpointAddress, customer: string | undefined, timeoutMs: number): Promise<ConnectResult>;
}
