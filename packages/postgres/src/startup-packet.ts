import { StartupCode } from "./message-types.js";

/** PostgreSQL's own limit of a first packet (MAX_STARTUP_PACKET_LENGTH). */
export const MAX_STARTUP_BYTES = 10_000;

export type StartupPacket =
    | { readonly kind: "startup"; readonly bytes: Buffer; readonly parameters: ReadonlyMap<string, string>; }
    | { readonly kind: "cancel"; readonly processId: number; readonly secretKey: number; }
    | { readonly kind: "encryption"; }
    | { readonly kind: "gssEncryption"; }
    | { readonly kind: "malformed"; readonly reason: string; };

/** Reads the first packet of a connection, and returns undefined while it is not complete. */
export function readStartupPacket(
    received: Buffer,
): { readonly packet: StartupPacket; readonly size: number; } | undefined {
    if (received.length < 4) {
        return undefined;
    }
    const size = received.readInt32BE(0);
    if (size < 8 || size > MAX_STARTUP_BYTES) {
        return { packet: { kind: "malformed", reason: `first packet has impossible length ${size}` }, size: 0 };
    }
    if (received.length < size) {
        return undefined;
    }
    return { packet: decode(received.subarray(0, size)), size };
}

function decode(bytes: Buffer): StartupPacket {
    const code = bytes.readInt32BE(4);
    if (code === StartupCode.Cancel) {
        return bytes.length === 16
            ? { kind: "cancel", processId: bytes.readInt32BE(8), secretKey: bytes.readInt32BE(12) }
            : { kind: "malformed", reason: `cancel request of ${bytes.length} bytes` };
    }
    if (code === StartupCode.Encryption || code === StartupCode.GssEncryption) {
        const kind = code === StartupCode.Encryption ? "encryption" : "gssEncryption";
        return bytes.length === 8
            ? { kind }
            : { kind: "malformed", reason: `${kind} request of ${bytes.length} bytes` };
    }
    if (code >> 16 !== 3) {
        return { kind: "malformed", reason: `unsupported protocol version ${code >>> 16}.${code & 0xffff}` };
    }
    const parameters = readParameters(bytes);
    return parameters === undefined
        ? { kind: "malformed", reason: "start-up parameters are not terminated" }
        : { kind: "startup", bytes, parameters };
}

/** Reads the pairs of names and values, which end with an empty name at the last byte. */
function readParameters(bytes: Buffer): ReadonlyMap<string, string> | undefined {
    const parameters = new Map<string, string>();
    let offset = 8;
    while (offset < bytes.length - 1) {
        const nameEnd = bytes.indexOf(0, offset);
        const valueEnd = nameEnd <= offset ? -1 : bytes.indexOf(0, nameEnd + 1);
        if (valueEnd < 0) {
            return undefined;
        }
        parameters.set(bytes.toString("utf8", offset, nameEnd), bytes.toString("utf8", nameEnd + 1, valueEnd));
        offset = valueEnd + 1;
    }
    return offset === bytes.length - 1 && bytes[offset] === 0 ? parameters : undefined;
}

/** Start-up parameters that are not settings. */
const IDENTITY = new Set(["user", "database", "options", "replication"]);

/**
 * Collects the settings of a start-up: plain parameters, and those within `options` (`-c name=value`,
 * `-cname=value` or `--name=value`). Names are in lower case; a plain parameter wins over `options`.
 */
export function startupSettings(parameters: ReadonlyMap<string, string>): ReadonlyMap<string, string> {
    const settings = new Map<string, string>();
    const words = splitOptions(parameters.get("options") ?? "");
    for (let index = 0; index < words.length; index++) {
        const word = words[index] ?? "";
        const text = word === "-c" ? words[++index] ?? "" : word.replace(/^(-c|--)/, "");
        const equals = text.indexOf("=");
        if (equals > 0 && (word.startsWith("-c") || word.startsWith("--"))) {
            settings.set(text.slice(0, equals).replaceAll("-", "_").toLowerCase(), text.slice(equals + 1));
        }
    }
    for (const [name, value] of parameters) {
        if (!IDENTITY.has(name)) {
            settings.set(name.toLowerCase(), value);
        }
    }
    return settings;
}

/** Splits at white space; a backslash keeps the next character as it is, as in PostgreSQL's pg_split_opts. */
function splitOptions(text: string): readonly string[] {
    const words: string[] = [];
    for (const match of text.matchAll(/(?:\\[\s\S]|[^\s\\])+/g)) {
        words.push(match[0].replace(/\\([\s\S])/g, "$1"));
    }
    return words;
}
