import { crc32 } from "node:zlib";
import type { FileSystem } from "./file-system.js";
import { attempt } from "./store-error.js";

const MAGIC = 0x4d4c4331;
const HEADER_BYTES = 12;

/** Replaces a file so that a crash leaves the old or the new content, never a mixture. */
export async function replaceFile(files: FileSystem, folder: string, name: string, body: Uint8Array): Promise<void> {
    const path = `${folder}/${name}`;
    const temporary = `${path}.tmp`;
    await attempt("remove", temporary, () => files.remove(temporary));
    const file = await attempt("create", temporary, () => files.append(temporary));
    try {
        await attempt("write", temporary, () => file.write(checked(body)));
        await attempt("sync", temporary, () => file.sync());
    }
    finally {
        await file.close();
    }
    await attempt("rename", path, () => files.rename(temporary, path));
    await attempt("sync", folder, () => files.syncFolder(folder));
}

/** Puts the length and the CRC-32 before a body. */
function checked(body: Uint8Array): Uint8Array {
    const bytes = Buffer.alloc(HEADER_BYTES + body.byteLength);
    bytes.writeUInt32BE(MAGIC, 0);
    bytes.writeUInt32BE(body.byteLength, 4);
    bytes.writeUInt32BE(crc32(body, crc32(bytes.subarray(0, 8))), 8);
    bytes.set(body, HEADER_BYTES);
    return bytes;
}

/** Returns the body of a file that `replaceFile` wrote, or the reason why it is not valid. */
export function uncheck(content: Uint8Array): { ok: true; body: Uint8Array; } | { ok: false; reason: string; } {
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
