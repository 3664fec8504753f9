import { afterEach, expect, test, vi } from "vitest";
import { MemberNetwork } from "./member-network.js";

// The library of event streams keeps the clock that it finds when it is loaded.
vi.hoisted(() => vi.useFakeTimers());

/** Time within which a host that is back must serve again (`recovery_s`). */
const RECOVERY_MS = 12_000;
const CATCH_UP_MS = 10_000;
const SYNC_MS = 1;
const SEED = 1;
/** Committed entries between two snapshots, as in `GroupMember`. */
const SNAPSHOT_INTERVAL_ENTRIES = 64;

let network: MemberNetwork | undefined;
afterEach(() => network?.dispose());

const pass = async (durationMs: number) => {
    await vi.advanceTimersByTimeAsync(durationMs);
};

async function requireChange(hosts: MemberNetwork, number: number): Promise<void> {
    const change = hosts.change(number, hosts.leader() ?? hosts.running()[0]!);
    await pass(1_000);
    expect(await change, `change ${number} is acknowledged`).toBe(true);
}

/** Requires that all running hosts have the change, and that a further one is acknowledged. */
async function requireKept(hosts: MemberNetwork, number: number): Promise<void> {
    await pass(RECOVERY_MS);
    const numbers = hosts.running().map(id => hosts.member(id).configuration?.number);
    expect(numbers).toEqual(hosts.running().map(() => number));
    await requireChange(hosts, number + 1);
}

// Guards against a group that shrinks while hosts are down, until the losses to be borne take its majority (CONFIG;
// docs/incidents/review-11-shrunk-control-group.md).
test("two of six control hosts are down while two others lose their disks", async () => {
    const hosts = network = new MemberNetwork(SYNC_MS, SEED, 2);
    await hosts.found("a", "b", "c");
    for (const id of ["d", "e", "f"]) {
        await hosts.start(id);
    }
    await pass(CATCH_UP_MS);
    const [, first, second, ...others] = hosts.running();
    hosts.losePower(first!);
    hosts.losePower(second!);
    await pass(5_000);
    await requireChange(hosts, 1);
    const [third, fourth] = others;
    hosts.loseDisk(third!);
    hosts.loseDisk(fourth!);
    await pass(1_000);
    await hosts.start(third!);
    await hosts.start(fourth!);
    await pass(1_000);
    await hosts.start(first!);
    await hosts.start(second!);
    await requireKept(hosts, 1);
});

// Guards against a group that keeps a ready successor without a vote, and cannot commit any more when the replaced host
// goes without notice just before another one loses its disk (CONFIG;
// docs/incidents/review-12-gone-control-host.md).
for (const gone of ["a", "b", "c"]) {
    for (const wipedAfterMs of [0, 500]) {
        test(`${gone} is gone for good and b or c loses its disk ${wipedAfterMs} ms later`, async () => {
            const hosts = network = new MemberNetwork(SYNC_MS, SEED, 1);
            await hosts.found("a", "b", "c");
            await hosts.start("d");
            await pass(CATCH_UP_MS);
            await requireChange(hosts, 1);
            hosts.remove(gone);
            await pass(wipedAfterMs);
            const wiped = gone === "b" ? "c" : "b";
            hosts.loseDisk(wiped);
            await pass(1_000);
            await hosts.start(wiped);
            await requireKept(hosts, 1);
        });
    }
}

// Guards against a group that needs the voters from before a change after a restart, although the change was committed
// long before (CONFIG; docs/incidents/review-12-gone-control-host.md).
test("a host is gone for good and another one loses its disk while all others lose power", async () => {
    const hosts = network = new MemberNetwork(SYNC_MS, SEED, 1);
    await hosts.found("a", "b", "c");
    await hosts.start("d");
    await pass(CATCH_UP_MS);
    await requireChange(hosts, 1);
    hosts.remove("a");
    hosts.loseDisk("b");
    hosts.losePower("c");
    hosts.losePower("d");
    await pass(1_000);
    await Promise.all(["b", "c", "d"].map(id => hosts.start(id)));
    await requireKept(hosts, 1);
});

// Guards against a group without a quorum when another host loses its disk while a vote is handed over (CONFIG).
for (const wipedAfterMs of [0, 5, 20, 60, 200]) {
    test(`a host loses its disk ${wipedAfterMs} ms after another one has begun to hand over its vote`, async () => {
        const hosts = network = new MemberNetwork(SYNC_MS, SEED, 1);
        await hosts.found("a", "b", "c");
        await hosts.start("d");
        await pass(CATCH_UP_MS);
        await requireChange(hosts, 1);
        const stopped = hosts.stop("a", 3_000);
        await pass(wipedAfterMs);
        hosts.loseDisk("b");
        await pass(1_000);
        await hosts.start("b");
        await pass(3_000);
        await stopped;
        await requireKept(hosts, 1);
    });
}

// Guards against a group without a quorum when a host loses its disk while its successor receives a snapshot (CONFIG).
for (const wipedAfterMs of [0, 20, 100, 400]) {
    test(`a host loses its disk ${wipedAfterMs} ms after another one that needs a snapshot has started`, async () => {
        const hosts = network = new MemberNetwork(SYNC_MS, SEED, 1);
        await hosts.found("a", "b", "c");
        const changes = 2 * SNAPSHOT_INTERVAL_ENTRIES;
        for (let number = 1; number <= changes; number += 1) {
            void hosts.change(number, hosts.leader()!);
            await pass(10);
        }
        await hosts.start("d");
        await pass(wipedAfterMs);
        hosts.loseDisk("b");
        await pass(1_000);
        await hosts.start("b");
        await requireKept(hosts, changes);
    });
}
