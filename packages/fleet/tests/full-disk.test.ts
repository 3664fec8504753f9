import type { AppendFile, FileSystem } from "@medlarledge/agreement";
import { ChangeOutcome, type ConfigurationChange, type Host } from "@medlarledge/protocol";
import type { LogEvent } from "@medlarledge/telemetry";
import { expect, test, vi } from "vitest";
import { fileError, MemoryFiles } from "../../agreement/tests/memory-files.js";
import { GroupMember } from "../src/group-member.js";

const IDS = ["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"] as const;

// The library of event streams keeps the clock that it finds when it is loaded.
vi.hoisted(() => vi.useFakeTimers());

/** A disk that can be full: a write then fails, after some of its bytes were written if it is cut short. */
class Disk implements FileSystem {
    readonly files = new MemoryFiles();
    /** Number of bytes of the next write that still fit; undefined while there is room. */
    room: number | undefined;
    openHandles = 0;

    makeFolder = (folder: string): Promise<void> => this.files.makeFolder(folder);
    list = (folder: string): Promise<readonly string[]> => this.files.list(folder);
    read = (path: string): Promise<Uint8Array> => this.files.read(path);
    truncate = (path: string, bytes: number): Promise<void> => this.files.truncate(path, bytes);
    rename = (from: string, to: string): Promise<void> => this.files.rename(from, to);
    remove = (path: string): Promise<void> => this.files.remove(path);
    syncFolder = (folder: string): Promise<void> => this.files.syncFolder(folder);

    async append(path: string): Promise<AppendFile> {
        const file = await this.files.append(path);
        this.openHandles += 1;
        return {
            write: async bytes => {
                const { room } = this;
                if (room === undefined) {
                    return file.write(bytes);
                }
                this.room = 0;
                await file.write(bytes.subarray(0, Math.min(room, bytes.byteLength - 1)));
                throw fileError("ENOSPC");
            },
            sync: () => file.sync(),
            close: async () => {
                this.openHandles -= 1;
                await file.close();
            },
        };
    }
}

/** Three control hosts as far as their group is concerned, with messages that take 1 ms. */
class Group {
    readonly disks = IDS.map(() => new Disk());
    readonly events: { readonly host: string; readonly name: LogEvent; }[] = [];
    readonly members: GroupMember[] = [];
    #number = 0;

    constructor() {
        this.members.push(...IDS.map((_, index) => this.#create(index, 1)));
    }

    async start(): Promise<void> {
        expect(await Promise.all(this.members.map(member => member.start()))).toEqual(IDS.map(() => undefined));
    }

    /** Ends a process, which closes nothing, and starts it again. Returns why it cannot start. */
    async restart(index: number): Promise<string | undefined> {
        void this.members[index]?.stop();
        const member = this.#create(index, 2);
        this.members[index] = member;
        return member.start();
    }

    /** Sends a change to each member in turn until it is accepted. Returns after how many ms it was, or undefined. */
    async change(limitMs: number): Promise<number | undefined> {
        this.#number += 1;
        const change: ConfigurationChange = {
            number: this.#number,
            digest: `d${this.#number}`,
            operator: "o",
            files: [],
        };
        for (let passed = 0; passed < limitMs; passed += 100) {
            const outcomes = Promise.all(this.members.map(member => member.propose(change)));
            await vi.advanceTimersByTimeAsync(100);
            const isAccepted = await Promise.race([
                outcomes.then(results =>
                    results.some(({ outcome }) =>
                        outcome === ChangeOutcome.Accepted || outcome === ChangeOutcome.AlreadyAccepted
                    )
                ),
                Promise.resolve(false),
            ]);
            if (isAccepted || this.members.some(({ configuration }) => configuration?.number === this.#number)) {
                return passed;
            }
        }
        return undefined;
    }

    #create(index: number, incarnation: number): GroupMember {
        const id = IDS[index] ?? "";
        const self: Host = {
            id,
            incarnation: String(incarnation),
            dataCentre: "ams",
            peerAddress: id,
            httpAddress: "",
            callerAddress: "",
            control: true,
        };
        const disk = this.disks[index];
        if (disk === undefined) {
            throw new Error(`no disk ${index}`);
        }
        return new GroupMember({
            self,
            dataFolder: "/data",
            files: disk,
            initialMembers: IDS,
            clock: { now: () => performance.now(), wallClock: () => Date.now() },
            send: (to, envelope) => {
                setTimeout(() => this.members[IDS.findIndex(host => host === to)]?.receive(envelope), 1);
            },
            validate: () => [],
            events: {
                roleChanged: () => undefined,
                configured: () => undefined,
                promotionOrdered: () => undefined,
                event: name => this.events.push({ host: id, name }),
            },
        });
    }
}

// Guards against changes that are refused long after the disks of all control hosts have room again (report of another
// operator). Here this did not happen before the repair either, but each failure left a file open.
test("changes are accepted while disks are full one after another, and after that", async () => {
    const group = new Group();
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
    const group = new Group();
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
    const group = new Group();
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
    const group = new Group();
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
    const group = new Group();
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
