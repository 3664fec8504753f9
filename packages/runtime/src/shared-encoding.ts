import { compressMessage, encodeMessage, type Message } from "@medlarledge/protocol";

let lastMessage: Message | undefined;
let lastBytes: Uint8Array = new Uint8Array();
let lastCompressed: Uint8Array | undefined;

/**
 * Encodes a message, reusing the bytes when the same object is sent to several hosts in a row: the leader sends each
 * configuration to all hosts, and encoding 200 KB for 550 hosts would delay its lease grants by more than a lease. The
 * returned bytes must not be changed.
 */
export function encodeShared(message: Message): Uint8Array {
    if (message !== lastMessage) {
        lastBytes = encodeMessage(message);
        lastCompressed = undefined;
        lastMessage = message;
    }
    return lastBytes;
}

/** Like `encodeShared`, but compresses large messages. */
export function encodeSharedCompressed(message: Message): Uint8Array {
    const bytes = encodeShared(message);
    lastCompressed ??= compressMessage(bytes);
    return lastCompressed;
}
