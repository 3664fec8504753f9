import type { SimulatedHost } from "./simulated-host.js";
import { change, type World } from "./world.js";

/** One stage at which a fault is injected. */
export interface Step {
    readonly name: string;
    /** What the world reports when the stage is reached. */
    readonly trigger: string;
    readonly scenario: Scenario;
}

/** Brings the world to the stages of a group. */
type Scenario = (world: World) => void;

/** Time in which a drain must end. */
const DRAIN_MS = 10_000;

const request: Scenario = () => undefined;

/** Longer than three missed probes. */
const SUSPICION_MS = 1_000;

const failover: Scenario = world => world.primary?.end();

/** One host loses sight of the primary for a while, so that the leader asks the others. */
const suspicion: Scenario = world => {
    const { primary } = world;
    if (primary !== undefined) {
        world.network.cut("h1", primary.id);
        world.time.at(SUSPICION_MS, () => world.network.join("h1", primary.id));
    }
};

const configuration: Scenario = world => void world.apply("h3", change(2, "second"));

/** A control host loses its disk and joins again under a new member id. */
const membership: Scenario = world => {
    const host = world.host("h2");
    host?.end();
    host?.disk.wipe();
    void host?.start();
};

const drain: Scenario = world => {
    const host = world.host("h1");
    if (host !== undefined) {
        void drainHost(world, host);
    }
};

const start: Scenario = world => {
    const host = world.host("h1");
    host?.end();
    void host?.start();
};

const election: Scenario = world => world.leader?.end();

const STAGES: Readonly<Record<string, readonly [Scenario, Readonly<Record<string, string>>]>> = {
    "request": [request, {
        "write received": "caller:write",
        "read received": "caller:read",
        "write sent": "sent:INSERT",
        "read sent": "sent:SELECT",
        "write run": "executed:INSERT",
        "read run": "executed:SELECT",
        "write answered": "caller:done",
    }],
    "transaction": [request, {
        "begin received": "caller:begin",
        "begin sent": "sent:BEGIN",
        "first statement received": "caller:first",
        "commit received": "caller:commit",
        "commit run": "executed:COMMIT",
        "commit answered": "caller:committed",
    }],
    // When a primary ends, all hosts report it at the same time and nobody has to be asked.
    "suspicion": [suspicion, {
        "one report": "send:endpointObservation",
        "confirmation": "send:confirmEndpoint",
    }],
    "failover": [failover, {
        "suspicion": "send:endpointObservation",
        "revocation": "send:revoke",
        "revoked": "send:revoked",
        "replicas read": "read:endpoint",
        "term begun": "propose:beginTerm",
        "promotion ordered": "promote:ordered",
        "promotion answered": "promote:answered",
        "term started": "propose:startTerm",
        "view sent": "send:viewUpdate",
    }],
    "configuration": [configuration, {
        "requested": "send:leaderRequest",
        "proposed": "propose:changeConfiguration",
        "accepted": "configuration:accepted",
        "sent": "send:configurationUpdate",
        "in force": "configuration:inForce",
    }],
    "membership": [membership, {
        "join asked": "membership:asked",
        "learner proposed": "membership:proposed1",
        "learner added": "membership:learners1",
        "former member removed": "membership:removed",
        "learner promoted": "membership:promoted",
    }],
    "drain": [drain, {
        "begun": "drain:begun",
        "requests running": "drain:running",
        "ended": "drain:ended",
    }],
    "start": [start, {
        "process begun": "start:begun",
        "disk recovered": "start:recovered",
        "view received": "send:viewUpdate",
        "first lease": "lease:first",
    }],
    "election": [election, {
        "leader elected": "leader:elected",
        "leadership opened": "propose:openLeadership",
        "first write to disk": "disk:write",
        "lease regained": "lease:first",
    }],
};

/** Every stage of every group, as `group: stage`. */
export const STEPS: readonly Step[] = Object.entries(STAGES).flatMap(([group, [scenario, stages]]) =>
    Object.entries(stages).map(([stage, trigger]) => ({ name: `${group}: ${stage}`, trigger, scenario }))
);

async function drainHost(world: World, host: SimulatedHost): Promise<void> {
    const { id } = host;
    host.entry.draining = true;
    world.record({ kind: "drainBegun", at: world.time.now, host: id });
    const drained = host.proxy.drain(world.time.now + DRAIN_MS);
    world.reach("drain:begun");
    world.time.at(1, () => world.reach("drain:running"));
    const ended = host.ended();
    const report = await Promise.race([drained, ended]);
    if (report !== undefined) {
        world.record({ kind: "drainEnded", at: world.time.now, host: id, cut: report.cut });
        world.reach("drain:ended");
        host.end();
    }
}
