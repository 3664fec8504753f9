import { type EndpointRecord, EndpointRole, EndpointState, type PromotionOrder } from "@medlarledge/protocol";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { MonitorEffect, MonitorEvent } from "../src/monitor-types.js";
import type { OrderOutcome } from "../src/open-orders.js";
import { PrimaryMonitor } from "../src/primary-monitor.js";
import type { MonitorReport } from "../src/primary-reports.js";

const STEP_MS = 10;
const TICK_MS = 50;
const COMMIT_INTERVAL_MS = 20;
const REPORT_INTERVAL_MS = 400;
/** Time from a promotion call to its effect. */
const PROMOTION_MS = 600;
const ANSWER_TIMEOUT_MS = 800;
/** The longest time for which a host that hears no order goes on. */
const LEASE_MS = 1_500;
const HOSTS = ["e1", "e2", "e3"];
/** Fencing tokens of one term of the control group. */
const FENCES_PER_TERM = 1_000;

/** An endpoint and what it has received of the log. */
interface SimulatedEndpoint {
    record: EndpointRecord;
    log: readonly number[];
    /** Term of the primary that it last received from, or its own as the primary. */
    term: number;
    isUp: boolean;
    isDeaf: boolean;
}

interface Due {
    readonly at: number;
    readonly run: () => void;
}

/**
 * One group whose replicas acknowledge commits, its platform, its entry hosts and the leader of the control group, under
 * random faults: primaries crash for a while, a replica receives nothing for a while, replicas are replaced as planned,
 * calls are carried out late or their answers are lost, and the control group changes its leader.
 */
export class PromotionSchedule {
    readonly lost: string[] = [];
    readonly #random;
    readonly #endpoints: SimulatedEndpoint[] = [];
    readonly #acknowledged = new Set<number>();
    readonly #reported = new Map<string, string>();
    /** The newest order that each entry host knows. */
    readonly #known = new Map<string, PromotionOrder>();
    /** The newest order in the log of the control group. */
    #ordered: PromotionOrder | undefined;
    #dues: Due[] = [];
    #now = 0;
    #commitCount = 0;
    #controlTerm = 1;
    #fenceCount = 0;
    #seenFence = 0;
    #startCount = 0;
    #promotionUntil = 0;
    #monitor = new PrimaryMonitor("orders", false);

    constructor(seed: number) {
        this.#random = xoroshiro128plus(seed);
        ["a", "b", "c"].forEach((id, index) => this.#start(id, index, [], 1));
        this.#setPrimary(this.#endpoint("a"), 1);
    }

    get commits(): number {
        return this.#acknowledged.size;
    }

    get primary(): SimulatedEndpoint | undefined {
        return this.#endpoints.find(({ record }) => isPresent(record) && record.role === EndpointRole.Primary);
    }

    run(durationMs: number): void {
        let nextFaultAt = 1_000;
        while (this.#now < durationMs) {
            this.#now += STEP_MS;
            const due = this.#dues.filter(({ at }) => at <= this.#now);
            this.#dues = this.#dues.filter(({ at }) => at > this.#now);
            due.forEach(({ run }) => run());
            this.#replicate();
            if (this.#now % TICK_MS === 0) {
                this.#report();
                this.#handle({ kind: "tick" });
            }
            if (this.#now >= nextFaultAt && this.#now < durationMs - 15_000) {
                this.#fault();
                nextFaultAt = this.#now + this.#between(200, 3_000);
            }
        }
    }

    #between(low: number, high: number): number {
        return uniformInt(this.#random, low, high);
    }

    #isLikely(percent: number): boolean {
        return this.#between(1, 100) <= percent;
    }

