import { encodeMessage, type Message } from "@medlarledge/protocol";

let lastMessage: Message | undefined;
let lastBytes: Uint8Array = new Uint8Array();

/**
 * Encodes a message, once when the same object goes to several hosts in a row: the leader sends one configuration to
 * all hosts, and encoding 200 KB 550 times would hold up its grants for longer than a lease. The bytes must not be
 * changed.
 */
export function encodeShared(message: Message): Uint8Array {
    if (message !== lastMessage) {
        lastBytes = encodeMessage(message);
        lastMessage = message;
    }
    return lastBytes;
}
