import type { Host } from "@medlarledge/protocol";
import type { ProxyStatus } from "@medlarledge/proxy";
import type { MeshTraffic } from "@medlarledge/runtime";
import type { ConfigurationInForce } from "./configuration-holder.js";

/** Whether the platform should send callers to this host. */
export interface Readiness {
    readonly ready: boolean;
    readonly reason: string;
}

export interface LocalFacts {
    readonly self: Host;
    readonly draining: boolean;
    readonly hasLease: boolean;
    readonly viewComplete: boolean;
    readonly inForce: ConfigurationInForce | undefined;
    readonly proxy: ProxyStatus | undefined;
    readonly traffic: MeshTraffic;
}

/** What one host says of itself in `GET /v1/status`. Memory is in bytes, processor time in microseconds. */
export interface LocalStatus extends Host {
    readonly readiness: Readiness;
    readonly hasLease: boolean;
    readonly configuration: { readonly number: number; readonly operator: string; readonly since: number; } | undefined;
    readonly proxy: ProxyStatus | undefined;
    readonly traffic: MeshTraffic;
    readonly memoryBytes: number;
    readonly cpuMicroseconds: NodeJS.CpuUsage;
}

export function readinessOf(facts: LocalFacts): Readiness {
    if (facts.draining) {
        return { ready: false, reason: "draining" };
    }
    if (facts.inForce === undefined) {
        return { ready: false, reason: "no configuration yet" };
    }
    if (!facts.viewComplete) {
        return { ready: false, reason: "no view of the databases yet" };
    }
    return { ready: true, reason: facts.hasLease ? "serving" : "serving reads of stated age only" };
}

export function localStatus(facts: LocalFacts): LocalStatus {
    const { self, hasLease, inForce, proxy, traffic } = facts;
    const configuration = inForce === undefined
        ? undefined
        : { number: inForce.change.number, operator: inForce.change.operator, since: inForce.since };
    return {
        ...self,
        readiness: readinessOf(facts),
        hasLease,
        configuration,
        proxy,
        traffic,
        memoryBytes: process.memoryUsage.rss(),
        cpuMicroseconds: process.cpuUsage(),
    };
}
