import type { SimulatedEndpoint } from "./simulated-endpoint.js";
import type { SimulatedHost } from "./simulated-host.js";
import { change, CONTROL_HOSTS, DATABASE, type World } from "./world.js";

/** One kind of fault. `inject` starts it and returns what heals it; undefined when it had no target. */
export interface Fault {
    readonly name: string;
    readonly durationMs: number;
    readonly inject: (world: World) => (() => void) | undefined;
    /** The fault needs a primary that runs. */
    readonly needsPrimary: boolean;
}

const nothing = (): void => undefined;

const FAR_BEHIND_MS = 3_000;
const JUMP_MS = 10_000;
const MANY_CHANGES = 300;
const REPAIR_MS = 2_000;

function primary(world: World): SimulatedEndpoint | undefined {
    return world.primary?.alive === true ? world.primary : world.endpoints.find(endpoint => endpoint.alive);
}

function replica(world: World): SimulatedEndpoint | undefined {
    return world.endpoints.find(endpoint => endpoint.alive && endpoint !== primary(world));
}

function control(world: World, leads: boolean): SimulatedHost | undefined {
    const hosts = world.hosts.filter(host => CONTROL_HOSTS.includes(host.id) && host.alive);
    return hosts.find(host => (host === world.leader) === leads) ?? hosts[0];
}

/** Cuts a side off from everything else. */
function separate(world: World, side: readonly string[]): () => void {
    const others = [...world.hosts, ...world.endpoints].map(({ id }) => id).filter(id => !side.includes(id));
    side.forEach(left => others.forEach(right => world.network.cut(left, right)));
    return () => side.forEach(left => others.forEach(right => world.network.join(left, right)));
}

function withPrimary(inject: (endpoint: SimulatedEndpoint, world: World) => () => void): Fault["inject"] {
    return world => {
        const endpoint = primary(world);
        return endpoint && inject(endpoint, world);
    };
}

function withControl(leads: boolean, inject: (host: SimulatedHost, world: World) => () => void): Fault["inject"] {
    return world => {
        const host = control(world, leads);
        return host && inject(host, world);
    };
}

/** A number that no operator has used yet. */
function nextNumber(world: World): number {
    const numbers = world.history.flatMap(event => event.kind === "configurationAccepted" ? [event.number] : []);
    return Math.max(2, ...numbers) + 1;
}

const failDisk = (operation: "write" | "sync", code: string): Fault["inject"] =>
    withControl(true, host => {
        host.disk.break(operation, code);
        return () => {
            host.disk.heal();
            void host.start();
        };
    });

const fault = (name: string, durationMs: number, inject: Fault["inject"], needsPrimary = false): Fault => ({
    name,
    durationMs,
    inject,
    needsPrimary,
});

/** Every fault of design.md, section 1.3, and those of processes, disks and endpoints. */
export const FAULTS: readonly Fault[] = [
    fault("primary cut off", 3_000, withPrimary(({ id }, world) => separate(world, [id, "h3"])), true),
    fault("replica far behind", 2_500, world => {
        const endpoint = replica(world);
        if (endpoint === undefined) {
            return undefined;
        }
        const former = endpoint.lagMs;
        endpoint.lagMs = FAR_BEHIND_MS;
        return () => {
            endpoint.lagMs = former;
        };
    }),
    fault("entry host killed", 1_000, world => {
        const host = world.host("h3");
        host?.end();
        return () => void host?.start();
    }),
    fault("control host cut off", 6_000, withControl(false, ({ id }, world) => separate(world, [id]))),
    fault("operators race", 100, world => {
        const number = nextNumber(world);
        void world.apply("h0", change(number, "left", "anna"));
        void world.apply("h1", change(number, "right", "bert"));
        return nothing;
    }),
    fault("answer lost", 800, world => {
        const configuration = change(nextNumber(world), "resent");
        void world.apply("h3", configuration);
        let join = nothing;
        world.time.at(2, () => {
            join = separate(world, ["h3"]);
        });
        return () => {
            join();
            void world.apply("h0", configuration);
        };
    }),
    fault("second host lost after a repair", REPAIR_MS + 1_500, world => {
        const repaired = world.host("h2");
        repaired?.end();
        repaired?.disk.wipe();
        void repaired?.start();
        let second: SimulatedHost | undefined;
        world.time.at(REPAIR_MS, () => {
            second = world.hosts.find(host => host.alive && host !== repaired && CONTROL_HOSTS.includes(host.id));
            second?.end();
        });
        return () => void second?.start();
    }),
    fault("restart after hundreds of changes", 600, world => {
        // An announcement behind its leave would take a leaving endpoint back.
        const endpoint = ["b", "c", "a"].map(id => world.endpoint(id)).find(item => item?.leaving === false);
        for (let count = 1; count <= MANY_CHANGES; count++) {
            void world.tell("announce", {
                ...endpoint?.description,
                database: DATABASE,
                sequence: world.nextSequence(),
            });
        }
        const hosts = CONTROL_HOSTS.map(name => world.host(name));
        world.time.at(300, () => hosts.forEach(host => host?.end()));
        return () => hosts.forEach(host => void host?.start());
    }),
    fault(
        "data centre cut off",
        3_000,
        withPrimary(({ description }, world) => {
            const inside = world.hosts.filter(host => host.dataCentre === description.dataCentre).map(({ id }) => id);
            return separate(world, [description.id, ...inside]);
        }),
    ),
    fault(
        "process paused",
        1_500,
        withControl(true, host => {
            host.pause();
            return () => host.resume();
        }),
    ),
    fault("clock jumped", 500, world => {
        const hosts = [world.host("h3"), control(world, true)];
        hosts.forEach(host => host === undefined ? undefined : host.wallOffset += JUMP_MS);
        return nothing;
    }),
    fault("disk slow", 2_000, world => {
        const hosts = [control(world, true), control(world, false)];
        hosts.forEach(host => host === undefined ? undefined : host.disk.syncMs = 80);
        return () => hosts.forEach(host => host?.disk.heal());
    }),
    fault("sync failed", 1_500, failDisk("sync", "EIO")),
    fault("disk full", 1_500, failDisk("write", "ENOSPC")),
    fault("endpoint leaving", 2_500, world => {
        const endpoint = replica(world);
        void (endpoint && world.leave(endpoint));
        return endpoint && nothing;
    }),
    fault(
        "endpoint dying",
        2_000,
        withPrimary(endpoint => {
            endpoint.end();
            return () => endpoint.start();
        }),
    ),
    fault(
        "endpoint slow",
        2_000,
        withPrimary(endpoint => {
            const former = endpoint.statementMs;
            endpoint.statementMs = 40;
            return () => {
                endpoint.statementMs = former;
            };
        }),
        true,
    ),
    fault(
        "endpoint answering late",
        2_000,
        withPrimary(({ id }, world) => {
            world.network.slow.set(id, 250);
            return () => void world.network.slow.delete(id);
        }),
        true,
    ),
    fault(
        "endpoint closing in an answer",
        500,
        withPrimary(endpoint => {
            endpoint.closeInAnswer = true;
            return () => {
                endpoint.closeInAnswer = false;
            };
        }),
        true,
    ),
];
