import type { LogEntry, Members } from "@medlarledge/protocol";
import { crc32 } from "node:zlib";
import type { PersistBatch } from "./types.js";

/*
 * Format of a segment of the log: a sequence of batches, each written and synced as a whole.
 *
 * batch:  magic u32 | segment u32 | offset in the file u32 | sequence u32 | bytes of the records u32 |
 *         the same inverted u32
 * record: CRC-32 u32 of all that follows | length u32 | index f64 | term f64 | bytes of members u32 |
 *         members as JSON | payload
 *
 * A record of term 0 truncates the log from its index. The header of a batch needs no checksum, since each field is
 * known in advance or stored twice; a call of crc32 costs as much as the rest of decoding an entry when a store opens.
 */
const BATCH_MAGIC = 0x4d4c4232;
const BATCH_HEADER_BYTES = 24;
const RECORD_HEADER_BYTES = 28;
const TRUNCATION_TERM = 0;
/** Smallest unit that a disk writes atomically. An unwritten sector of a new file reads as zeros. */
const SECTOR_BYTES = 512;

/**
 * Location of a batch, stored in its header. A batch is written only after the previous ones were synced, so a valid
 * header also proves that everything before its offset was synced.
 */
export interface BatchLocation {
    readonly segment: number;
    readonly offset: number;
    readonly sequence: number;
}

export interface Corruption {
    readonly offset: number;
    readonly reason: string;
}

/**
 * Content of a segment. `tornOffset` is the offset of an unsynced last write, which was never acknowledged;
 * `corruption` is set if synced data is invalid.
 */
export interface SegmentContent {
    readonly batches: readonly PersistBatch[];
    readonly tornOffset: number | undefined;
    readonly corruption: Corruption | undefined;
}

/** Encodes a batch with its header. */
export function encodeBatch(location: BatchLocation, batch: PersistBatch): Uint8Array {
    const records = batch.entries.map(encodeRecord);
    if (batch.truncateFrom !== undefined) {
        records.unshift(encodeRecord({
            index: batch.truncateFrom,
            term: TRUNCATION_TERM,
            payload: new Uint8Array(),
        }));
    }
    const length = records.reduce((sum, record) => sum + record.byteLength, 0);
    return Buffer.concat([encodeHeader(location, length), ...records]);
}

function encodeHeader(location: BatchLocation, length: number): Buffer {
    const header = Buffer.alloc(BATCH_HEADER_BYTES);
    header.writeUInt32BE(BATCH_MAGIC, 0);
    header.writeUInt32BE(location.segment, 4);
    header.writeUInt32BE(location.offset, 8);
    header.writeUInt32BE(location.sequence, 12);
    header.writeUInt32BE(length, 16);
    header.writeUInt32BE(inverted(length), 20);
    return header;
}

function inverted(length: number): number {
    return ~length >>> 0;
}

function encodeRecord(entry: LogEntry): Buffer {
    const members = entry.members === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(entry.members));
    const record = Buffer.alloc(RECORD_HEADER_BYTES + members.byteLength + entry.payload.byteLength);
    record.writeUInt32BE(record.byteLength, 4);
    record.writeDoubleBE(entry.index, 8);
    record.writeDoubleBE(entry.term, 16);
    record.writeUInt32BE(members.byteLength, 24);
    record.set(members, RECORD_HEADER_BYTES);
    record.set(entry.payload, RECORD_HEADER_BYTES + members.byteLength);
    record.writeUInt32BE(crc32(record.subarray(4)), 0);
    return record;
}

/** Decodes a segment and distinguishes a torn last write from corruption of synced data. */
export function decodeSegment(content: Uint8Array, segment: number): SegmentContent {
    const bytes = Buffer.from(content.buffer, content.byteOffset, content.byteLength);
    const batches: PersistBatch[] = [];
    let offset = 0;
    while (offset < bytes.byteLength) {
        const location = { segment, offset, sequence: batches.length };
        const end = batchEnd(bytes, location);
        // A batch cut off between two records is treated as torn, like one cut off within a record.
        const isWhole = end !== undefined && end <= bytes.byteLength;
        const batch = isWhole ? decodeRecords(bytes, offset + BATCH_HEADER_BYTES, end) : undefined;
        if (end === undefined || batch === undefined) {
            return isTornWrite(bytes, location, end)
                ? { batches, tornOffset: offset, corruption: undefined }
                : { batches, tornOffset: undefined, corruption: { offset, reason: "wrong checksum in synced data" } };
        }
        batches.push(batch);
        offset = end;
    }
    return { batches, tornOffset: undefined, corruption: undefined };
}

