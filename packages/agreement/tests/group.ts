import type { ConsensusMessage, LogEntry, Members } from "@medlarledge/protocol";
import { crc32 } from "node:zlib";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
    type ConsensusEffect,
    type ConsensusEvent,
    ConsensusMember,
    type HardState,
    initialState,
    type Snapshot,
} from "../src/index.js";
import { Checker, digestAfter } from "./checker.js";

const OPTIONS = {
    heartbeatMs: 10,
    electionMs: 40,
    snapshotEvery: 5,
    snapshotEveryBytes: 12,
    maxBatchEntries: 3,
    maxBatchBytes: 6,
    snapshotChunkBytes: 5,
};
const ROUND_MS = 10;

type Write = Extract<ConsensusEffect, { kind: "persist" | "saveSnapshot"; }>;

/** An in-memory disk that applies writes by the same rules as the store. */
class Disk {
    hardState: HardState = { term: 0, votedFor: undefined };
    snapshot: Snapshot | undefined;
    entries: LogEntry[] = [];

    copy(): Disk {
        return Object.assign(new Disk(), this, { entries: [...this.entries] });
    }

    write(write: Write): void {
        const base = this.snapshot?.lastIndex ?? 0;
        if (write.kind === "saveSnapshot") {
            const { lastIndex, lastTerm } = write.snapshot;
            const matches = this.entries[lastIndex - base - 1]?.term === lastTerm;
            this.entries = matches ? this.entries.slice(lastIndex - base) : [];
            this.snapshot = write.snapshot;
            return;
        }
        this.hardState = write.hardState ?? this.hardState;
        if (write.truncateFrom !== undefined) {
            this.entries = this.entries.slice(0, write.truncateFrom - base - 1);
        }
        this.entries.push(...write.entries);
    }
}

interface Host {
    readonly id: string;
    agreement: ConsensusMember | undefined;
    /** State that survives a crash; `written` is the state once all writes are synced. */
    durable: Disk;
    written: Disk;
    unsynced: Write[];
    snapshotDue: number | undefined;
    digest: number;
    isLeader: boolean;
    clock: number;
}

interface InFlightMessage {
    readonly from: string;
    readonly to: string;
    readonly message: ConsensusMessage;
}

/** Fault rates in 64ths: lost messages, delayed or duplicated messages, and rounds in which a host does not sync. */
export interface Faults {
    readonly lost: number;
    readonly duplicated: number;
    readonly unsynced: number;
}

/** A simulated group of members with an in-memory network and disks. Deterministic for a given seed and steps. */
export class Group {
    readonly checker = new Checker();
    readonly #hosts = new Map<string, Host>();
    readonly #payloads = new Map<number, string>();
    readonly #random;
    #inFlight: InFlightMessage[] = [];
    /** Hosts, by their letter, on one side of a partition. */
    #partitioned = new Set<string>();
    /** The latest member id of each host that lost its disk, by its letter. */
    readonly #replaced = new Map<string, string>();
    #requests = 0;
    #faults: Faults;

