import { encodeMessage, type Message } from "@medlarledge/protocol";

let lastMessage: Message | undefined;
let lastBytes: Uint8Array = new Uint8Array();

/**
 * Encodes a message, reusing the bytes when the same object is sent to several hosts in a row: the leader sends each
 * configuration to all hosts, and encoding 200 KB for 550 hosts would delay its lease grants by more than a lease. The
 * returned bytes must not be changed.
 */
export function encodeShared(message: Message): Uint8Array {
    if (message !== lastMessage) {
        lastBytes = encodeMessage(message);
        lastMessage = message;
    }
    return lastBytes;
}
