import type { FileSystem } from "@medlarledge/agreement";
import { LeaveState } from "@medlarledge/control";
import {
    ChangeOutcome,
    type ChangeResult,
    type ConfigurationChange,
    type ConfigurationFile,
    encodeMessage,
    MAX_MESSAGE_BYTES,
} from "@medlarledge/protocol";
import type { LogEvent, LogFields } from "@medlarledge/telemetry";
import { expect, vi } from "vitest";
import { GroupMember } from "../src/group-member.js";
import { handOverVote } from "../src/vote-handover.js";
import { Disk } from "./control-group.js";

/** Time of a message on its way, in ms. */
const DELAY_MS = 1;

/** Interval at which a host without a leader requests membership, as in `ControlHost`. */
const JOIN_INTERVAL_MS = 300;

interface Process {
    readonly member: GroupMember;
    isRunning: boolean;
}

interface SimulatedHost {
    disk: Disk;
    process: Process | undefined;
}

/** The file system of a process; after the end of the process its operations change nothing and do not return. */
function filesOf(disk: Disk, syncMs: number, isRunning: () => boolean): FileSystem {
    const run = async <R>(operation: () => Promise<R>): Promise<R> => {
        await (isRunning() ? undefined : new Promise<never>(() => undefined));
        return operation();
    };
    return {
        makeFolder: folder => run(() => disk.makeFolder(folder)),
        list: folder => run(() => disk.list(folder)),
        read: path => run(() => disk.read(path)),
        truncate: (path, bytes) => run(() => disk.truncate(path, bytes)),
        rename: (from, to) => run(() => disk.rename(from, to)),
        remove: path => run(() => disk.remove(path)),
        syncFolder: folder => run(() => disk.syncFolder(folder)),
        append: async path => {
            const file = await run(() => disk.append(path));
            return {
                write: bytes => run(() => file.write(bytes)),
                sync: async () => {
                    await new Promise(resolve => setTimeout(resolve, syncMs));
                    await run(() => file.sync());
                },
                close: () => run(() => file.close()),
            };
        },
    };
}

/** Control hosts that come, go, lose their disks and are cut off, as far as their group is concerned. */
export class MemberNetwork {
    readonly events: { readonly host: string; readonly name: LogEvent; readonly fields: LogFields; }[] = [];
    readonly #hosts = new Map<string, SimulatedHost>();
    readonly #syncMs: number;
    readonly #seed: number;
    readonly #joinTimer: NodeJS.Timeout;
    readonly #endedAt = new Map<string, number>();
    readonly #leaving = new Set<string>();
    #incarnation = 0;
    /** Why a host could not start, if one could not; a host with a stalled disk starts later. */
    #startFailure: string | undefined;
    /** Whether messages from one host to another are lost. */
    isCut: (from: string, to: string) => boolean = () => false;

    readonly #toleratedLosses: number;

    constructor(syncMs = 1, seed = 1, toleratedLosses = 1) {
        this.#toleratedLosses = toleratedLosses;
        this.#seed = seed;
        this.#syncMs = syncMs;
        this.#joinTimer = setInterval(() => this.#requestMembership(), JOIN_INTERVAL_MS);
    }

