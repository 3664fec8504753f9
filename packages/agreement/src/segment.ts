import type { LogEntry, Members } from "@medlarledge/protocol";
import { crc32 } from "node:zlib";
import type { PersistBatch } from "./types.js";

/*
 * A segment is a sequence of batches, each written and synced at once.
 *
 * batch:  magic u32 | segment u32 | offset in the file u32 | sequence u32 | bytes of the records u32 |
 *         the same inverted u32
 * record: CRC-32 u32 of all that follows | length u32 | index f64 | term f64 | bytes of members u32 |
 *         members as JSON | payload
 *
 * A record of term 0 truncates the log from its index. All fields of a batch's header are known in advance or stored
 * twice, so it needs no checksum: each call of crc32 costs as much as the rest of an entry on opening.
 */
const BATCH_MAGIC = 0x4d4c4232;
const BATCH_HEADER_BYTES = 24;
const RECORD_HEADER_BYTES = 28;
const TRUNCATION_TERM = 0;
// Smallest unit that disks write whole; an unwritten one of a new file reads as zeros.
const SECTOR_BYTES = 512;

/** Place of a batch. The offset also proves that everything before it was synced. */
export interface BatchPlace {
    readonly segment: number;
    readonly offset: number;
    readonly sequence: number;
}

export interface Damage {
    readonly offset: number;
    readonly reason: string;
}

/** What a segment holds. `tornAt` is where an unsynced last write begins; it was never acknowledged. */
export interface SegmentContent {
    readonly batches: readonly PersistBatch[];
    readonly tornAt: number | undefined;
    readonly damage: Damage | undefined;
}

/** Encodes a batch as one block of bytes. */
export function encodeBatch(place: BatchPlace, batch: PersistBatch): Uint8Array {
    const records = batch.entries.map(encodeRecord);
    if (batch.truncateFrom !== undefined) {
        records.unshift(encodeRecord({
            index: batch.truncateFrom,
            term: TRUNCATION_TERM,
            payload: new Uint8Array(),
        }));
    }
    const length = records.reduce((sum, record) => sum + record.byteLength, 0);
    return Buffer.concat([encodeHeader(place, length), ...records]);
}

function encodeHeader(place: BatchPlace, length: number): Buffer {
    const header = Buffer.alloc(BATCH_HEADER_BYTES);
    header.writeUInt32BE(BATCH_MAGIC, 0);
    header.writeUInt32BE(place.segment, 4);
    header.writeUInt32BE(place.offset, 8);
    header.writeUInt32BE(place.sequence, 12);
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

/** Decodes a segment and tells a torn last write from damage to synced data. */
export function decodeSegment(content: Uint8Array, segment: number): SegmentContent {
    const bytes = Buffer.from(content.buffer, content.byteOffset, content.byteLength);
    const batches: PersistBatch[] = [];
    let offset = 0;
    while (offset < bytes.byteLength) {
        const place = { segment, offset, sequence: batches.length };
        const end = batchEnd(bytes, place);
        // A batch that ends between two of its records is as torn as one that ends within a record.
        const isWhole = end !== undefined && end <= bytes.byteLength;
        const batch = isWhole ? decodeRecords(bytes, offset + BATCH_HEADER_BYTES, end) : undefined;
        if (end === undefined || batch === undefined) {
            return isTorn(bytes, place, end)
                ? { batches, tornAt: offset, damage: undefined }
                : { batches, tornAt: undefined, damage: { offset, reason: "wrong checksum in synced data" } };
        }
        batches.push(batch);
        offset = end;
    }
    return { batches, tornAt: undefined, damage: undefined };
}

/** End of the batch at a place, also when it lies after the end of the file; undefined without a valid header. */
function batchEnd(bytes: Buffer, { segment, offset, sequence }: BatchPlace): number | undefined {
    const end = offset + BATCH_HEADER_BYTES;
    const isPlace = end <= bytes.byteLength
        && bytes.readUInt32BE(offset) === BATCH_MAGIC
        && bytes.readUInt32BE(offset + 4) === segment
        && bytes.readUInt32BE(offset + 8) === offset
        && bytes.readUInt32BE(offset + 12) === sequence;
    const length = isPlace ? bytes.readUInt32BE(offset + 16) : 0;
    return isPlace && bytes.readUInt32BE(offset + 20) === inverted(length) ? end + length : undefined;
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

/** End of a record whose checksum is right. */
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
    // A view: copying each payload would be most of the time of an opening. It keeps at most one segment in memory.
    const payload = new Uint8Array(bytes.buffer, bytes.byteOffset + payloadAt, end - payloadAt);
    if (payloadAt === membersAt) {
        return { index, term, payload };
    }
    return { index, term, payload, members: JSON.parse(bytes.toString("utf8", membersAt, payloadAt)) as Members };
}

/**
 * An invalid batch is a torn write only if nothing valid follows it, and if it is shorter than announced or a sector
 * of it was never written. Every other difference is damage: cutting it off could remove what was acknowledged.
 */
function isTorn(bytes: Buffer, place: BatchPlace, end: number | undefined): boolean {
    if (hasLaterBatch(bytes, place)) {
        return false;
    }
    const isShort = end === undefined
        ? bytes.byteLength - place.offset < BATCH_HEADER_BYTES
        : end > bytes.byteLength;
    const isLast = end === undefined || end >= bytes.byteLength;
    return isShort || (isLast && hasUnwrittenSector(bytes, place.offset));
}

function hasLaterBatch(bytes: Buffer, place: BatchPlace): boolean {
    const magic = Buffer.alloc(4);
    magic.writeUInt32BE(BATCH_MAGIC, 0);
    let offset = bytes.indexOf(magic, place.offset + 1);
    while (offset !== -1 && offset + BATCH_HEADER_BYTES <= bytes.byteLength) {
        const sequence = bytes.readUInt32BE(offset + 12);
        if (batchEnd(bytes, { segment: place.segment, offset, sequence }) !== undefined) {
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
        // A few zeros at the start of the last write are ordinary content, so a part must be as long as a header.
        if (sector.byteLength >= BATCH_HEADER_BYTES && sector.every(byte => byte === 0)) {
            return true;
        }
    }
    return false;
}
