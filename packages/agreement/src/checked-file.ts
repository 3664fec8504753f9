import { crc32 } from "node:zlib";
import type { FileSystem } from "./file-system.js";
import { wrapErrors } from "./store-error.js";

/*
 * A checked file: magic u32 | length of the body u32 | CRC-32 u32 of the first 8 bytes and the body | body
 */
const MAGIC = 0x4d4c4331;
const HEADER_BYTES = 12;

/** Replaces a file atomically and durably: after a crash it has either the old or the new content. */
export async function replaceFile(files: FileSystem, folder: string, name: string, body: Uint8Array): Promise<void> {
    const path = `${folder}/${name}`;
    const temporary = `${path}.tmp`;
    await wrapErrors("remove", temporary, () => files.remove(temporary));
    const file = await wrapErrors("create", temporary, () => files.append(temporary));
    try {
        await wrapErrors("write", temporary, () => file.write(addChecksum(body)));
        await wrapErrors("sync", temporary, () => file.sync());
    }
    finally {
        await wrapErrors("close", temporary, () => file.close());
    }
    await wrapErrors("rename", path, () => files.rename(temporary, path));
    await wrapErrors("sync", folder, () => files.syncFolder(folder));
}

/** Prepends the header with the length and the CRC-32 to a body. */
function addChecksum(body: Uint8Array): Uint8Array {
    const bytes = Buffer.alloc(HEADER_BYTES + body.byteLength);
    bytes.writeUInt32BE(MAGIC, 0);
    bytes.writeUInt32BE(body.byteLength, 4);
    bytes.writeUInt32BE(crc32(body, crc32(bytes.subarray(0, 8))), 8);
    bytes.set(body, HEADER_BYTES);
    return bytes;
}

/** Verifies a file that `replaceFile` wrote. Returns its body, or the reason why it is invalid. */
export function verifyChecksum(content: Uint8Array): { ok: true; body: Uint8Array; } | { ok: false; reason: string; } {
    const bytes = Buffer.from(content.buffer, content.byteOffset, content.byteLength);
    if (bytes.byteLength < HEADER_BYTES || bytes.readUInt32BE(0) !== MAGIC) {
        return { ok: false, reason: "header incomplete or unknown" };
    }
    const body = bytes.subarray(HEADER_BYTES);
    if (body.byteLength !== bytes.readUInt32BE(4)) {
        return { ok: false, reason: `${body.byteLength} bytes instead of ${bytes.readUInt32BE(4)}` };
    }
    if (crc32(body, crc32(bytes.subarray(0, 8))) !== bytes.readUInt32BE(8)) {
        return { ok: false, reason: "wrong checksum" };
    }
    return { ok: true, body };
}
