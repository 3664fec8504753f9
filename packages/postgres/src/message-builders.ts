import { serialize } from "pg-protocol";
import { Writer } from "pg-protocol/dist/buffer-writer.js";
import { BackendType, StartupCode, type TransactionStatus } from "./message-types.js";

const writer = new Writer();

export type Severity = "ERROR" | "FATAL" | "WARNING" | "NOTICE" | "INFO";

/** Builds an ErrorResponse. */
export function errorResponse(
    sqlstate: string,
    message: string,
    severity: Severity = "ERROR",
    detail?: string,
    hint?: string,
): Buffer {
    return report(BackendType.ErrorResponse, sqlstate, message, severity, detail, hint);
}

/** Builds a NoticeResponse. */
export function noticeResponse(sqlstate: string, message: string, severity: Severity = "NOTICE"): Buffer {
    return report(BackendType.NoticeResponse, sqlstate, message, severity, undefined, undefined);
}

function report(
    type: number,
    sqlstate: string,
    message: string,
    severity: Severity,
    detail: string | undefined,
    hint: string | undefined,
): Buffer {
    writer.addString("S").addCString(severity).addString("V").addCString(severity);
    writer.addString("C").addCString(sqlstate).addString("M").addCString(withoutNul(message));
    if (detail !== undefined) {
        writer.addString("D").addCString(withoutNul(detail));
    }
    if (hint !== undefined) {
        writer.addString("H").addCString(withoutNul(hint));
    }
    return writer.addCString("").flush(type);
}

/** A zero byte would end the field early and leave the rest to be read as another field. */
function withoutNul(text: string): string {
    return text.includes("\0") ? text.replaceAll("\0", "") : text;
}

const READY: Readonly<Record<TransactionStatus, Buffer>> = {
    I: Buffer.from([BackendType.ReadyForQuery, 0, 0, 0, 5, 0x49]),
    T: Buffer.from([BackendType.ReadyForQuery, 0, 0, 0, 5, 0x54]),
    E: Buffer.from([BackendType.ReadyForQuery, 0, 0, 0, 5, 0x45]),
};

/** Returns the shared ReadyForQuery message of a status; do not write to it. */
export function readyForQuery(status: TransactionStatus): Buffer {
    return READY[status];
}

export function parameterStatus(name: string, value: string): Buffer {
    return writer.addCString(name).addCString(value).flush(BackendType.ParameterStatus);
}

export function backendKeyData(processId: number, secretKey: number): Buffer {
    return writer.addInt32(processId).addInt32(secretKey).flush(BackendType.BackendKeyData);
}

export function commandComplete(tag: string): Buffer {
    return writer.addCString(tag).flush(BackendType.CommandComplete);
}

/** Builds an Authentication message with its sub-code and data. */
export function authentication(code: number, data: Buffer = Buffer.alloc(0)): Buffer {
    return writer.addInt32(code).add(data).flush(BackendType.Authentication);
}

export interface Column {
    readonly name: string;
    /** Object identifier of the type, 25 for text. */
    readonly typeId: number;
}

/** Builds a RowDescription whose columns are all in text format. */
export function rowDescription(columns: readonly Column[]): Buffer {
    writer.addInt16(columns.length);
    for (const column of columns) {
        writer.addCString(column.name).addInt32(0).addInt16(0).addInt32(column.typeId);
        writer.addInt16(-1).addInt32(-1).addInt16(0);
    }
    return writer.flush(BackendType.RowDescription);
}

/** Builds a DataRow of text values; undefined is NULL. */
export function dataRow(values: readonly (string | undefined)[]): Buffer {
    writer.addInt16(values.length);
    for (const value of values) {
        if (value === undefined) {
            writer.addInt32(-1);
        }
        else {
            writer.addInt32PrefixedString(value);
        }
    }
    return writer.flush(BackendType.DataRow);
}

export function parameterDescription(typeIds: readonly number[]): Buffer {
    writer.addInt16(typeIds.length);
    for (const typeId of typeIds) {
        writer.addInt32(typeId);
    }
    return writer.flush(BackendType.ParameterDescription);
}

/** Builds a message that has no body, such as ParseComplete. */
export function emptyMessage(type: number): Buffer {
    return Buffer.from([type, 0, 0, 0, 4]);
}

export function query(sql: string): Buffer {
    return serialize.query(sql);
}

export function parse(name: string, sql: string, parameterTypes: readonly number[] = []): Buffer {
    return serialize.parse({ name, text: sql, types: [...parameterTypes] });
}

const SYNC = Buffer.from(serialize.sync());
const TERMINATE = Buffer.from(serialize.end());

/** Returns the shared Sync message; do not write to it. */
export function sync(): Buffer {
    return SYNC;
}

/** Returns the shared Terminate message; do not write to it. */
export function terminate(): Buffer {
    return TERMINATE;
}

/** Builds the first packet of a connection that asks to cancel another one's statement. */
export function cancelRequest(processId: number, secretKey: number): Buffer {
    const bytes = Buffer.alloc(16);
    bytes.writeInt32BE(16, 0);
    bytes.writeInt32BE(StartupCode.Cancel, 4);
    bytes.writeInt32BE(processId, 8);
    bytes.writeInt32BE(secretKey, 12);
    return bytes;
}