    constructor(seed: number, voters: number, faults: Faults) {
        this.#faults = faults;
        this.#random = xoroshiro128plus(seed);
        const ids = ["a", "b", "c", "d", "e", "f"].slice(0, voters);
        const members = { voters: ids, learners: [] };
        ids.forEach(id => this.#add(id, members));
        ["x", "y"].forEach(id => this.#add(id));
    }

    #add(id: string, members?: Members): void {
        const durable = Object.assign(new Disk(), { snapshot: initialState(id, members).snapshot });
        const host: Host = {
            id,
            agreement: undefined,
            durable,
            written: durable,
            unsynced: [],
            snapshotDue: undefined,
            digest: 0,
            isLeader: false,
            clock: 0,
        };
        this.#hosts.set(id, host);
        this.#start(host);
    }

    pick(limit: number): number {
        return uniformInt(this.#random, 0, limit - 1);
    }

    #pickHost(): Host {
        return [...this.#hosts.values()][this.pick(this.#hosts.size)]!;
    }

    /** Prefers a host with unsynced writes, which a crash can lose. */
    #pickUnsynced(): Host {
        const hosts = [...this.#hosts.values()].filter(host => host.unsynced.length > 0);
        return hosts[this.pick(Math.max(1, hosts.length))] ?? this.#pickHost();
    }

    #leader(): Host | undefined {
        const leaders = [...this.#hosts.values()].filter(host => host.isLeader);
        return leaders[this.pick(Math.max(1, leaders.length))];
    }

    /** Advances the clocks, delivers the messages in flight and syncs the disks, each with the configured faults. */
    round(): void {
        for (const host of this.#hosts.values()) {
            host.clock += ROUND_MS;
            this.#handle(host, { kind: "tick" });
        }
        const messages = this.#inFlight;
        this.#inFlight = [];
        messages.forEach(flight => this.#transmit(flight));
        for (const host of this.#hosts.values()) {
            if (this.pick(64) >= this.#faults.unsynced) {
                this.sync(host, host.unsynced.length);
            }
        }
    }

    #transmit(flight: InFlightMessage): void {
        const staysInFlight = this.pick(64) < this.#faults.duplicated;
        // A copy that stays in flight delays or duplicates the message; both reorder it with later ones.
        if (staysInFlight) {
            this.#inFlight.push(flight);
        }
        if (this.pick(64) >= this.#faults.lost && !(staysInFlight && this.pick(2) === 0)) {
            this.#deliver(flight);
        }
    }

    #deliver({ from, to, message }: InFlightMessage): void {
        if (this.#partitioned.has(letterOf(from)) !== this.#partitioned.has(letterOf(to))) {
            return;
        }
        const host = this.#hosts.get(to);
        if (host !== undefined) {
            this.#handle(host, { kind: "message", from, message });
            return;
        }
        const successor = this.#hosts.get(this.#replaced.get(letterOf(to)) ?? "");
        if (successor?.agreement !== undefined) {
            this.#inFlight.push({ from: successor.id, to: from, message: { kind: "memberLost", member: to } });
        }
    }

    /** Ends a member for good; its host goes on with an empty disk under a new member id. */
    loseDisk(): void {
        const host = this.#pickHost();
        this.crash(host);
        this.#hosts.delete(host.id);
        const letter = letterOf(host.id);
        const count = Number(host.id.slice(letter.length + 1) || 0) + 1;
        this.#replaced.set(letter, `${letter}#${count}`);
        this.#add(`${letter}#${count}`);
    }

    /** Proposes to a leader the members that it has, which shows that they are committed. */
    confirmMembers(): void {
        const host = this.#leader();
        if (host?.agreement !== undefined) {
            const { members } = host.agreement;
            this.#handle(host, { kind: "proposeMembers", requestId: ++this.#requests, members });
        }
    }

    /** Advances the clocks of some hosts alone, since safety must not depend on clocks. */
    advanceClocks(): void {
        for (let count = this.pick(3); count >= 0; count -= 1) {
            const host = this.#pickHost();
            host.clock += 2 * OPTIONS.electionMs;
            this.#handle(host, { kind: "tick" });
        }
    }

    /** Starts an election with forged pre-vote replies, since safety must not depend on the pre-vote. */
    campaign(): void {
        const host = this.#pickHost();
        host.clock += 2 * OPTIONS.electionMs;
        this.#handle(host, { kind: "tick" });
        const message = { kind: "preVoteReply", term: host.written.hardState.term + 1, granted: true } as const;
        host.agreement?.members.voters.forEach(from => this.#handle(host, { kind: "message", from, message }));
    }

    deliverOne(): void {
        const [flight] = this.#inFlight.splice(this.pick(Math.max(1, this.#inFlight.length)), 1);
        if (flight !== undefined) {
            this.#transmit(flight);
        }
    }

    syncSome(): void {
        const host = this.#pickHost();
        this.sync(host, this.pick(host.unsynced.length + 1));
    }

    /** Makes the first `count` writes of a host durable. */
    sync(host: Host, count: number): void {
        const writes = host.unsynced.splice(0, count);
        writes.forEach(write => host.durable.write(write));
        const batch = writes.at(-1)?.batch;
        if (batch !== undefined) {
            this.#handle(host, { kind: "persisted", batch });
        }
        const index = host.snapshotDue;
        if (index !== undefined && index === this.checker.appliedBy(host.id)) {
            host.snapshotDue = undefined;
            this.#handle(host, { kind: "snapshotTaken", index, data: encodeDigest(host.digest, this.pick(256)) });
        }
    }

    /** Stops a host. A random prefix of its unsynced writes survives. */
    crash(host: Host = this.#pickUnsynced()): void {
        host.unsynced.slice(0, this.pick(host.unsynced.length + 1)).forEach(write => host.durable.write(write));
        host.unsynced = [];
        host.agreement = undefined;
        host.isLeader = false;
    }

    restart(host: Host = this.#pickUnsynced()): void {
        this.crash(host);
        this.#start(host);
    }

    #start(host: Host): void {
        host.agreement = new ConsensusMember({ ...OPTIONS, id: host.id, seed: this.pick(0x7fffffff) });
        host.written = host.durable.copy();
        host.snapshotDue = undefined;
        host.digest = 0;
        this.checker.started(host.id);
        const { hardState, snapshot, entries } = host.durable;
        const recovered = { fresh: false, memberId: host.id, hardState, snapshot, entries: [...entries] };
        this.#handle(host, { kind: "start", recovered });
    }

    partition(): void {
        this.#partitioned = new Set([...this.#hosts.keys()].map(letterOf).filter(() => this.pick(2) === 0));
    }

    heal(): void {
        this.#partitioned.clear();
    }

    propose(host: Host | undefined = this.pick(4) === 0 ? this.#pickHost() : this.#leader()): string {
        const requestId = ++this.#requests;
        const payload = Buffer.from(`p${requestId}`);
        this.#payloads.set(requestId, payload.toString());
        if (host !== undefined) {
            this.#handle(host, { kind: "propose", requestId, payload: new Uint8Array(payload) });
        }
        return new Uint8Array(payload).toString();
    }

    /** Proposes to a leader to add, remove or promote a learner, or to remove a voter. */
    changeMembers(): void {
        const host = this.#leader();
        if (host?.agreement === undefined) {
            return;
        }
        const { voters, learners } = host.agreement.members;
        const id = this.#pickHost().id;
        const others = learners.filter(learner => learner !== id);
        const isLearner = others.length < learners.length;
        const next = voters.includes(id)
            ? { voters: voters.filter(voter => voter !== id), learners }
            : isLearner && this.pick(4) > 0
            ? { voters: [...voters, id], learners: others }
            : { voters, learners: isLearner ? others : [...learners, id] };
        this.#handle(host, { kind: "proposeMembers", requestId: ++this.#requests, members: next });
    }

    /** Ends all faults and starts the hosts that do not run. */
    repair(): void {
        this.#faults = { lost: 0, duplicated: 0, unsynced: 0 };
        this.heal();
        [...this.#hosts.values()].filter(host => host.agreement === undefined).forEach(host => this.restart(host));
    }

    /** Ends all faults and requires that a new proposal is committed on all members. */
    finish(): void {
        this.repair();
        let committed = false;
        for (let round = 0; round < 200 && !committed; round += 1) {
            this.round();
            committed = round % 4 === 3 && this.#isCommittedByAll();
        }
        if (!committed) {
            throw new Error("the group does not commit although all faults have ended");
        }
        this.checker.finish();
    }

    #isCommittedByAll(): boolean {
        const leader = this.#leader();
        if (leader?.agreement === undefined) {
            return false;
        }
        const before = this.checker.committedCount;
        this.propose(leader);
        for (let round = 0; round < 4; round += 1) {
            this.round();
        }
        const { voters, learners } = leader.agreement.members;
        return this.checker.committedCount > before
            && [...voters, ...learners].every(id => this.checker.appliedBy(id) === this.checker.committedCount);
    }

    #handle(host: Host, event: ConsensusEvent): void {
        const effects = host.agreement?.handle(event, host.clock) ?? [];
        effects.forEach(effect => this.#execute(host, effect));
    }

    #execute(host: Host, effect: ConsensusEffect): void {
        switch (effect.kind) {
            case "persist":
                this.#checkEntries(host, effect);
                host.written.write(effect);
                host.unsynced.push(effect);
                break;
            case "saveSnapshot":
                host.written.write(effect);
                host.unsynced.push(effect);
                break;
            case "send":
                this.#inFlight.push({ from: host.id, to: effect.to, message: effect.message });
                break;
            case "commit":
                for (const entry of effect.entries) {
                    this.checker.commits(host.id, entry);
                    host.digest = digestAfter(host.digest, entry);
                }
                break;
            case "proposed":
                this.#checkOutcome(effect);
                break;
            case "role":
                host.isLeader = effect.role === "leader";
                if (host.isLeader) {
                    this.checker.leads(host.id, effect.term, host.written);
                }
                break;
            case "takeSnapshot":
                host.snapshotDue = effect.index;
                break;
            case "restoreSnapshot":
                host.digest = decodeDigest(effect.data);
                host.snapshotDue = undefined;
                this.checker.restores(host.id, effect.index, host.digest);
                break;
        }
    }

