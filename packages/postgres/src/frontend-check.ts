import { type Frame, HEADER_BYTES } from "./frame-reader.js";
import { FrontendType } from "./message-types.js";

/** Offset behind the next zero-terminated text, or -1. */
function afterText(bytes: Buffer, offset: number): number {
    return offset < 0 ? -1 : bytes.indexOf(0, offset) + 1 || -1;
}

/** Offset behind a counted list whose items have a fixed size, or -1. */
function afterList(bytes: Buffer, offset: number, itemBytes: number): number {
    if (offset < 0 || offset + 2 > bytes.length) {
        return -1;
    }
    const next = offset + 2 + bytes.readUInt16BE(offset) * itemBytes;
    return next > bytes.length ? -1 : next;
}

/** Offset behind a counted list of values with a length each, or -1. */
function afterValues(bytes: Buffer, offset: number): number {
    if (offset < 0 || offset + 2 > bytes.length) {
        return -1;
    }
    let next = offset + 2;
    for (let left = bytes.readUInt16BE(offset); left > 0; left--) {
        if (next + 4 > bytes.length) {
            return -1;
        }
        const length = bytes.readInt32BE(next);
        next += 4 + (length === -1 ? 0 : length);
        if (length < -1 || next > bytes.length) {
            return -1;
        }
    }
    return next;
}

const isEmpty = (bytes: Buffer): number => bytes.length === HEADER_BYTES ? HEADER_BYTES : -1;
const oneText = (bytes: Buffer): number => afterText(bytes, HEADER_BYTES);
const anything = (bytes: Buffer): number => bytes.length;

function target(bytes: Buffer): number {
    const kind = bytes[HEADER_BYTES];
    return kind === 0x53 || kind === 0x50 ? afterText(bytes, HEADER_BYTES + 1) : -1;
}

function bind(bytes: Buffer): number {
    const names = afterText(bytes, afterText(bytes, HEADER_BYTES));
    const formats = afterList(bytes, names, 2);
    return afterList(bytes, afterValues(bytes, formats), 2);
}

function parse(bytes: Buffer): number {
    return afterList(bytes, afterText(bytes, afterText(bytes, HEADER_BYTES)), 4);
}

function execute(bytes: Buffer): number {
    const next = afterText(bytes, HEADER_BYTES);
    return next < 0 ? -1 : next + 4;
}

/** For each type that a started caller may send: where a well-formed body ends, or -1. */
const BODY_ENDS: ReadonlyMap<number, (bytes: Buffer) => number> = new Map([
    [FrontendType.Query, oneText],
    [FrontendType.Parse, parse],
    [FrontendType.Bind, bind],
    [FrontendType.Describe, target],
    [FrontendType.Close, target],
    [FrontendType.Execute, execute],
    [FrontendType.Sync, isEmpty],
    [FrontendType.Flush, isEmpty],
    [FrontendType.Terminate, isEmpty],
    [FrontendType.CopyData, anything],
    [FrontendType.CopyDone, isEmpty],
    [FrontendType.CopyFail, oneText],
    [FrontendType.FunctionCall, anything],
]);

/** Returns what is wrong with a message of a started caller, or undefined. */
export function findFrontendFault(frame: Frame): string | undefined {
    const bodyEnd = BODY_ENDS.get(frame.type);
    if (bodyEnd === undefined) {
        return `unknown message type 0x${frame.type.toString(16).padStart(2, "0")}`;
    }
    if (bodyEnd(frame.bytes) !== frame.bytes.length) {
        return `malformed message ${String.fromCharCode(frame.type)} of ${frame.bytes.length} bytes`;
    }
    return undefined;
}