/** End offset of the batch at a location, even beyond the end of the file; undefined if its header is invalid. */
function batchEnd(bytes: Buffer, { segment, offset, sequence }: BatchLocation): number | undefined {
    const end = offset + BATCH_HEADER_BYTES;
    const isHeaderValid = end <= bytes.byteLength
        && bytes.readUInt32BE(offset) === BATCH_MAGIC
        && bytes.readUInt32BE(offset + 4) === segment
        && bytes.readUInt32BE(offset + 8) === offset
        && bytes.readUInt32BE(offset + 12) === sequence;
    const length = isHeaderValid ? bytes.readUInt32BE(offset + 16) : 0;
    return isHeaderValid && bytes.readUInt32BE(offset + 20) === inverted(length) ? end + length : undefined;
}

function decodeRecords(bytes: Buffer, from: number, to: number): PersistBatch | undefined {
    const entries: LogEntry[] = [];
    let truncateFrom: number | undefined;
    let offset = from;
    while (offset < to) {
        const end = recordEnd(bytes, offset, to);
        if (end === undefined) {
            return undefined;
        }
        const entry = decodeRecord(bytes, offset, end);
        if (entry.term === TRUNCATION_TERM) {
            truncateFrom = entry.index;
        }
        else {
            entries.push(entry);
        }
        offset = end;
    }
    return truncateFrom === undefined ? { entries } : { truncateFrom, entries };
}

/** End offset of the record at `offset`; undefined if its length or checksum is invalid. */
function recordEnd(bytes: Buffer, offset: number, to: number): number | undefined {
    if (to - offset < RECORD_HEADER_BYTES) {
        return undefined;
    }
    const end = offset + bytes.readUInt32BE(offset + 4);
    const isValid = end <= to
        && end >= offset + RECORD_HEADER_BYTES
        && crc32(bytes.subarray(offset + 4, end)) === bytes.readUInt32BE(offset);
    return isValid ? end : undefined;
}

function decodeRecord(bytes: Buffer, offset: number, end: number): LogEntry {
    const membersAt = offset + RECORD_HEADER_BYTES;
    const payloadAt = membersAt + bytes.readUInt32BE(offset + 24);
    const index = bytes.readDoubleBE(offset + 8);
    const term = bytes.readDoubleBE(offset + 16);
    // A view, since copying the payloads would take most of the time to open a store. It retains at most one segment.
    const payload = new Uint8Array(bytes.buffer, bytes.byteOffset + payloadAt, end - payloadAt);
    if (payloadAt === membersAt) {
        return { index, term, payload };
    }
    return { index, term, payload, members: JSON.parse(bytes.toString("utf8", membersAt, payloadAt)) as Members };
}

/**
 * An invalid batch is a torn write only if no valid batch follows it, and if it is shorter than its header states or
 * one of its sectors was never written. Anything else is corruption: truncating it could remove acknowledged entries.
 */
function isTornWrite(bytes: Buffer, location: BatchLocation, end: number | undefined): boolean {
    if (hasLaterBatch(bytes, location)) {
        return false;
    }
    const isIncomplete = end === undefined
        ? bytes.byteLength - location.offset < BATCH_HEADER_BYTES
        : end > bytes.byteLength;
    const isLast = end === undefined || end >= bytes.byteLength;
    return isIncomplete || (isLast && hasUnwrittenSector(bytes, location.offset));
}

function hasLaterBatch(bytes: Buffer, location: BatchLocation): boolean {
    const magic = Buffer.alloc(4);
    magic.writeUInt32BE(BATCH_MAGIC, 0);
    let offset = bytes.indexOf(magic, location.offset + 1);
    while (offset !== -1 && offset + BATCH_HEADER_BYTES <= bytes.byteLength) {
        const sequence = bytes.readUInt32BE(offset + 12);
        if (batchEnd(bytes, { segment: location.segment, offset, sequence }) !== undefined) {
            return true;
        }
        offset = bytes.indexOf(magic, offset + 1);
    }
    return false;
}

function hasUnwrittenSector(bytes: Buffer, from: number): boolean {
    for (let start = from; start < bytes.byteLength; start += SECTOR_BYTES - start % SECTOR_BYTES) {
        const end = start + SECTOR_BYTES - start % SECTOR_BYTES;
        const sector = bytes.subarray(start, end);
        // Valid data can contain a few zeros, so a partial sector counts only if it is at least as long as a header.
        if (sector.byteLength >= BATCH_HEADER_BYTES && sector.every(byte => byte === 0)) {
            return true;
        }
    }
    return false;
}
