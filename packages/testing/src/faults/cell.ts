import type { Fault } from "./fault-table.js";
import { InvariantChecker, LIMITS } from "./invariant-checker.js";
import type { Step } from "./steps.js";
import { Workload } from "./workload.js";
import { REPLICATED, World } from "./world.js";

/** A fault, or a pair of faults, that is injected when a step is reached. */
export interface Cell {
    readonly name: string;
    readonly step: Step;
    readonly faults: readonly Fault[];
    /** Time from the step to each fault, in ms. */
    readonly offsetsMs: readonly number[];
}

export type CellResult =
    | { readonly kind: "held"; }
    | { readonly kind: "violated"; readonly details: readonly string[]; readonly traces: readonly string[]; }
    | { readonly kind: "impossible"; readonly reason: string; };

/** Longest time until writes are accepted again after healing (design.md, section 1.5). */
const LIVENESS_MS = 8_000;
const WARM_UP_MS = 300;
const REACH_MS = 6_000;
const SLICE_MS = 250;
const AFTER_MS = 1_000;

/** Runs one cell: workload, scenario, fault at the step, healing, and the check of everything recorded. */
export async function runCell(cell: Cell, seed: number, conditions = REPLICATED): Promise<CellResult> {
    const reason = impossible(cell);
    if (reason !== undefined) {
        return { kind: "impossible", reason };
    }
    const world = await World.start(seed, conditions);
    const workload = new Workload(world);
    await world.run(WARM_UP_MS);
    const injectedAt = await inject(world, cell);
    if (injectedAt === undefined) {
        return { kind: "violated", details: ["harness: the step was never reached"], traces: world.traces };
    }
    const last = Math.max(...cell.faults.map((fault, index) => (cell.offsetsMs[index] ?? 0) + fault.durationMs));
    await world.run(last + 1 - (world.time.now - injectedAt));
    await heal(world);
    const healedAt = world.time.now;
    world.record({ kind: "healed", at: healedAt });
    await settle(world, healedAt);
    while (!workload.stop()) {
        await world.run(SLICE_MS);
    }
    await world.run(SLICE_MS);
    const details = verdict(world, healedAt);
    return details.length === 0 ? { kind: "held" } : { kind: "violated", details, traces: world.traces };
}

/** Stages at which the primary of the old term is down and the new one does not serve yet. */
const BEFORE_NEW_PRIMARY = /^failover: (?!view sent)/;

function impossible({ step, faults }: Cell): string | undefined {
    const fault = faults.find(({ needsPrimary }) => needsPrimary);
    return fault !== undefined && BEFORE_NEW_PRIMARY.test(step.name)
        ? "no primary serves at this step: the old one is down and the new one is not in use"
        : undefined;
}

async function inject(world: World, { step, faults, offsetsMs }: Cell): Promise<number | undefined> {
    let injectedAt: number | undefined;
    world.reach = trigger => {
        if (trigger !== step.trigger || injectedAt !== undefined) {
            return;
        }
        injectedAt = world.time.now;
        world.trace(`reached ${step.name}`);
        faults.forEach((fault, index) => world.time.at(offsetsMs[index] ?? 0, () => injectOne(world, fault)));
    };
    step.scenario(world);
    const end = world.time.now + REACH_MS;
    while (injectedAt === undefined && world.time.now < end) {
        await world.run(10);
    }
    return injectedAt;
}

function injectOne(world: World, fault: Fault): void {
    world.trace(`injects: ${fault.name}`);
    const healOne = fault.inject(world);
    if (healOne === undefined) {
        world.missed.push(fault.name);
        return;
    }
    world.time.at(fault.durationMs, () => {
        world.trace(`heals: ${fault.name}`);
        healOne();
    });
}

/** Restarts what the scenario ended; an operator rebuilds former primaries as replicas once a term has started. */
async function heal(world: World): Promise<void> {
    for (const endpoint of world.endpoints.filter(({ alive }) => !alive)) {
        endpoint.start();
    }
    await Promise.all(world.hosts.map(host => host.start()));
    const rebuild = (): void => {
        world.time.at(SLICE_MS, rebuild);
        const { primary } = world;
        for (const endpoint of world.endpoints) {
            if (primary?.isReplica === false && endpoint !== primary && !endpoint.isReplica) {
                endpoint.rebuild(primary);
            }
        }
    };
    rebuild();
}

async function settle(world: World, healedAt: number): Promise<void> {
    while (world.time.now < healedAt + LIVENESS_MS && !(acceptsWrites(world, healedAt) && inForce(world))) {
        await world.run(SLICE_MS);
    }
    await world.run(AFTER_MS);
}

function acceptsWrites(world: World, healedAt: number): boolean {
    const sent = new Set(
        world.history.flatMap(event => event.kind === "writeSent" && event.at >= healedAt ? [event.row] : []),
    );
    return world.history.some(event =>
        event.kind === "writeAnswered" && event.outcome === "done" && sent.has(event.row)
        && event.at <= healedAt + LIVENESS_MS
    );
}

function inForce(world: World): boolean {
    const highest = Math.max(
        ...world.history.map(event => event.kind === "configurationAccepted" ? event.number : 0),
    );
    return world.hosts.every(host => (world.savedConfiguration(host.id)?.number ?? 0) >= highest);
}

function verdict(world: World, healedAt: number): readonly string[] {
    const rows = world.primary?.rows ?? [];
    const hosts = world.hosts.filter(host => host.alive).map(({ id }) => id);
    world.record({ kind: "end", at: world.time.now, rows, hosts });
    const broken = new InvariantChecker({ ...LIMITS, durable: world.conditions.acknowledge === "replica" }).check(
        world.history,
    ).map(({ invariant, detail }) => `${invariant}: ${detail}`);
    const missed = world.missed.map(name => `harness: ${name} had no target`);
    return acceptsWrites(world, healedAt)
        ? [...missed, ...broken]
        : [...missed, ...broken, `liveness: no write accepted within ${LIVENESS_MS} ms after healing`];
}
