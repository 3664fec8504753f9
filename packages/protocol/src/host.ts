/** A process of the system. */
export interface Host {
    readonly id: string;
    /** Random id of the process, drawn at every start, to distinguish a restarted process from the former one. */
    readonly incarnation: string;
    readonly dataCentre: string;
    /** Address of the listener for other hosts, as `host:port`. */
    readonly peerAddress: string;
    /** Address of the HTTP listener, as `host:port`. */
    readonly httpAddress: string;
    /** Address of the listener for callers, as `host:port`. */
    readonly callerAddress: string;
    /** True for a control host. */
    readonly control: boolean;
}

/** What other hosts need to know of a host to choose among hosts. It stays the same when the process restarts. */
export type HostPlacement = Pick<Host, "id" | "dataCentre">;
