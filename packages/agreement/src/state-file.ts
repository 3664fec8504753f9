import type { Members } from "@medlarledge/protocol";
import { verifyChecksum } from "./checked-file.js";
import type { HardState, Snapshot } from "./types.js";

/** Name of the state file, which names the current segment and snapshot. */
export const STATE_FILE = "state";

/** Segment number in the state file while no segment exists. */
export const NO_SEGMENT = 0;

/** Content of the state file. The file is replaced atomically, so its fields are always consistent with each other. */
export interface StateFile {
    readonly version: 1;
    readonly memberId: string;
    readonly term: number;
    readonly votedFor?: string | undefined;
    /** Initial members of the group; undefined once there is a snapshot, and on a host that joined later. */
    readonly initialMembers?: Members | undefined;
    /** Number of the current segment, `NO_SEGMENT` before the first entry. */
    readonly segment: number;
    /** Last index of the current snapshot; undefined before the first one. */
    readonly snapshot?: number | undefined;
}

export function segmentName(segment: number): string {
    return `segment-${String(segment).padStart(10, "0")}`;
}

export function snapshotName(lastIndex: number): string {
    return `snapshot-${String(lastIndex).padStart(16, "0")}`;
}

export function encodeStateFile(state: StateFile): Uint8Array {
    return Buffer.from(JSON.stringify(state));
}

export function decodeStateFile(
    content: Uint8Array,
): { ok: true; state: StateFile; } | { ok: false; reason: string; } {
    const result = verifyChecksum(content);
    if (!result.ok) {
        return result;
    }
    const state = JSON.parse(Buffer.from(result.body).toString("utf8")) as StateFile;
    // A file of another version may hold another number than the type states.
    return (state.version as number) === 1
        ? { ok: true, state }
        : { ok: false, reason: `unknown version ${String(state.version)}` };
}

export function hardStateOf(state: StateFile): HardState {
    return { term: state.term, votedFor: state.votedFor };
}

/** Encodes a snapshot as the length of its description, the description as JSON, and the data. */
export function encodeSnapshot(snapshot: Snapshot): Uint8Array {
    const { data, ...description } = snapshot;
    const text = Buffer.from(JSON.stringify(description));
    const length = Buffer.alloc(4);
    length.writeUInt32BE(text.byteLength, 0);
    return Buffer.concat([length, text, data]);
}

export function decodeSnapshot(
    content: Uint8Array,
): { ok: true; snapshot: Snapshot; } | { ok: false; reason: string; } {
    const result = verifyChecksum(content);
    if (!result.ok) {
        return result;
    }
    const body = Buffer.from(result.body.buffer, result.body.byteOffset, result.body.byteLength);
    const dataAt = 4 + body.readUInt32BE(0);
    const description = JSON.parse(body.toString("utf8", 4, dataAt)) as Omit<Snapshot, "data">;
    return {
        ok: true,
        snapshot: {
            ...description,
            data: new Uint8Array(body.buffer, body.byteOffset + dataAt, body.byteLength - dataAt),
        },
    };
}
