import type { CommandAnswer, EndpointCommand } from "./endpoint-command.js";
import type { LogPosition } from "./log-position.js";

/** Where an endpoint listens and who must answer there. */
export interface EndpointAddress {
    readonly id: string;
    readonly group: string;
    readonly host: string;
    readonly port: number;
}

export interface ConnectionHandler {
    /** Answers come in the order of the commands. */
    answered(answer: CommandAnswer): void;
    /** Called once, also after an answer that cannot be read. */
    closed(reason: string): void;
}

/** An open connection to an endpoint. */
export interface EndpointConnection {
    setHandler(handler: ConnectionHandler): void;
    /** Sends the commands in one packet. */
    send(commands: readonly EndpointCommand[]): void;
    /** Ends the connection; the handler hears nothing more. What runs on it is rolled back by the endpoint. */
    close(): void;
}

export type ConnectFailure =
    /** Nobody listens, or the network reports the endpoint as unreachable. */
    | { readonly kind: "refused"; readonly reason: string; }
    /** The network carried no answer. */
    | { readonly kind: "timeout"; }
    /** The endpoint can be reached, but did not take up the connection in time: it is busy. */
    | { readonly kind: "unresponsive"; }
    /** The endpoint's connections are used up. */
    | { readonly kind: "tooMany"; }
    /** Another endpoint or group answered. */
    | { readonly kind: "misrouted"; }
    | { readonly kind: "malformed"; readonly reason: string; };

export type ConnectResult =
    | { readonly ok: true; readonly connection: EndpointConnection; readonly position: LogPosition | undefined; }
    | { readonly ok: false; readonly failure: ConnectFailure; };

export interface EndpointConnector {
    /** @param timeoutMs longest time until the connection can be used */
    connect(address: EndpointAddress, timeoutMs: number): Promise<ConnectResult>;
}
