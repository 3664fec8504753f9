import type { EndpointProbeResult, Host } from "@medlarledge/protocol";
import type { LeaderOptions } from "../src/index.js";

export interface SimulationOptions {
    readonly seed: number;
    readonly hosts: number;
    readonly databases: readonly string[];
    readonly leader?: Partial<LeaderOptions>;
    readonly hostMarginMs?: number;
    /** One-way delay of a message: at least 1 ms, at most this. */
    readonly maxDelayMs?: number;
    readonly loss?: number;
    /** Maximum deviation of a clock's rate from real time. */
    readonly drift?: number;
}

export interface SimulatedEndpoint {
    reading: EndpointProbeResult;
    alive: boolean;
    /** False: accepts the promotion command but stays a replica. */
    promotable: boolean;
    readonly isolatedFrom: Set<string>;
}

export const LEADER_OPTIONS: Omit<LeaderOptions, "hostId"> = {
    leaseMs: 400,
    driftMarginMs: 20,
    stepDownMs: 300,
    confirmMs: 150,
    promoteTimeoutMs: 2_000,
    readingTimeoutMs: 150,
    validate: () => [],
    durability: () => "primary",
};

export function host(id: string, incarnation = "1"): Host {
    const address = "127.0.0.1:1";
    const addresses = { peerAddress: address, httpAddress: address, callerAddress: address };
    return { id, incarnation, dataCentre: `dc${id.slice(-1)}`, ...addresses, control: false };
}

export function announcement(database: string, id: string, sequence: number) {
    const where = { dataCentre: "dc0", host: `10.0.0.${id.charCodeAt(0)}`, port: 5432 };
    return { id, database, ...where, systemIdentifier: id, sequence, slots: 2, connections: 16 };
}
