import { isIP } from "node:net";
import { EndpointRole, EndpointState } from "./endpoint.js";

const MAX_PORT = 65_535;

/** Maximum length of an id or a name, in characters. */
const MAX_NAME_LENGTH = 255;

const MAX_SLOTS = 10_000;

/** Maximum lead of an endpoint's clock over the clock of a host, in ms. */
const MAX_CLOCK_LEAD_MS = 60 * 60 * 1_000;

/** The latest announcement of an endpoint. */
export interface EndpointRecord {
    readonly id: string;
    /** Name of the group: the endpoints that replicate one database, and the service that they provide together. */
    readonly group: string;
    readonly dataCentre: string;
    readonly host: string;
    readonly port: number;
    /** Maximum number of concurrent statements. */
    readonly slots: number;
    /** Start time of the endpoint process in ms since 1970, by its own clock; identifies a restart. */
    readonly born: number;
    /** Increases with every announcement of one process; starts anew after a restart. */
    readonly sequence: number;
    readonly state: EndpointState;
    /** Role that the endpoint reports. */
    readonly role: EndpointRole;
    /**
     * Time in ms for which the endpoint had been leaving when the record was sent or saved. A duration, since the clocks
     * of two hosts may differ. Undefined unless the endpoint leaves, and in its own announcement.
     */
    readonly leavingMs?: number | undefined;
}

/** Stands in an order for the endpoint when hosts use none as the primary. */
export const NO_ENDPOINT = "";

/** Order of the control hosts to promote an endpoint to the primary of its group. */
export interface PromotionOrder {
    readonly group: string;
    /** The endpoint that becomes the primary; `NO_ENDPOINT` if no endpoint is used as one until the next order. */
    readonly endpoint: string;
    /** Fencing token of the order; a higher one is newer. */
    readonly fence: number;
}

/**
 * Returns true when a value has all fields of a record and each of them can be used. Records may be written by another
 * program or by an earlier version that checked less.
 * @param wallClock present time in ms since 1970; an endpoint that started later than that is not plausible, and would
 *     hide all real announcements with the same id
 */
export function isEndpointRecord(value: unknown, wallClock: number): value is EndpointRecord {
    if (typeof value !== "object" || value === null) {
        return false;
    }
    const { id, group, dataCentre, host, port, slots, born, sequence, state, role, leavingMs } = value as Readonly<
        Partial<Record<keyof EndpointRecord, unknown>>
    >;
    return isName(id) && isName(group) && isName(dataCentre) && typeof host === "string" && isIP(host) !== 0
        && isCount(port, MAX_PORT) && port > 0 && isCount(slots, MAX_SLOTS)
        && isCount(born, wallClock + MAX_CLOCK_LEAD_MS) && isCount(sequence, Number.MAX_SAFE_INTEGER - 1)
        && (leavingMs === undefined || isDuration(leavingMs))
        && Object.values<unknown>(EndpointState).includes(state) && Object.values<unknown>(EndpointRole).includes(role);
}

function isName(value: unknown): value is string {
    return typeof value === "string" && value !== "" && value.length <= MAX_NAME_LENGTH && !/\s/.test(value);
}

function isDuration(value: unknown): boolean {
    return typeof value === "number" && value >= 0 && value < Infinity;
}

function isCount(value: unknown, max: number): value is number {
    return Number.isSafeInteger(value) && (value as number) >= 0 && (value as number) <= max;
}
