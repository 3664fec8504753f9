import { READING_SQL } from "@medlarledge/postgres";
import type { Position } from "@medlarledge/protocol";
import { parsePosition } from "@medlarledge/protocol";

const HEADER_BYTES = 5;

function message(type: string, body: Uint8Array): Buffer {
    const bytes = Buffer.allocUnsafe(HEADER_BYTES + body.length);
    bytes[0] = type.charCodeAt(0);
    bytes.writeUInt32BE(4 + body.length, 1);
    bytes.set(body, HEADER_BYTES);
    return bytes;
}

export function query(sql: string): Buffer {
    return message("Q", Buffer.from(`${sql}\0`));
}

/** `body` is the part of a Parse message after the name: the text and the parameter types. */
export function parse(name: string, body: Uint8Array): Buffer {
    return message("P", Buffer.concat([Buffer.from(`${name}\0`), body]));
}

export function closeStatement(name: string): Buffer {
    return message("C", Buffer.from(`S${name}\0`));
}

export function errorResponse(code: string, text: string, severity = "ERROR"): Buffer {
    return message("E", Buffer.from(`S${severity}\0V${severity}\0C${code}\0M${text}\0\0`));
}

export function readyForQuery(status: number): Buffer {
    return message("Z", Uint8Array.of(status));
}

export function parameterStatus(name: string, value: string): Buffer {
    return message("S", Buffer.from(`${name}\0${value}\0`));
}

export function commandComplete(tag: string): Buffer {
    return message("C", Buffer.from(`${tag}\0`));
}

export function parseComplete(): Buffer {
    return message("1", Buffer.alloc(0));
}

export function bindComplete(): Buffer {
    return message("2", Buffer.alloc(0));
}

export function closeComplete(): Buffer {
    return message("3", Buffer.alloc(0));
}

export function noData(): Buffer {
    return message("n", Buffer.alloc(0));
}

export function noParameters(): Buffer {
    return message("t", Buffer.alloc(2));
}

/** Describes rows of one column of type text. */
export function rowDescription(column: string): Buffer {
    const name = Buffer.from(`${column}\0`);
    const rest = Buffer.alloc(18);
    const TEXT_OID = 25;
    rest.writeUInt32BE(TEXT_OID, 6);
    rest.writeInt16BE(-1, 10);
    rest.writeInt32BE(-1, 12);
    return message("T", Buffer.concat([Uint8Array.of(0, 1), name, rest]));
}

export function dataRow(value: string): Buffer {
    const text = Buffer.from(value);
    const head = Buffer.alloc(6);
    head.writeInt16BE(1, 0);
    head.writeInt32BE(text.length, 2);
    return message("D", Buffer.concat([head, text]));
}

export const sync = message("S", Buffer.alloc(0));
export const flush = message("H", Buffer.alloc(0));
export const rollback = query("ROLLBACK");
export const discardAll = query("DISCARD ALL");
export const primaryPosition = query("SELECT pg_current_wal_insert_lsn()");
export const replicaPosition = query("SELECT pg_last_wal_replay_lsn()");

/** Queries role, timeline, position and system identifier in one row. */
export const endpointProbe = query(READING_SQL);

/** The text of a column of a DataRow, or undefined when it is NULL or missing. */
export function columnOf(row: Uint8Array, column: number): string | undefined {
    const bytes = asBuffer(row);
    if (bytes.length < HEADER_BYTES + 2 || bytes.readInt16BE(HEADER_BYTES) <= column) {
        return undefined;
    }
    let at = HEADER_BYTES + 2;
    for (let index = 0; at + 4 <= bytes.length; index++) {
        const length = bytes.readInt32BE(at);
        const end = at + 4 + Math.max(0, length);
        if (index === column) {
            return length < 0 || end > bytes.length ? undefined : bytes.toString("latin1", at + 4, end);
        }
        at = end;
    }
    return undefined;
}

/** Reads the position from a DataRow whose first column is a pg_lsn in text form. */
export function positionOf(row: Uint8Array): Position | undefined {
    const text = columnOf(row, 0);
    return text === undefined ? undefined : parsePosition(text);
}

/** The result of a position query or an endpoint probe; only a probe returns more than the position. */
export interface PositionQueryResult {
    readonly position: Position;
    readonly timeline: number | undefined;
    readonly inRecovery: boolean | undefined;
    readonly systemIdentifier: string | undefined;
}

export function positionQueryResultOf(row: Uint8Array): PositionQueryResult | undefined {
    const position = positionOf(row);
    return position === undefined
        ? undefined
        : { position, timeline: undefined, inRecovery: undefined, systemIdentifier: undefined };
}

/** Reads the DataRow of the response to `endpointProbe`. */
export function endpointProbeOf(row: Uint8Array): PositionQueryResult | undefined {
    const [inRecovery, timeline, text, systemIdentifier] = [0, 1, 2, 3].map(column => columnOf(row, column));
    const position = text === undefined ? undefined : parsePosition(text);
    return position === undefined
        ? undefined
        : { position, timeline: Number(timeline), inRecovery: inRecovery === "t", systemIdentifier };
}

/** Reads the zero-terminated text at `start`, or the rest of the message if there is no terminator. */
export function textAt(bytes: Uint8Array, start: number): string {
    const end = bytes.indexOf(0, start);
    return asBuffer(bytes).toString("utf8", start, end < 0 ? bytes.length : end);
}

/** Replaces the zero-terminated name at `start` of a message and corrects its length. */
export function replaceName(bytes: Uint8Array, start: number, name: string): Buffer {
    const terminator = bytes.indexOf(0, start);
    const end = terminator < 0 ? bytes.length : terminator;
    const text = Buffer.from(name);
    const changed = Buffer.allocUnsafe(bytes.length - (end - start) + text.length);
    changed.set(bytes.subarray(0, start), 0);
    changed.set(text, start);
    changed.set(bytes.subarray(end), start + text.length);
    changed.writeUInt32BE(changed.length - 1, 1);
    return changed;
}

/** The SQLSTATE of an ErrorResponse, or an empty text. */
export function errorCode(bytes: Uint8Array): string {
    let at = HEADER_BYTES;
    while (at < bytes.length && bytes[at] !== 0) {
        const end = bytes.indexOf(0, at);
        if (end < 0) {
            return "";
        }
        if (bytes[at] === 0x43) {
            return textAt(bytes, at + 1);
        }
        at = end + 1;
    }
    return "";
}

function asBuffer(bytes: Uint8Array): Buffer {
    return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
}
