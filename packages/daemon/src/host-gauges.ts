import type { ProxyStatus } from "@medlarledge/proxy";
import type { MeshTraffic } from "@medlarledge/runtime";
import type { Metrics } from "@medlarledge/telemetry";

export interface GaugeFacts {
    readonly hasLease: boolean;
    readonly configurationNumber: number;
    readonly isLeader: boolean;
    readonly proxy: ProxyStatus | undefined;
    readonly traffic: MeshTraffic;
}

/** Sends the state of a host as gauges, and the growth of its traffic as counters. */
export class HostGauges {
    readonly #metrics: Metrics;
    #bytesSent = 0;
    #bytesReceived = 0;

    constructor(metrics: Metrics) {
        this.#metrics = metrics;
    }

    send(facts: GaugeFacts): void {
        const { traffic, proxy } = facts;
        this.#metrics.gauge("lease.valid", facts.hasLease ? 1 : 0);
        this.#metrics.gauge("configuration.number", facts.configurationNumber);
        this.#metrics.gauge("agreement.leader", facts.isLeader ? 1 : 0);
        this.#metrics.gauge("process.memory", process.memoryUsage.rss());
        this.#metrics.count("peer.bytes_sent", traffic.bytesSent - this.#bytesSent);
        this.#metrics.count("peer.bytes_received", traffic.bytesReceived - this.#bytesReceived);
        this.#bytesSent = traffic.bytesSent;
        this.#bytesReceived = traffic.bytesReceived;
        this.#metrics.gauge("callers.open", proxy?.callers ?? 0);
        for (const { database, endpoints } of proxy?.databases ?? []) {
            for (const { endpoint, connections, inFlight } of endpoints) {
                this.#metrics.gauge("endpoint.connections", connections, { database, endpoint });
                this.#metrics.gauge("endpoint.in_flight", inFlight, { database, endpoint });
            }
        }
    }
}
