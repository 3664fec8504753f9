import { type EndpointRecord, isEndpointRecord } from "@medlarledge/protocol";
import type { Log } from "@medlarledge/telemetry";

/**
 * Returns the usable ones of records that were stored before a restart or sent by another host, and logs the number of
 * the others. An earlier version may have accepted them.
 * @param source where the records come from, for the log
 * @param wallClock present time in ms since 1970
 */
export function usableRecords(
    records: readonly unknown[],
    source: string,
    wallClock: number,
    log: Log,
): readonly EndpointRecord[] {
    const usable = records.filter(record => isEndpointRecord(record, wallClock));
    const refused = records.length - usable.length;
    if (refused > 0) {
        log.event("announcementRefused", { reason: "a field is missing or out of range", source, refused });
    }
    return usable;
}
