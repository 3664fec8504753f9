import { expect, test, vi } from "vitest";
import { ControlGroup } from "./control-group.js";

// The library of event streams keeps the clock that it finds when it is loaded.
vi.hoisted(() => vi.useFakeTimers());

// Guards against a read of an older configuration than was acknowledged: the others commit a change without the leader,
// whose own disk is behind (review case 5, CONFIG).
test("a leader whose disk stalls answers no read with an older configuration than was acknowledged", async () => {
    const group = new ControlGroup();
    await group.start();
    expect(await group.change(2_000)).toBeDefined();
    await vi.advanceTimersByTimeAsync(1_000);
    const leader = group.members.findIndex(({ isLeader }) => isLeader);
    const member = group.members[leader];
    const disk = group.disks[leader];
    if (member === undefined || disk === undefined) {
        throw new Error("the group has no leader");
    }
    disk.isStalled = true;
    expect(await group.change(2_000)).toBeDefined();
    await vi.advanceTimersByTimeAsync(1_000);
    expect(member.isLeader).toBe(true);
    expect(group.members.map(({ configuration }) => configuration?.number).sort()).toEqual([1, 2, 2]);
    const reading = Promise.all([member.read(), member.readNewestNumber()]);
    await vi.advanceTimersByTimeAsync(1_500);
    expect(await reading).toEqual([{ kind: "unavailable" }, undefined]);
    const later = Promise.all([member.read(), member.readNewestNumber()]);
    disk.isStalled = false;
    await vi.advanceTimersByTimeAsync(1_000);
    expect(await later).toMatchObject([{ kind: "newest", change: { number: 2 } }, 2]);
});
