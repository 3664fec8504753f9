import type { AppendFile, FileSystem } from "@medlarledge/agreement";
import { ChangeOutcome, type ConfigurationChange, type Host } from "@medlarledge/protocol";
import type { LogEvent } from "@medlarledge/telemetry";
import { expect, vi } from "vitest";
import { fileError, MemoryFiles } from "../../agreement/tests/memory-files.js";
import { GroupMember } from "../src/group-member.js";

/** Ids of the control hosts. */
export const IDS = ["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"] as const;

/** A disk that can be full, where a write fails after as many bytes as still fit, and that can stall. */
export class Disk implements FileSystem {
    readonly files = new MemoryFiles();
    /** Number of bytes of the next write that still fit; undefined while there is room. */
    room: number | undefined;
    openHandles = 0;
    /** While true, syncs wait. */
    isStalled = false;

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
            sync: async () => {
                while (this.isStalled) {
                    await new Promise(resolve => setTimeout(resolve, 10));
                }
                await file.sync();
            },
            close: async () => {
                this.openHandles -= 1;
                await file.close();
            },
        };
    }
}

/** Three control hosts as far as their group is concerned, with messages that take 1 ms. */
export class ControlGroup {
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
            toleratedLosses: 1,
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
