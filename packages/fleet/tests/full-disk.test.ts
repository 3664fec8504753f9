import { expect, test, vi } from "vitest";
import { fileError } from "../../agreement/tests/memory-files.js";
import { ControlGroup } from "./control-group.js";

// The library of event streams keeps the clock that it finds when it is loaded.
vi.hoisted(() => vi.useFakeTimers());

// Guards against changes that are refused long after the disks of all control hosts have room again (report of another
// operator). Here this did not happen before the repair either, but each failure left a file open.
test("changes are accepted while disks are full one after another, and after that", async () => {
    const group = new ControlGroup();
    await group.start();
    expect(await group.change(2_000)).toBeDefined();
    for (let round = 0; round < 2; round++) {
        for (const disk of group.disks) {
            disk.room = 0;
            expect(await group.change(3_000)).toBeDefined();
            await vi.advanceTimersByTimeAsync(4_000);
            disk.room = undefined;
            await vi.advanceTimersByTimeAsync(1_500);
        }
    }
    expect(await group.change(2_000)).toBeDefined();
    await vi.advanceTimersByTimeAsync(1_500);
    expect(group.members.map(({ configuration }) => configuration?.number)).toEqual([8, 8, 8]);
    expect(group.disks.map(({ openHandles }) => openHandles)).toEqual([1, 1, 1]);
});

// Guards against a record that is cut short when the disk becomes full, and against one that the next start cannot read.
test.each([1, 23, 24, 25, 60])("a record that is cut short after %i bytes is dropped", async bytes => {
    const group = new ControlGroup();
    await group.start();
    expect(await group.change(2_000)).toBeDefined();
    for (const [index, disk] of group.disks.entries()) {
        disk.room = bytes;
        expect(await group.change(3_000)).toBeDefined();
        await vi.advanceTimersByTimeAsync(1_000);
        disk.room = undefined;
        disk.files.crash(bytes);
        expect(await group.restart(index)).toBeUndefined();
        await vi.advanceTimersByTimeAsync(1_500);
    }
    expect(await group.change(2_000)).toBeDefined();
});

// Guards against a process that ends again and again while its disk is full, although it could wait for room.
test("a host that is started while its disk is full starts, and takes part once there is room", async () => {
    const group = new ControlGroup();
    for (const disk of group.disks) {
        disk.room = 0;
    }
    await group.start();
    await vi.advanceTimersByTimeAsync(3_000);
    expect(group.members.map(({ memberId }) => memberId)).toEqual([undefined, undefined, undefined]);
    for (const disk of group.disks) {
        disk.room = undefined;
    }
    await vi.advanceTimersByTimeAsync(2_500);
    expect(await group.change(3_000)).toBeDefined();
});

test("a host that is restarted while its disk is full takes part again once there is room", async () => {
    const group = new ControlGroup();
    await group.start();
    expect(await group.change(2_000)).toBeDefined();
    const disk = group.disks[0];
    if (disk === undefined) {
        throw new Error("no disk");
    }
    disk.files.fault = operation => {
        if (operation === "sync" || operation === "truncate") {
            throw fileError("ENOSPC");
        }
    };
    disk.room = 0;
    expect(await group.restart(0)).toBeUndefined();
    expect(await group.change(3_000)).toBeDefined();
    await vi.advanceTimersByTimeAsync(3_000);
    disk.room = undefined;
    disk.files.fault = () => undefined;
    await vi.advanceTimersByTimeAsync(2_500);
    expect(group.members[0]?.configuration?.number).toBe(2);
});

// Guards against a store that is never opened again because closing it failed as well.
test("a host takes part again after its disk failed to write and to close a file", async () => {
    const group = new ControlGroup();
    await group.start();
    expect(await group.change(2_000)).toBeDefined();
    const disk = group.disks[0];
    if (disk === undefined) {
        throw new Error("no disk");
    }
    const append = disk.append.bind(disk);
    let closesFail = true;
    disk.append = async path => {
        const file = await append(path);
        return { ...file, close: () => closesFail ? Promise.reject(fileError("ENOSPC")) : file.close() };
    };
    expect(await group.restart(0)).toBeUndefined();
    await vi.advanceTimersByTimeAsync(500);
    disk.room = 0;
    expect(await group.change(3_000)).toBeDefined();
    await vi.advanceTimersByTimeAsync(3_000);
    disk.room = undefined;
    closesFail = false;
    await vi.advanceTimersByTimeAsync(2_500);
    expect(group.members[0]?.configuration?.number).toBe(2);
});
