/** A process of the system. */
export interface Host {
    readonly id: string;
    /** Drawn anew at every process start, so that a restarted process is told apart from the former one. */
    readonly incarnation: string;
    readonly dataCentre: string;
    /** Address of the listener for other processes, as `host:port`. */
    readonly peerAddress: string;
    /** Address of the HTTP listener, as `host:port`. */
    readonly httpAddress: string;
    /** Address of the listener for callers, as `host:port`. */
    readonly callerAddress: string;
    readonly control: boolean;
}
