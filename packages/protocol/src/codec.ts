import { Packr } from "msgpackr";
import { type Message, MESSAGE_IDS, messageKindOf } from "./message-table.js";

/** Version of the protocol between processes; hosts of different versions refuse each other at `hello`. */
export const PROTOCOL_VERSION = 1;

/** Largest message accepted from another process, in bytes. Snapshots travel in smaller pieces. */
export const MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

export type DecodeError =
    | { readonly kind: "tooLarge"; readonly bytes: number; }
    | { readonly kind: "malformed"; readonly reason: string; }
    | { readonly kind: "unknownMessage"; readonly id: number; };

export type DecodeResult =
    | { readonly ok: true; readonly message: Message; }
    | { readonly ok: false; readonly error: DecodeError; };

// Records are off: a shared structure table would tie a message to the connection that it was sent on.
const packr = new Packr({ useRecords: false, moreTypes: false, mapsAsObjects: true, encodeUndefinedAsNil: false });

/** Encodes a message as its number followed by its fields. */
export function encodeMessage(message: Message): Uint8Array {
    const { kind, ...fields } = message;
    return packr.pack([MESSAGE_IDS[kind], fields]);
}

/** Decodes a message of another process. Bytes that cannot be decoded are an error value, never an exception. */
export function decodeMessage(bytes: Uint8Array): DecodeResult {
    if (bytes.byteLength > MAX_MESSAGE_BYTES) {
        return { ok: false, error: { kind: "tooLarge", bytes: bytes.byteLength } };
    }
    let value: unknown;
    try {
        value = packr.unpack(bytes);
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
