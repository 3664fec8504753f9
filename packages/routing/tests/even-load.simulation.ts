import { chooseForRead, EndpointLoad, LoadAwareChoice, LoadEstimate, Random } from "../src/index.js";

/** One data centre's hosts and one group of three endpoints, as on the grown deployment with 135 hosts. */
const HOSTS = 135;
const HOLDERS_PER_ENDPOINT = 16;
const SLOTS = 5;
const SERVICE_MS = 9;
const REQUIRED = { term: 1, number: 0 };

export const Chooser = {
    LoadAware: "loadAware",
    /** The choice without load reports. */
    Cheapest: "cheapest",
    TwoRandom: "twoRandom",
    Omniscient: "omniscient",
} as const;
export type Chooser = (typeof Chooser)[keyof typeof Chooser];

export interface SimulationOptions {
    readonly chooser: Chooser;
    readonly load: number;
    /** Delay of answers and of the reports in them. */
    readonly ageMs: number;
    readonly durationMs: number;
    /** Factor on the service time of the last endpoint, by time. */
    readonly slowness?: (now: number) => number;
    /** Share of orders that the last endpoint answers with an error at once, by time. */
    readonly failures?: (now: number) => number;
    readonly seed: number;
}

export interface SimulationResult {
    /** Waits for a slot of the orders after the first second, ascending. */
    readonly waitsMs: readonly number[];
    /** Orders by endpoint in windows of 500 ms after the first second. */
    readonly windows: readonly (readonly number[])[];
    /** Orders that failed in each window. */
    readonly failed: readonly number[];
}

interface Endpoint {
    readonly id: string;
    /** Times at which the slots become free. */
    readonly freeAt: number[];
    readonly holders: readonly { readonly load: EndpointLoad; readonly estimate: LoadEstimate; }[];
    outstanding: number;
}

interface Host {
    readonly choice: LoadAwareChoice;
    readonly loads: readonly { readonly load: EndpointLoad; readonly estimate: LoadEstimate; }[];
}

const WINDOW_MS = 500;
const WARM_UP_MS = 1_000;

/** Simulates hosts that divide reads among three endpoints. */
export function simulate(options: SimulationOptions): SimulationResult {
    const random = new Random(options.seed);
    const measured = () => {
        const load = new EndpointLoad();
        return { load, estimate: new LoadEstimate(load) };
    };
    const endpoints: Endpoint[] = ["a", "b", "c"].map(id => ({
        id,
        freeAt: Array.from({ length: SLOTS }, () => 0),
        holders: Array.from({ length: HOLDERS_PER_ENDPOINT }, measured),
        outstanding: 0,
    }));
    const hosts: Host[] = Array.from({ length: HOSTS }, () => ({
        choice: new LoadAwareChoice(() => random.unit()),
        loads: endpoints.map(measured),
    }));
    const actions = new Map<number, (() => void)[]>();
    const at = (time: number, action: () => void): void => {
        const tick = Math.ceil(time);
        actions.set(tick, [...actions.get(tick) ?? [], action]);
    };
    const windowCount = Math.floor((options.durationMs - WARM_UP_MS) / WINDOW_MS);
    const windows = Array.from({ length: windowCount }, () => endpoints.map(() => 0));
    const failed = windows.map(() => 0);
    const waitsMs: number[] = [];
    const perMs = options.load * SLOTS * endpoints.length / SERVICE_MS;
    let next = 0;
    for (let now = 1; now < options.durationMs; now++) {
        for (const action of actions.get(now) ?? []) {
            action();
        }
        actions.delete(now);
        for (; next < now; next += -Math.log(1 - random.unit()) / perMs) {
            const host = hosts[random.below(HOSTS)]!;
            const index = choose(options.chooser, host, endpoints, random, now);
            const endpoint = endpoints[index]!;
            const holder = endpoint.holders[random.below(HOLDERS_PER_ENDPOINT)]!;
            const own = host.loads[index]!;
            host.choice.sent(endpoint.id);
            const isLast = index === endpoints.length - 1;
            const fails = isLast && random.unit() < (options.failures?.(now) ?? 0);
            const meanMs = fails ? 1 : SERVICE_MS * (isLast ? options.slowness?.(now) ?? 1 : 1);
            const serviceMs = meanMs * (0.5 + random.unit());
            const slot = endpoint.freeAt.indexOf(Math.min(...endpoint.freeAt));
            const startAt = Math.max(now, endpoint.freeAt[slot]!);
            endpoint.freeAt[slot] = startAt + serviceMs;
            endpoint.outstanding += 1;
            own.load.started();
            holder.load.started();
            const window = Math.floor((now - WARM_UP_MS) / WINDOW_MS);
            if (window >= 0 && window < windowCount) {
                waitsMs.push(startAt - now);
                windows[window]![index]! += 1;
                failed[window]! += fails ? 1 : 0;
            }
            at(startAt + serviceMs, () => {
                const endedAt = startAt + serviceMs;
                endpoint.outstanding -= 1;
                const heldMs = fails ? Math.max(endedAt - now, holder.load.overdueMs(endedAt)) : endedAt - now;
                holder.load.ended(heldMs, endedAt);
                holder.estimate.ended(heldMs, fails, endedAt);
                const report = holder.estimate.report(endedAt);
                at(endedAt + options.ageMs, () => {
                    const answeredAt = endedAt + options.ageMs;
                    const tookMs = fails ? Math.max(endedAt - now, own.load.overdueMs(answeredAt)) : endedAt - now;
                    own.load.ended(tookMs, answeredAt);
                    own.estimate.ended(tookMs, fails, answeredAt);
                    own.estimate.reported({ ...report, ageMs: report.ageMs + options.ageMs }, tookMs, answeredAt);
                });
            });
        }
    }
    return { waitsMs: waitsMs.sort((left, right) => left - right), windows, failed };
}

function choose(chooser: Chooser, host: Host, endpoints: readonly Endpoint[], random: Random, now: number): number {
    if (chooser === Chooser.Omniscient) {
        const backlogs = endpoints.map(endpoint => Math.min(...endpoint.freeAt));
        return backlogs.indexOf(Math.min(...backlogs));
    }
    const targets = host.loads.map(({ load, estimate }, index) => ({
        id: endpoints[index]!.id,
        isPrimary: false,
        isLocal: true,
        isExpectedCaughtUp: true,
        slots: SLOTS,
        failureShare: estimate.failureShare(now),
        expectedMs: chooser === Chooser.LoadAware ? estimate.expectedMs(SLOTS, now) : load.expectedMs(SLOTS, now),
    }));
    if (chooser === Chooser.TwoRandom) {
        const first = random.below(targets.length);
        const second = (first + 1 + random.below(targets.length - 1)) % targets.length;
        return targets[first]!.expectedMs <= targets[second]!.expectedMs ? first : second;
    }
    const choice = chooser === Chooser.LoadAware
        ? host.choice.choose({ required: REQUIRED, targets, primaryFactor: 1 })
        : chooseForRead({ required: REQUIRED, targets, random: random.unit() });
    return endpoints.findIndex(endpoint => endpoint.id === choice?.endpoint);
}

/** Orders of the busiest endpoint against the mean, in the worst window. */
export function worstImbalance({ windows }: SimulationResult): number {
    return Math.max(...windows.map(counts => {
        const mean = counts.reduce((sum, count) => sum + count, 0) / counts.length;
        return Math.max(...counts) / Math.max(1, mean);
    }));
}

export function percentile(sorted: readonly number[], share: number): number {
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}
