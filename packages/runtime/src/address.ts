/** A parsed `IP:PORT`; an IPv6 number stands in brackets in the text form. */
export interface Address {
    readonly host: string;
    readonly port: number;
}

/** Splits an address that the settings schema has checked. */
export function parseAddress(text: string): Address {
    const separator = text.lastIndexOf(":");
    const host = text.slice(0, separator).replace(/^\[(.*)\]$/, "$1");
    return { host, port: Number(text.slice(separator + 1)) };
}
