import type { EndpointRecord } from "@medlarledge/protocol";
import type { LogFields } from "@medlarledge/telemetry";

/** What a log line tells of an announcement; the names of a line's own fields stay free. */
export function announcedFields({ host, port, sequence, ...record }: EndpointRecord): LogFields {
    return { ...record, address: `${host}:${port}`, announcement: sequence };
}
