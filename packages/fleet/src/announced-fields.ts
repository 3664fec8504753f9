import type { EndpointRecord } from "@medlarledge/protocol";
import type { LogFields } from "@medlarledge/telemetry";

/** Log fields of an announcement. Renames those that would collide with the standard fields of a log line. */
export function announcedFields({ host, port, sequence, ...record }: EndpointRecord): LogFields {
    return { ...record, address: `${host}:${port}`, announcement: sequence };
}