    #later(delayMs: number, run: () => void): void {
        this.#dues.push({ at: this.#now + delayMs, run });
    }

    #endpoint(id: string): SimulatedEndpoint {
        const endpoint = this.#endpoints.findLast(({ record }) => record.id === id);
        if (endpoint === undefined) {
            throw new Error(`no endpoint ${id}`);
        }
        return endpoint;
    }

    #start(id: string, place: number, log: readonly number[], term: number): void {
        this.#startCount += 1;
        const record: EndpointRecord = {
            id,
            group: "orders",
            dataCentre: "d1",
            host: `10.0.0.${place}`,
            port: 1,
            slots: 2,
            born: this.#startCount,
            sequence: 1,
            state: EndpointState.Active,
            role: EndpointRole.Replica,
        };
        this.#endpoints.push({ record, log, term, isUp: true, isDeaf: false });
    }

    /** The chosen endpoint leads; the others lose what it has not received. */
    #setPrimary(chosen: SimulatedEndpoint, term: number): void {
        const missing = [...this.#acknowledged].filter(commit => !chosen.log.includes(commit));
        if (missing.length > 0) {
            this.lost.push(`${chosen.record.id} at ${this.#now} ms lacks ${missing.length} acknowledged commits`);
        }
        for (const endpoint of this.#endpoints) {
            const role = endpoint === chosen ? EndpointRole.Primary : EndpointRole.Replica;
            endpoint.record = { ...endpoint.record, role };
            endpoint.log = endpoint.log.filter(commit => chosen.log.includes(commit));
            endpoint.term = endpoint === chosen ? term : endpoint.term;
        }
    }

    /** The primary commits, and the commits are acknowledged that a replica has received as well. */
    #replicate(): void {
        const { primary } = this;
        if (primary?.isUp !== true) {
            return;
        }
        if (this.#now % COMMIT_INTERVAL_MS === 0) {
            this.#commitCount += 1;
            primary.log = [...primary.log, this.#commitCount];
        }
        const receiving = this.#endpoints.filter(endpoint =>
            endpoint !== primary && endpoint.isUp && !endpoint.isDeaf && isPresent(endpoint.record)
        );
        for (const replica of receiving) {
            replica.log = primary.log;
            replica.term = primary.term;
        }
        if (receiving.length > 0 && HOSTS.some(host => this.#mayAcknowledge(host, primary.record.id))) {
            primary.log.forEach(commit => this.#acknowledged.add(commit));
        }
    }

    #mayAcknowledge(host: string, primary: string): boolean {
        return (this.#known.get(host)?.endpoint ?? primary) === primary;
    }

    #report(): void {
        const { primary } = this;
        if (primary === undefined) {
            return;
        }
        const { record: { id }, term, isUp: reachable } = primary;
        for (const host of HOSTS) {
            const state = `${id} ${term} ${reachable} ${reachable ? 0 : Math.floor(this.#now / REPORT_INTERVAL_MS)}`;
            if (this.#reported.get(host) !== state) {
                this.#reported.set(host, state);
                this.#reportBy(host, { endpoint: id, term, reachable });
            }
        }
    }

    #reportBy(host: string, report: MonitorReport): void {
        this.#later(this.#between(1, 20), () => this.#handle({ kind: "report", from: host, report }));
    }

    #handle(event: MonitorEvent): void {
        const present = this.#endpoints.map(({ record }) => record).filter(isPresent);
        const left = this.#endpoints.map(({ record }) => record).filter(record => !isPresent(record));
        const monitor = this.#monitor;
        const effects = monitor.handle(event, {
            endpoints: present,
            departed: left.filter(({ host, born }) => !this.#hasSuccessor(host, born)),
            entries: HOSTS,
            orderedPrimary: this.#ordered?.endpoint,
            newerOrdersVoidEarlier: true,
            syncReplicas: 1,
            nextFencingToken: () => this.#controlTerm * FENCES_PER_TERM + (this.#fenceCount += 1),
            takePrimaryCheck: () => true,
        }, this.#now);
        effects.forEach(effect => this.#execute(effect, monitor));
    }

    #hasSuccessor(host: string, born: number): boolean {
        return this.#endpoints.some(({ record }) => record.host === host && record.born > born);
    }

    /** Executes an effect of a monitor; what comes back to a former leader's monitor is ignored. */
    #execute(effect: MonitorEffect, monitor: PrimaryMonitor): void {
        const answer = (event: MonitorEvent): void => {
            if (monitor === this.#monitor) {
                this.#handle(event);
            }
        };
        switch (effect.kind) {
            case "check":
                HOSTS.forEach(host => {
                    const { term, isUp: reachable } = this.#endpoint(effect.endpoint);
                    this.#reportBy(host, { endpoint: effect.endpoint, term, reachable });
                });
                break;
            case "read":
                this.#later(this.#between(5, 150), () => {
                    const { isUp, record, term, log } = this.#endpoint(effect.endpoint);
                    const reading = isUp && isPresent(record)
                        ? { leads: record.role === EndpointRole.Primary, term, number: log.length, isExact: true }
                        : undefined;
                    answer({ kind: "reading", endpoint: effect.endpoint, reading, round: effect.round });
                });
                break;
            case "suspend":
                this.#announce(effect.order, () => {
                    answer({
                        kind: "suspended",
                        fence: effect.order.fence,
                        isConfirmed: this.#ordered === effect.order,
                    });
                });
                break;
            case "promote":
                if (!effect.isAnnounced) {
                    this.#give(effect.order, answer);
                    break;
                }
                // A former leader may still give an order that all hosts have confirmed.
                this.#announce(effect.order, () => {
                    if (this.#ordered === effect.order) {
                        this.#give(effect.order, answer);
                    }
                });
                break;
            case "confirm":
                this.#give(effect.order, answer);
                break;
            case "event":
                break;
        }
    }

    /** Commits an order to the log, sends it to all hosts, and reports when each has confirmed it or has no lease. */
    #announce(order: PromotionOrder, confirmed: () => void): void {
        this.#ordered = order;
        const delays = HOSTS.map(host => {
            const delayMs = this.#isLikely(10) ? this.#between(200, LEASE_MS) : this.#between(1, 20);
            this.#later(delayMs, () => {
                if ((this.#known.get(host)?.fence ?? 0) < order.fence) {
                    this.#known.set(host, order);
                }
            });
            return delayMs;
        });
        this.#later(Math.max(...delays) + STEP_MS, confirmed);
    }

    #give(order: PromotionOrder, answer: (event: MonitorEvent) => void): void {
        answer({ kind: "sent", order });
        this.#call(order, outcome => answer({ kind: "ordered", fence: order.fence, outcome }));
    }

    /** The platform's part: a call is carried out at once or late, and its answer may be lost. */
    #call(order: PromotionOrder, answered: (outcome: OrderOutcome) => void): void {
        const isLate = this.#isLikely(35);
        const isAnswered = !isLate && !this.#isLikely(10);
        this.#later(isLate ? this.#between(2_000, 9_000) : this.#between(5, 50), () => {
            const outcome = this.#carryOut(order);
            if (isAnswered) {
                answered(outcome);
            }
        });
        if (!isAnswered) {
            this.#later(ANSWER_TIMEOUT_MS, () => answered("unknown"));
        }
    }

    #carryOut({ endpoint, fence }: PromotionOrder): OrderOutcome {
        const chosen = this.#endpoint(endpoint);
        if (fence < this.#seenFence || !chosen.isUp || !isPresent(chosen.record)) {
            return "refused";
        }
        this.#seenFence = fence;
        if (chosen !== this.primary) {
            this.#promotionUntil = this.#now + PROMOTION_MS;
            this.#later(PROMOTION_MS, () => {
                if (chosen.isUp && isPresent(chosen.record) && chosen !== this.primary) {
                    this.#setPrimary(chosen, Math.max(...this.#endpoints.map(({ term }) => term)) + 1);
                }
            });
        }
        return "accepted";
    }

    #fault(): void {
        const faults = [this.#crash, this.#crash, this.#deafen, this.#drain, this.#replace, this.#changeLeader];
        faults[this.#between(0, faults.length - 1)]?.call(this);
    }

    /** The primary is down for a while, and comes back with its log; not while it is about to lose the lead. */
    #crash(): void {
        const { primary } = this;
        if (primary?.isUp !== true || primary.record.state !== EndpointState.Active) {
            return;
        }
        primary.isUp = false;
        const back = (): void => {
            if (this.#now < this.#promotionUntil) {
                this.#later(PROMOTION_MS, back);
                return;
            }
            primary.isUp = true;
        };
        this.#later(this.#between(300, 7_000), back);
    }

    /** One replica receives nothing for a while, also while an order takes effect; one at a time. */
    #deafen(): void {
        const replicas = this.#endpoints.filter(({ record }) =>
            isPresent(record) && record.role === EndpointRole.Replica
        );
        const replica = replicas[this.#between(0, Math.max(0, replicas.length - 1))];
        if (replica !== undefined && !replicas.some(({ isDeaf }) => isDeaf)) {
            replica.isDeaf = true;
            this.#later(this.#between(500, 6_500), () => (replica.isDeaf = false));
        }
    }

    /** The primary drains while it serves on; it ends once another endpoint leads. */
    #drain(): void {
        const { primary } = this;
        const present = this.#endpoints.filter(({ record }) => isPresent(record));
        if (primary?.isUp !== true || present.length < 3 || present.some(({ record }) => record.state !== "active")) {
            return;
        }
        const { id, host } = primary.record;
        primary.record = { ...primary.record, state: EndpointState.Leaving };
        const end = (): void => {
            if (primary === this.primary || this.#now < this.#promotionUntil) {
                this.#later(PROMOTION_MS, end);
                return;
            }
            primary.isUp = false;
            primary.record = { ...primary.record, state: EndpointState.Left };
            const start = (): void => this.#start(`${id}'`, Number(host.split(".").at(-1)), primary.log, primary.term);
            this.#later(this.#between(500, 3_000), start);
        };
        this.#later(PROMOTION_MS, end);
    }

    /** A replica drains and ends; another endpoint starts later at its address with its log. One at a time. */
    #replace(): void {
        const present = this.#endpoints.filter(({ record }) => isPresent(record));
        const replica = present.find(({ record, isUp }) => isUp && record.role === EndpointRole.Replica);
        if (replica === undefined || present.length < 3 || present.some(({ record }) => record.state !== "active")) {
            return;
        }
        const { id, host } = replica.record;
        replica.record = { ...replica.record, state: EndpointState.Leaving };
        this.#later(this.#between(300, 2_000), () => {
            if (replica === this.primary) {
                replica.record = { ...replica.record, state: EndpointState.Active };
                return;
            }
            replica.isUp = false;
            replica.record = { ...replica.record, state: EndpointState.Left };
            const start = (): void => this.#start(`${id}'`, Number(host.split(".").at(-1)), replica.log, replica.term);
            this.#later(this.#between(500, 3_000), start);
        });
    }

    /** Another control host leads, which knows of no order. */
    #changeLeader(): void {
        this.#controlTerm += 1;
        this.#fenceCount = 0;
        this.#monitor = new PrimaryMonitor("orders", true);
        this.#reported.clear();
    }
}

function isPresent({ state }: EndpointRecord): boolean {
    return state !== EndpointState.Left;
}
