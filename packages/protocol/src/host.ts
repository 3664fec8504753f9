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

/** Returns true when a value has the fields of a host, as another process must send them in its greeting. */
export function isHost(value: unknown): value is Host {
    if (typeof value !== "object" || value === null) {
        return false;
    }
    const { id, incarnation, dataCentre, peerAddress, httpAddress, callerAddress, control } = value as Readonly<
        Partial<Record<keyof Host, unknown>>
    >;
    const texts = [id, incarnation, dataCentre, peerAddress, httpAddress, callerAddress];
    return texts.every(text => typeof text === "string") && typeof control === "boolean";
}

/** What other hosts need to know of a host to choose among hosts. It stays the same when the process restarts. */
export type HostPlacement = Pick<Host, "id" | "dataCentre">;
