import { type MonitorEffect, type MonitorEvent, type MonitorView, PrimaryMonitor } from "@medlarledge/control";
import type { EndpointDirectory } from "@medlarledge/directory";
import type { PrimaryReport, PromotionOrder } from "@medlarledge/protocol";
import type { Clock } from "@medlarledge/runtime";
import type { EndpointConnector } from "@medlarledge/statements";
import type { LogEvent, LogFields } from "@medlarledge/telemetry";
import { readEndpoint } from "./endpoint-reader.js";
import type { PromotionAuthority } from "./ports.js";

/** Time for one reading of an endpoint's position. */
const POSITION_QUERY_TIMEOUT_MS = 200;

/** Fencing tokens of one agreement term; a leader gives far fewer orders. */
const FENCES_PER_TERM = 100_000;

export interface PrimaryKeeperOptions {
    readonly directory: EndpointDirectory;
    readonly connector: EndpointConnector;
    readonly authority: PromotionAuthority;
    /** Name under which orders are given. */
    readonly holder: string;
    readonly clock: Clock;
    readonly entries: () => readonly string[];
    /** Asks all entry hosts to report on an endpoint. */
    readonly check: (group: string, endpoint: string) => void;
    readonly ordered: (order: PromotionOrder) => void;
    readonly event: (name: LogEvent, fields: LogFields) => void;
}

type Executors = {
    readonly [K in MonitorEffect["kind"]]: (group: string, effect: Extract<MonitorEffect, { kind: K; }>) => void;
};

/** Replaces primaries that failed or leave, while its host leads the control group. */
export class PrimaryKeeper {
    readonly #options: PrimaryKeeperOptions;
    readonly #watches = new Map<string, PrimaryMonitor>();
    #term = 0;
    #fences = 0;

    readonly #executors: Executors = {
        check: (group, { endpoint }) => this.#options.check(group, endpoint),
        read: (group, { endpoint }) => void this.#read(group, endpoint),
        promote: (group, { order }) => void this.#promote(group, order),
        event: (_, { name, fields }) => this.#options.event(name, fields),
    };

    constructor(options: PrimaryKeeperOptions) {
        this.#options = options;
    }

    /** Called regularly while this host leads in `term`. Everything of an earlier term is forgotten. */
    tick(term: number): void {
        if (term !== this.#term) {
            this.#term = term;
            this.#fences = 0;
            this.#watches.clear();
        }
        for (const group of this.#options.directory.groups()) {
            this.#handle(group, { kind: "tick" });
        }
    }

    reported(from: string, { group, endpoint, term, reachable }: PrimaryReport): void {
        this.#handle(group, { kind: "report", from, report: { endpoint, term, reachable } });
    }

    #handle(group: string, event: MonitorEvent): void {
        let watch = this.#watches.get(group);
        if (watch === undefined) {
            watch = new PrimaryMonitor(group);
            this.#watches.set(group, watch);
        }
        for (const effect of watch.handle(event, this.#view(group), this.#options.clock.now())) {
            (this.#executors[effect.kind] as (group: string, effect: MonitorEffect) => void)(group, effect);
        }
    }

    #view(group: string): MonitorView {
        return {
            endpoints: this.#options.directory.currentEndpoints(group),
            entries: this.#options.entries(),
            nextFencingToken: () => {
                this.#fences += 1;
                return this.#term * FENCES_PER_TERM + this.#fences;
            },
        };
    }

    async #read(group: string, endpoint: string): Promise<void> {
        const term = this.#term;
        const record = this.#options.directory.record(endpoint);
        const status = record === undefined
            ? undefined
            : await readEndpoint(this.#options.connector, record, POSITION_QUERY_TIMEOUT_MS);
        if (term !== this.#term) {
            return;
        }
        const reading = status === undefined
            ? undefined
            : { leads: status.leads, term: status.received.term, number: status.received.number };
        this.#handle(group, { kind: "reading", endpoint, reading });
    }

    async #promote(group: string, order: PromotionOrder): Promise<void> {
        const term = this.#term;
        this.#options.ordered(order);
        const outcome = await this.#options.authority.promote({ ...order, holder: this.#options.holder });
        this.#options.event("promotionAnswered", { ...order, outcome });
        if (term === this.#term) {
            this.#handle(group, { kind: "ordered", fence: order.fence, outcome });
        }
    }
}
