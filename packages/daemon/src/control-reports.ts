import type { Message } from "@medlarledge/protocol";
import type { Log } from "@medlarledge/telemetry";
import type { ConfigurationHolder } from "./configuration-holder.js";
import type { ControlReport } from "./control-task.js";
import type { ServiceReporter } from "./service-reporter.js";

export interface ControlReportsOptions {
    readonly log: Log;
    readonly configuration: ConfigurationHolder;
    readonly reporter: ServiceReporter;
    readonly send: (to: string, message: Message) => boolean;
    readonly failed: (reason: string) => void;
}

type Handlers = {
    readonly [K in ControlReport["kind"]]: (report: Extract<ControlReport, { kind: K; }>) => void;
};

/** Carries what the control part reports to the rest of the process. */
export class ControlReports {
    readonly #options: ControlReportsOptions;

    readonly #handlers: Handlers = {
        reply: ({ to, id, ok, body }) => void this.#options.send(to, { kind: "leaderReply", id, ok, body }),
        leader: ({ memberId, isLeader }) =>
            this.#options.log.event("leaderChanged", { leader: memberId, leads: isLeader }),
        failoverDone: ({ database, tookMs }) => this.#countFailover(database, tookMs),
        failed: ({ reason }) => {
            this.#options.log.event("storeFailed", { reason });
            this.#options.failed(reason);
        },
    };

    constructor(options: ControlReportsOptions) {
        this.#options = options;
    }

    handle(report: ControlReport): void {
        (this.#handlers[report.kind] as (report: ControlReport) => void)(report);
    }

    #countFailover(database: string, tookMs: number): void {
        const databases = this.#options.configuration.inForce?.configuration.databases;
        const targetMs = databases?.[database]?.objectives.failoverGapMs ?? Infinity;
        const slowFailovers = tookMs > targetMs ? 1 : 0;
        this.#options.reporter.add(database, { failovers: 1, slowFailovers, longestFailoverMs: tookMs });
    }
}
