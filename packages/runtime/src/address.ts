/** A parsed `IP:PORT`. In the text form an IPv6 address is in brackets. */
export interface Address {
    readonly host: string;
    readonly port: number;
}

/** Parses an address that the settings schema has validated. */
export function parseAddress(text: string): Address {
    const separator = text.lastIndexOf(":");
    const host = text.slice(0, separator).replace(/^\[(.*)\]$/, "$1");
    return { host, port: Number(text.slice(separator + 1)) };
}