    #checkEntries(host: Host, write: Extract<Write, { kind: "persist"; }>): void {
        const { snapshot, entries } = host.written;
        const base = snapshot?.lastIndex ?? 0;
        let previousTerm: number | undefined;
        for (const entry of write.entries) {
            previousTerm ??= entry.index === base + 1 ? snapshot?.lastTerm ?? 0 : entries[entry.index - base - 2]?.term;
            this.checker.writes(entry, previousTerm ?? -1);
            previousTerm = entry.term;
        }
    }

    #checkOutcome(effect: Extract<ConsensusEffect, { kind: "proposed"; }>): void {
        const payload = this.#payloads.get(effect.requestId);
        if (payload !== undefined) {
            this.checker.proposed(new Uint8Array(Buffer.from(payload)).toString(), effect.outcome);
        }
    }
}

function letterOf(id: string): string {
    return id.slice(0, 1);
}

/** Encodes equal states differently each time, so that chunks of two snapshots cannot be joined without notice. */
function encodeDigest(digest: number, salt: number): Uint8Array {
    const data = Buffer.alloc(13, salt);
    data.writeUInt32BE(digest, 0);
    data.writeUInt32BE(crc32(data.subarray(0, 9)), 9);
    return data;
}

function decodeDigest(data: Uint8Array): number {
    const bytes = Buffer.from(data);
    if (bytes.byteLength !== 13 || crc32(bytes.subarray(0, 9)) !== bytes.readUInt32BE(9)) {
        throw new Error("a snapshot was joined from chunks of different snapshots");
    }
    return bytes.readUInt32BE(0);
}
