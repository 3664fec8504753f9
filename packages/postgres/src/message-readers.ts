import { type Frame, HEADER_BYTES } from "./frame-reader.js";
import { BackendType, FrontendType, type TransactionStatus } from "./message-types.js";

const STATEMENT = 0x53;
const PORTAL = 0x50;

/** Text up to the next zero byte and the offset behind it; undefined when there is none. */
function textAt(bytes: Buffer, offset: number): { readonly text: string; readonly next: number; } | undefined {
    const end = bytes.indexOf(0, offset);
    return end < 0 ? undefined : { text: bytes.toString("utf8", offset, end), next: end + 1 };
}

/** Reads the statement text of Query and Parse. */
export function sqlOf(frame: Frame): string | undefined {
    if (frame.type === FrontendType.Query) {
        return textAt(frame.bytes, HEADER_BYTES)?.text;
    }
    if (frame.type !== FrontendType.Parse) {
        return undefined;
    }
    const nameEnd = frame.bytes.indexOf(0, HEADER_BYTES);
    return nameEnd < 0 ? undefined : textAt(frame.bytes, nameEnd + 1)?.text;
}

/** Reads the parameter types that a Parse message declares; 0 leaves the type to the endpoint. */
export function parameterTypesOf(frame: Frame): readonly number[] {
    const name = textAt(frame.bytes, HEADER_BYTES);
    const sql = name === undefined ? undefined : textAt(frame.bytes, name.next);
    if (frame.type !== FrontendType.Parse || sql === undefined || frame.bytes.length < sql.next + 2) {
        return [];
    }
    const types: number[] = [];
    for (let offset = sql.next + 2; offset + 4 <= frame.bytes.length; offset += 4) {
        types.push(frame.bytes.readInt32BE(offset));
    }
    return types;
}

/** Offset of the statement name in a message that has one, else -1. */
function statementOffset({ type, bytes }: Frame): number {
    if (type === FrontendType.Parse) {
        return HEADER_BYTES;
    }
    if (type === FrontendType.Bind) {
        return bytes.indexOf(0, HEADER_BYTES) + 1 || -1;
    }
    const namesStatement = (type === FrontendType.Describe || type === FrontendType.Close)
        && bytes[HEADER_BYTES] === STATEMENT;
    return namesStatement ? HEADER_BYTES + 1 : -1;
}

/** Reads the statement name of Parse, Bind, and Describe or Close of a statement. The unnamed one is "". */
export function statementNameOf(frame: Frame): string | undefined {
    const offset = statementOffset(frame);
    return offset < 0 ? undefined : textAt(frame.bytes, offset)?.text;
}

/** Reads the portal name of Bind, Execute, and Describe or Close of a portal. The unnamed one is "". */
export function portalNameOf(frame: Frame): string | undefined {
    const { type, bytes } = frame;
    if (type === FrontendType.Bind || type === FrontendType.Execute) {
        return textAt(bytes, HEADER_BYTES)?.text;
    }
    const namesPortal = (type === FrontendType.Describe || type === FrontendType.Close)
        && bytes[HEADER_BYTES] === PORTAL;
    return namesPortal ? textAt(bytes, HEADER_BYTES + 1)?.text : undefined;
}

/** Returns the message with another statement name. A message that names no statement is returned as it is. */
export function withStatementName(frame: Frame, name: string): Frame {
    const start = statementOffset(frame);
    const end = start < 0 ? -1 : frame.bytes.indexOf(0, start);
    if (end < 0) {
        return frame;
    }
    const replacement = Buffer.from(name, "utf8");
    const bytes = Buffer.concat([frame.bytes.subarray(0, start), replacement, frame.bytes.subarray(end)]);
    bytes.writeInt32BE(bytes.length - 1, 1);
    return { type: frame.type, bytes };
}

const STATUSES: ReadonlyMap<number, TransactionStatus> = new Map([[0x49, "I"], [0x54, "T"], [0x45, "E"]]);

/** Reads the status of ReadyForQuery. */
export function transactionStatusOf(frame: Frame): TransactionStatus | undefined {
    return frame.type === BackendType.ReadyForQuery ? STATUSES.get(frame.bytes[HEADER_BYTES] ?? 0) : undefined;
}

/** Reads a DataRow of text values; NULL is undefined. Returns undefined for a malformed message. */
export function rowOf(frame: Frame): readonly (string | undefined)[] | undefined {
    const { bytes } = frame;
    if (frame.type !== BackendType.DataRow || bytes.length < HEADER_BYTES + 2) {
        return undefined;
    }
    const values: (string | undefined)[] = [];
    let offset = HEADER_BYTES + 2;
    for (let left = bytes.readUInt16BE(HEADER_BYTES); left > 0; left--) {
        if (offset + 4 > bytes.length) {
            return undefined;
        }
        const length = bytes.readInt32BE(offset);
        const end = offset + 4 + Math.max(length, 0);
        if (end > bytes.length) {
            return undefined;
        }
        values.push(length < 0 ? undefined : bytes.toString("utf8", offset + 4, end));
        offset = end;
    }
    return values;
}

/** Reads the first column of a DataRow as text; undefined for NULL, for no column and for a malformed message. */
export function firstColumnOf(frame: Frame): string | undefined {
    const { bytes } = frame;
    const start = HEADER_BYTES + 6;
    if (frame.type !== BackendType.DataRow || bytes.length < start || bytes.readUInt16BE(HEADER_BYTES) === 0) {
        return undefined;
    }
    const length = bytes.readInt32BE(HEADER_BYTES + 2);
    return length < 0 || start + length > bytes.length ? undefined : bytes.toString("utf8", start, start + length);
}

/** Reads the fields of ErrorResponse and NoticeResponse by their one-letter codes. */
export function reportFieldsOf(frame: Frame): ReadonlyMap<string, string> {
    const fields = new Map<string, string>();
    const isReport = frame.type === BackendType.ErrorResponse || frame.type === BackendType.NoticeResponse;
    let offset = HEADER_BYTES;
    while (isReport && offset < frame.bytes.length && frame.bytes[offset] !== 0) {
        const field = textAt(frame.bytes, offset + 1);
        if (field === undefined) {
            break;
        }
        fields.set(String.fromCharCode(frame.bytes[offset] ?? 0), field.text);
        offset = field.next;
    }
    return fields;
}

/** Reads the SQLSTATE of ErrorResponse and NoticeResponse. */
export function sqlstateOf(frame: Frame): string | undefined {
    return reportFieldsOf(frame).get("C");
}

/** Reads the tag of CommandComplete, such as `INSERT 0 1`. */
export function commandTagOf(frame: Frame): string | undefined {
    return frame.type === BackendType.CommandComplete ? textAt(frame.bytes, HEADER_BYTES)?.text : undefined;
}

/** Reads name and value of ParameterStatus. */
export function parameterStatusOf(frame: Frame): { readonly name: string; readonly value: string; } | undefined {
    const name = frame.type === BackendType.ParameterStatus ? textAt(frame.bytes, HEADER_BYTES) : undefined;
    const value = name === undefined ? undefined : textAt(frame.bytes, name.next);
    return name === undefined || value === undefined ? undefined : { name: name.text, value: value.text };
}
