import { afterEach, expect, test, vi } from "vitest";
import { MemberNetwork } from "./member-network.js";

// The library of event streams keeps the clock that it finds when it is loaded.
vi.hoisted(() => vi.useFakeTimers());

let network: MemberNetwork;

afterEach(() => network.dispose());

/** Starts a group of three and returns its leader and the others. */
async function found(): Promise<{ leader: string; others: readonly string[]; }> {
    network = new MemberNetwork();
    await network.found("a", "b", "c");
    const leader = network.leader() ?? "";
    return { leader, others: ["a", "b", "c"].filter(id => id !== leader) };
}

// Guards against a new control host that stays out of the group for good, with an old configuration or none: it never
// asked to join again when the leader that had added it was gone and the next leader did not know of it (CONFIG).
test("a host that a lost leader had added joins the group of the next leader", async () => {
    const { leader, others } = await found();
    const added = network.member(leader);
    network.isCut = (from, to) => from === leader && others.includes(to) && added.hosts.includes("d");
    await network.start("d");
    await vi.advanceTimersByTimeAsync(500);
    expect(network.member("d").leader).toBe(leader);
    network.remove(leader);
    await vi.advanceTimersByTimeAsync(6_000);
    for (const id of [...others, "d"]) {
        expect([...network.member(id).hosts].sort()).toEqual([...others, "d"].sort());
    }
});