    /** Starts a host at a new address, or one that is not running. */
    async start(id: string, initialMembers?: readonly string[]): Promise<void> {
        const host = this.#hosts.get(id) ?? { disk: new Disk(), process: undefined };
        this.#hosts.set(id, host);
        this.#endedAt.delete(id);
        const process: Process = {
            member: this.#member(id, host, () => process.isRunning, initialMembers),
            isRunning: true,
        };
        host.process = process;
        void process.member.start().then(reason => this.#startFailure ??= reason);
        await vi.advanceTimersByTimeAsync(10);
        expect(this.#startFailure).toBeUndefined();
    }

    /** Starts the first members of the group and waits for a leader. */
    async found(...ids: readonly string[]): Promise<void> {
        await Promise.all(ids.map(id => this.start(id, ids)));
        await vi.advanceTimersByTimeAsync(1_500);
        expect(this.leader()).toBeDefined();
    }

    end(id: string): void {
        const host = this.#hosts.get(id);
        if (host?.process !== undefined) {
            host.process.isRunning = false;
            this.#endedAt.set(id, performance.now());
            void host.process.member.stop();
            host.process = undefined;
        }
    }

    /** Stops a host as planned, at most `limitMs` after the signal. Resolves to whether its vote was handed over. */
    async stop(id: string, limitMs: number): Promise<string> {
        const member = this.member(id);
        const request = async (): Promise<LeaveState | undefined> => {
            await new Promise(resolve => setTimeout(resolve, 2 * DELAY_MS));
            const leader = member.isLeader ? id : member.leader;
            if (
                member.hasLeft || leader === undefined || member.memberId === undefined || !this.#isReached(id, leader)
            ) {
                return member.hasLeft ? LeaveState.Left : undefined;
            }
            return this.member(leader).leaveRequested(member.memberId);
        };
        this.#leaving.add(id);
        const { outcome } = await handOverVote(request, { now: () => performance.now(), wallClock: Date.now }, limitMs);
        this.#leaving.delete(id);
        this.end(id);
        return outcome;
    }

    /** Ends a host's process with what was not synced of its files. */
    losePower(id: string): void {
        this.end(id);
        this.#hosts.get(id)?.disk.files.crash();
    }

    loseDisk(id: string): void {
        this.end(id);
        this.#hosts.set(id, { disk: new Disk(), process: undefined });
    }

    /** Ends a host for good. */
    remove(id: string): void {
        this.end(id);
        this.#hosts.delete(id);
    }

    disk(id: string): Disk {
        const host = this.#hosts.get(id);
        if (host === undefined) {
            throw new Error(`no host ${id}`);
        }
        return host.disk;
    }

    member(id: string): GroupMember {
        const process = this.#hosts.get(id)?.process;
        if (process === undefined) {
            throw new Error(`host ${id} does not run`);
        }
        return process.member;
    }

    leader(): string | undefined {
        return this.running().find(id => this.member(id).hasQuorum);
    }

    running(): readonly string[] {
        return [...this.#hosts].filter(([, { process }]) => process !== undefined).map(([id]) => id);
    }

    /** Proposes a change at a host, which passes it on to the leader. Resolves to true when it is acknowledged. */
    async change(number: number, at: string, files: readonly ConfigurationFile[] = []): Promise<boolean> {
        const change: ConfigurationChange = { number, digest: `d${number}`, operator: "o", files };
        const isAcknowledged = ({ outcome }: ChangeResult): boolean =>
            outcome === ChangeOutcome.Accepted || outcome === ChangeOutcome.AlreadyAccepted;
        const member = this.member(at);
        if (isAcknowledged(await member.propose(change))) {
            return true;
        }
        const { leader } = member;
        if (leader === undefined || leader === at || !this.#isReached(at, leader)) {
            return false;
        }
        const result = await this.member(leader).propose(change);
        return isAcknowledged(result) && this.#isReached(leader, at);
    }

    dispose(): void {
        clearInterval(this.#joinTimer);
        this.running().forEach(id => this.end(id));
    }

    #member(
        id: string,
        { disk }: SimulatedHost,
        isRunning: () => boolean,
        initialMembers: readonly string[] | undefined,
    ): GroupMember {
        this.#incarnation += 1;
        return new GroupMember({
            self: {
                id,
                incarnation: String(this.#incarnation),
                dataCentre: "ams",
                peerAddress: id,
                httpAddress: "",
                callerAddress: "",
                control: true,
            },
            dataFolder: "/data",
            files: filesOf(disk, this.#syncMs, isRunning),
            initialMembers,
            toleratedLosses: this.#toleratedLosses,
            seed: this.#seed * 1_000 + this.#incarnation,
            clock: { now: () => performance.now(), wallClock: () => Date.now() },
            send: (to, envelope) => {
                if (isRunning() && encodeMessage(envelope).byteLength <= MAX_MESSAGE_BYTES) {
                    this.#deliver(id, to, member => member.receive(envelope));
                }
            },
            unlinkedMs: other => performance.now() - (this.#endedAt.get(other) ?? performance.now()),
            validate: () => [],
            events: {
                roleChanged: () => undefined,
                configured: () => undefined,
                promotionOrdered: () => undefined,
                event: (name, fields) => this.events.push({ host: id, name, fields }),
            },
        });
    }

    #requestMembership(): void {
        for (const id of this.running()) {
            const { memberId, leader } = this.member(id);
            if (memberId !== undefined && leader === undefined && !this.#leaving.has(id)) {
                this.running().forEach(to => this.#deliver(id, to, member => member.joinRequested(memberId)));
            }
        }
    }

    #deliver(from: string, to: string, receive: (member: GroupMember) => void): void {
        const process = this.#hosts.get(to)?.process;
        setTimeout(() => {
            if (process?.isRunning === true && from !== to && !this.isCut(from, to)) {
                receive(process.member);
            }
        }, DELAY_MS);
    }

    #isReached(from: string, to: string): boolean {
        return this.#hosts.get(to)?.process !== undefined && !this.isCut(from, to) && !this.isCut(to, from);
    }
}
