import { Packr } from "msgpackr";
import { deflateRawSync, inflateRawSync } from "node:zlib";
import { type Message, MESSAGE_IDS, messageKindOf } from "./message-table.js";

/** Version of the protocol between processes. Hosts of different versions refuse the connection at `hello`. */
export const PROTOCOL_VERSION = 1;

/** Maximum size of a message from another process, in bytes. Snapshots are sent in smaller chunks. */
export const MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

/** Room for the fields of a message around a log entry or a configuration, in bytes. */
const MESSAGE_OVERHEAD_BYTES = 64 * 1024;

/** Maximum size of the payload of a log entry, in bytes; a larger one could not be sent to another member. */
export const MAX_LOG_ENTRY_BYTES = MAX_MESSAGE_BYTES - MESSAGE_OVERHEAD_BYTES;

/** Encoded messages of at least this size are compressed for peers that accept it; smaller ones gain little. */
const MIN_COMPRESSED_BYTES = 4 * 1024;

/** The fastest level. A configuration of 280 KB shrinks to about a tenth at each level. */
const COMPRESSION_LEVEL = 1;

/** First byte of a compressed message; MessagePack never uses it. */
const COMPRESSED_MARK = 0xc1;

export type DecodeError =
    | { readonly kind: "tooLarge"; readonly bytes: number; }
    | { readonly kind: "malformed"; readonly reason: string; }
    | { readonly kind: "unknownMessage"; readonly id: number; };

export type DecodeResult =
    | { readonly ok: true; readonly message: Message; }
    | { readonly ok: false; readonly error: DecodeError; };

// Without msgpackr's records, since their shared structure table would bind a message to one connection.
const packr = new Packr({ useRecords: false, moreTypes: false, mapsAsObjects: true, encodeUndefinedAsNil: false });

/** Encodes a message as a pair of its message id and its fields. */
export function encodeMessage(message: Message): Uint8Array {
    const { kind, ...fields } = message;
    return packr.pack([MESSAGE_IDS[kind], fields]);
}

/** Compresses an encoded message for a peer that accepts it. Returns the same bytes if the message is small. */
export function compressMessage(encoded: Uint8Array): Uint8Array {
    if (encoded.byteLength < MIN_COMPRESSED_BYTES) {
        return encoded;
    }
    const compressed = deflateRawSync(encoded, { level: COMPRESSION_LEVEL });
    return Buffer.concat([Buffer.of(COMPRESSED_MARK), compressed]);
}

/** Decodes a message of another process. Returns an error for invalid bytes and never throws. */
export function decodeMessage(bytes: Uint8Array): DecodeResult {
    if (bytes.byteLength > MAX_MESSAGE_BYTES) {
        return { ok: false, error: { kind: "tooLarge", bytes: bytes.byteLength } };
    }
    let value: unknown;
    try {
        const encoded = bytes[0] === COMPRESSED_MARK
            ? inflateRawSync(bytes.subarray(1), { maxOutputLength: MAX_MESSAGE_BYTES })
            : bytes;
        value = packr.unpack(encoded);
    }
    catch (error) {
        return { ok: false, error: { kind: "malformed", reason: error instanceof Error ? error.message : "unpack" } };
    }
    return fromParts(value);
}

function fromParts(value: unknown): DecodeResult {
    if (!Array.isArray(value) || value.length !== 2 || typeof value[0] !== "number" || !isFields(value[1])) {
        return { ok: false, error: { kind: "malformed", reason: "not a [number, fields] pair" } };
    }
    const kind = messageKindOf(value[0]);
    if (kind === undefined) {
        return { ok: false, error: { kind: "unknownMessage", id: value[0] } };
    }
    return { ok: true, message: { ...value[1], kind } as Message };
}

function isFields(value: unknown): value is Record<string, unknown> {
    return typeof value === "object" && value !== null && !Array.isArray(value) && !(value instanceof Uint8Array);
}
