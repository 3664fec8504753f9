/** Bits of a caller's process id that name the host, so that a cancel request finds its way from any host. */
const HOST_BITS = 12;
const HOST_NUMBERS = 2 ** HOST_BITS;

/** A number of a host; two hosts may share one, so a cancel request goes to all that match. */
export function hostNumber(hostId: string): number {
    let hash = 0;
    for (const character of hostId) {
        hash = (Math.imul(hash, 31) + (character.codePointAt(0) ?? 0)) >>> 0;
    }
    return hash % HOST_NUMBERS;
}

/** Process id of a caller: the host's number and a counter below it, positive as a signed 32-bit number. */
export function callerProcessId(hostId: string, counter: number): number {
    return (hostNumber(hostId) << (31 - HOST_BITS)) | (counter % 2 ** (31 - HOST_BITS));
}

/** The host number in a caller's process id. */
export function hostNumberOf(processId: number): number {
    return processId >>> (31 - HOST_BITS);
}
