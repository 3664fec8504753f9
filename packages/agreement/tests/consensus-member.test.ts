import type { Append, ConsensusMessage, LogEntry, Members } from "@medlarledge/protocol";
import { expect, test } from "vitest";
import { type ConsensusEffect, ConsensusMember, type ConsensusOptions, initialState } from "../src/index.js";

const OPTIONS: ConsensusOptions = {
    id: "a",
    heartbeatMs: 50,
    electionMs: 300,
    snapshotEvery: 512,
    snapshotEveryBytes: 1024 * 1024,
    maxBatchEntries: 4,
    maxBatchBytes: 64 * 1024,
    snapshotChunkBytes: 10,
    seed: 1,
};
const MEMBERS: Members = { voters: ["a", "b", "c"], learners: [] };
const PAYLOAD = new Uint8Array([1]);

/** A member whose effects and messages are collected. Its writes are durable at once unless `isSlow`. */
class Member {
    readonly #member: ConsensusMember;
    isSlow = false;
    now = 1_000;
    sent: { to: string; message: ConsensusMessage; }[] = [];
    effects: ConsensusEffect[] = [];
    batch = 0;

    constructor(options: Partial<ConsensusOptions> = {}, members: Members = MEMBERS) {
        this.#member = new ConsensusMember({ ...OPTIONS, ...options });
        this.handle({ kind: "start", recovered: initialState("a", members) });
    }

    get quorumContactAt(): number {
        return this.#member.quorumContactAt(this.now);
    }

    get caughtUp(): readonly string[] {
        return this.#member.caughtUpLearners(this.now);
    }

    get isCurrent(): boolean {
        return this.#member.isCurrent(this.now);
    }

    handle(event: Parameters<ConsensusMember["handle"]>[0]): void {
        for (const effect of this.#member.handle(event, this.now)) {
            this.effects.push(effect);
            if (effect.kind === "send") {
                this.sent.push(effect);
            }
            if (effect.kind === "persist" || effect.kind === "saveSnapshot") {
                this.batch = effect.batch;
            }
        }
        if (!this.isSlow && event.kind !== "persisted") {
            this.sync();
        }
    }

    sync(): void {
        this.handle({ kind: "persisted", batch: this.batch });
    }

    receive(from: string, message: ConsensusMessage): void {
        this.handle({ kind: "message", from, message });
    }

    advance(milliseconds: number): void {
        for (let passed = 0; passed < milliseconds; passed += 10) {
            this.now += 10;
            this.handle({ kind: "tick" });
        }
    }

    /** Returns the sent messages of a kind and clears all sent messages. */
    takeSent<K extends ConsensusMessage["kind"]>(kind: K): Extract<ConsensusMessage, { kind: K; }>[] {
        const messages = this.sent.filter(({ message }) => message.kind === kind).map(({ message }) => message);
        this.sent = [];
        return messages as Extract<ConsensusMessage, { kind: K; }>[];
    }

    /** Makes the member the leader by a pre-vote and a vote of b. */
    becomeLeader(): void {
        this.advance(600);
        this.receive("b", { kind: "preVoteReply", term: 1, granted: true });
        this.receive("b", { kind: "voteReply", term: 1, granted: true });
        expect(this.role()).toBe("leader");
    }

    acknowledge(from: string, matchIndex: number): void {
        this.receive(from, { kind: "appendReply", term: 1, success: true, matchIndex, sentAt: this.now });
    }

    propose(requestId: number): void {
        this.handle({ kind: "propose", requestId, payload: PAYLOAD });
    }

    proposeMembers(requestId: number, members: Members): void {
        this.handle({ kind: "proposeMembers", requestId, members });
    }

    get members(): Members {
        return this.#member.members;
    }

    role(): string | undefined {
        return this.effects.findLast(effect => effect.kind === "role")?.role;
    }

    outcome(requestId: number): string | undefined {
        return this.effects.filter(effect => effect.kind === "proposed").find(effect => effect.requestId === requestId)
            ?.outcome;
    }
}

function append(term: number, fields: Partial<Append> = {}): Append {
    return {
        kind: "append",
        term,
        previousIndex: 0,
        previousTerm: 0,
        commitIndex: 0,
        entries: [],
        sentAt: 7,
        ...fields,
    };
}

function entry(index: number, term: number): LogEntry {
    return { index, term, payload: PAYLOAD };
}

const VOTE = { kind: "vote", term: 5, lastIndex: 9, lastTerm: 4 } as const;

test("no vote or acknowledgement is sent before its batch is durable", () => {
    const member = new Member();
    member.advance(290);
    member.isSlow = true;
    member.now += 10;
    member.receive("b", VOTE);
    expect(member.sent).toEqual([]);
    member.sync();
    expect(member.takeSent("voteReply")).toEqual([{ kind: "voteReply", term: 5, granted: true }]);
    member.receive("b", append(5, { entries: [entry(1, 5)] }));
    member.receive("b", append(5, { entries: [entry(1, 5)], commitIndex: 1 }));
    expect(member.sent).toEqual([]);
    expect(member.effects.some(effect => effect.kind === "commit")).toBe(false);
    member.sync();
    expect(member.takeSent("appendReply").map(reply => reply.matchIndex)).toEqual([1, 1]);
    expect(member.effects.filter(effect => effect.kind === "commit")).toHaveLength(1);
});

test("a candidate requests votes and counts its own vote only when that is durable", () => {
    const member = new Member();
    member.advance(600);
    member.isSlow = true;
    member.receive("b", { kind: "preVoteReply", term: 1, granted: true });
    expect(member.takeSent("vote")).toEqual([]);
    member.receive("b", { kind: "voteReply", term: 1, granted: true });
    expect(member.role()).toBe("candidate");
    member.sync();
    expect(member.takeSent("vote")).toHaveLength(2);
    expect(member.role()).toBe("leader");
});

test("a member votes once in a term, and only for a candidate whose log is not behind its own", () => {
    const member = new Member();
    member.advance(290);
    member.receive("b", append(3, { entries: [entry(1, 3)] }));
    member.advance(300);
    member.takeSent("voteReply");
    member.receive("c", { ...VOTE, lastTerm: 2 });
    member.receive("c", { ...VOTE, lastTerm: 3, lastIndex: 0 });
    member.receive("c", { ...VOTE, lastTerm: 3, lastIndex: 1 });
    member.receive("b", VOTE);
    expect(member.takeSent("voteReply").map(reply => reply.granted)).toEqual([false, false, true, false]);
});

test("a follower with recent leader contact, or just after its start, grants no vote and keeps its term", () => {
    const member = new Member();
    member.receive("c", VOTE);
    member.advance(300);
    member.receive("b", append(1));
    member.advance(290);
    member.receive("c", VOTE);
    member.receive("c", { ...VOTE, kind: "preVote" });
    expect(member.sent.map(({ message }) => message)).toMatchObject([
        { kind: "voteReply", term: 0, granted: false },
        { kind: "appendReply", term: 1 },
        { kind: "voteReply", term: 1, granted: false },
        { kind: "preVoteReply", term: 1, granted: false },
    ]);
});

test("a member that was isolated for long does not raise the term and does not depose the leader", () => {
    const member = new Member();
    member.advance(60_000);
    expect(member.takeSent("preVote").every(message => message.term === 1)).toBe(true);
    expect(member.effects.some(effect => effect.kind === "persist")).toBe(false);
    member.receive("b", append(1));
    expect(member.role()).toBe("follower");
});

test("a leader without replies from a majority steps down after the election timeout", () => {
    const member = new Member();
    member.becomeLeader();
    member.acknowledge("b", 1);
    expect(member.quorumContactAt).toBe(member.now);
    const answeredAt = member.now;
    member.advance(300);
    expect(member.role()).toBe("leader");
    expect(member.quorumContactAt).toBe(answeredAt);
    member.advance(10);
    expect(member.role()).toBe("follower");
    expect(member.quorumContactAt).toBe(Number.NEGATIVE_INFINITY);
});

test("the quorum contact of a new leader is the start of its campaign, not the arrival of a vote", () => {
    const member = new Member();
    member.advance(600);
    member.receive("b", { kind: "preVoteReply", term: 1, granted: true });
    const startedAt = member.now;
    member.now += 40;
    member.receive("b", { kind: "voteReply", term: 1, granted: true });
    expect(member.quorumContactAt).toBe(startedAt);
});

test("proposals made during an unanswered append are sent in batches of at most maxBatchEntries", () => {
    const member = new Member();
    member.becomeLeader();
    for (let requestId = 1; requestId <= 10; requestId += 1) {
        member.propose(requestId);
    }
    member.takeSent("append");
    member.acknowledge("b", 1);
    expect(member.takeSent("append").map(message => message.entries.map(({ index }) => index))).toEqual([[2, 3, 4, 5]]);
    member.acknowledge("b", 5);
    expect(member.outcome(4)).toBe("committed");
    expect(member.outcome(5)).toBeUndefined();
});

// Guards against an append that the receiver rejects for its size, and that is then repeated for ever (CONFIG;
// docs/incidents/review-6-large-appends.md).
test("an append holds at most maxBatchBytes, but a larger entry is sent alone", () => {
    const member = new Member({ maxBatchBytes: 10 });
    member.becomeLeader();
    member.acknowledge("b", 1);
    [4, 5, 2, 30, 1].forEach((size, position) =>
        member.handle({ kind: "propose", requestId: position, payload: new Uint8Array(size) })
    );
    const batches: number[][] = [];
    for (let matchIndex = 2; matchIndex <= 6;) {
        const sent = member.takeSent("append").findLast(({ entries }) => entries.length > 0);
        batches.push(sent?.entries.map(({ payload }) => payload.byteLength) ?? []);
        matchIndex = (sent?.previousIndex ?? 0) + (sent?.entries.length ?? 0);
        member.acknowledge("b", matchIndex);
        matchIndex += 1;
    }
    expect(batches).toEqual([[4], [5, 2], [30], [1]]);
});

// Guards against a leader that encodes the same large batch again at each heartbeat, which delays the heartbeats until
// the others elect another leader.
test("entries that are not answered yet are sent again only after the reply to a later heartbeat", () => {
    const member = new Member();
    member.becomeLeader();
    member.acknowledge("b", 1);
    member.propose(1);
    const sentAt = member.now;
    member.sent = [];
    member.advance(200);
    const heartbeats = member.sent.filter(({ to }) => to === "b").map(({ message }) => message as Append);
    expect(heartbeats.length).toBeGreaterThanOrEqual(3);
    expect(heartbeats.flatMap(({ entries }) => entries)).toEqual([]);
    member.sent = [];
    const reply = { kind: "appendReply", term: 1, success: true, matchIndex: 1 } as const;
    member.receive("b", { ...reply, sentAt: sentAt - 1 });
    expect(member.sent).toEqual([]);
    member.receive("b", { ...reply, sentAt: sentAt + 50 });
    expect(member.takeSent("append").map(({ entries }) => entries.length)).toEqual([1]);
});

// Guards against a leader whose memory grows with each large configuration while the others do not answer.
test("proposals beyond the limit of uncommitted bytes are refused as busy", () => {
    const member = new Member({ maxBatchBytes: 10 });
    member.becomeLeader();
    for (let requestId = 1; requestId <= 10; requestId += 1) {
        member.handle({ kind: "propose", requestId, payload: new Uint8Array(20) });
    }
    expect(member.outcome(8)).toBeUndefined();
    expect(member.outcome(9)).toBe("busy");
});

// Guards against a log in memory that holds as many large entries as it may hold small ones.
test("a snapshot is requested after snapshotEveryBytes, and no more bytes stay in memory", () => {
    const member = new Member({ snapshotEveryBytes: 100 }, { ...MEMBERS, learners: ["d"] });
    member.becomeLeader();
    member.acknowledge("b", 1);
    member.acknowledge("c", 1);
    for (let requestId = 1; requestId <= 4; requestId += 1) {
        member.handle({ kind: "propose", requestId, payload: new Uint8Array(40) });
        member.acknowledge("b", requestId + 1);
    }
    const requested = member.effects.filter(effect => effect.kind === "takeSnapshot");
    expect(requested.map(({ index }) => index)).toEqual([4]);
    member.handle({ kind: "snapshotTaken", index: 4, data: PAYLOAD });
    member.sent = [];
    member.acknowledge("c", 2);
    member.receive("d", { kind: "appendReply", term: 1, success: false, matchIndex: 0, sentAt: member.now });
    expect(member.sent.map(({ to, message }) => [to, message.kind])).toEqual([["c", "append"], ["d", "snapshotChunk"]]);
});

// Guards against a chunk that is sent at each heartbeat over a link that takes longer for it.
test("a snapshot chunk that is not answered yet is sent again only after the reply to a later heartbeat", () => {
    const member = new Member({ snapshotEvery: 1 });
    member.becomeLeader();
    member.acknowledge("b", 1);
    for (let requestId = 1; requestId <= 3; requestId += 1) {
        member.propose(requestId);
        member.acknowledge("b", requestId + 1);
        member.handle({ kind: "snapshotTaken", index: requestId + 1, data: new Uint8Array(25) });
    }
    member.receive("c", { kind: "appendReply", term: 1, success: false, matchIndex: 0, sentAt: member.now });
    const sentAt = member.now;
    expect(member.takeSent("snapshotChunk").map(({ data }) => data.length)).toEqual([10]);
    member.advance(100);
    expect(member.takeSent("snapshotChunk").map(({ data }) => data.length)).toEqual([0, 0]);
    const reply = { kind: "snapshotReply", term: 1, lastIndex: 4, offset: 0, done: false } as const;
    member.receive("c", { ...reply, sentAt: sentAt + 50 });
    expect(member.takeSent("snapshotChunk").map(({ offset, data }) => [offset, data.length])).toEqual([[0, 10]]);
});

test("entries of an earlier term are committed only together with an entry of the current term", () => {
    const member = new Member();
    member.advance(300);
    member.receive("b", append(1, { entries: [entry(1, 1)] }));
    member.advance(600);
    member.receive("b", { kind: "preVoteReply", term: 2, granted: true });
    member.receive("b", { kind: "voteReply", term: 2, granted: true });
    const reply = { kind: "appendReply", term: 2, success: true, sentAt: member.now } as const;
    member.receive("b", { ...reply, matchIndex: 1 });
    expect(member.effects.some(effect => effect.kind === "commit")).toBe(false);
    member.receive("b", { ...reply, matchIndex: 2 });
    expect(member.effects.find(effect => effect.kind === "commit")?.entries).toHaveLength(2);
});

test("the outcome of a proposal is not reported until an entry is committed at its index", () => {
    const member = new Member();
    member.becomeLeader();
    member.propose(1);
    member.propose(2);
    const others = [entry(1, 1), entry(2, 2), entry(3, 2)];
    member.receive("c", append(2, { entries: others }));
    expect(member.outcome(1)).toBeUndefined();
    member.receive("c", append(2, { entries: others, commitIndex: 2 }));
    expect([member.outcome(1), member.outcome(2)]).toEqual(["lost", undefined]);
    member.propose(3);
    expect(member.outcome(3)).toBe("notLeader");
    const snapshot = { lastIndex: 9, lastTerm: 2, members: MEMBERS, offset: 0, data: PAYLOAD, done: true, sentAt: 0 };
    member.receive("c", { kind: "snapshotChunk", term: 2, ...snapshot });
    expect(member.outcome(2)).toBe("unknown");
});

test("proposals beyond the limit of uncommitted entries are refused as busy", () => {
    const member = new Member();
    member.becomeLeader();
    for (let requestId = 1; requestId <= 100; requestId += 1) {
        member.propose(requestId);
    }
    expect(member.outcome(63)).toBeUndefined();
    expect(member.outcome(64)).toBe("busy");
});

test("one voter changes at a time, after an entry of the term is committed; only caught-up learners are promoted", () => {
    const member = new Member();
    member.becomeLeader();
    const withLearner = { voters: ["a", "b", "c"], learners: ["d", "e"] };
    member.proposeMembers(1, withLearner);
    expect(member.outcome(1)).toBe("busy");
    member.acknowledge("b", 1);
    member.proposeMembers(2, { voters: ["a", "b", "c", "d"], learners: [] });
    member.proposeMembers(3, { voters: ["a"], learners: [] });
    member.proposeMembers(4, { voters: [], learners: [] });
    expect([2, 3, 4].map(requestId => member.outcome(requestId))).toEqual(["refused", "refused", "refused"]);
    member.proposeMembers(5, withLearner);
    member.proposeMembers(6, { voters: ["a", "b", "c"], learners: [] });
    member.acknowledge("b", 2);
    expect([member.outcome(5), member.outcome(6)]).toEqual(["committed", "busy"]);
    const promoted = { voters: ["a", "b", "c", "d"], learners: ["e"] };
    member.proposeMembers(7, promoted);
    member.proposeMembers(8, { voters: ["a", "b", "d"], learners: ["e"] });
    expect([member.outcome(7), member.outcome(8)]).toEqual(["busy", "refused"]);
    expect(member.caughtUp).toEqual([]);
    member.acknowledge("d", 2);
    expect(member.caughtUp).toEqual(["d"]);
    member.proposeMembers(9, promoted);
    member.acknowledge("b", 3);
    expect(member.outcome(9)).toBeUndefined();
    member.acknowledge("d", 3);
    expect(member.outcome(9)).toBe("committed");
});

test("a removed leader stays the leader until the change is committed, then steps down", () => {
    const member = new Member();
    member.becomeLeader();
    member.acknowledge("b", 1);
    member.proposeMembers(1, { voters: ["b", "c"], learners: [] });
    member.acknowledge("b", 2);
    expect(member.role()).toBe("leader");
    member.acknowledge("c", 2);
    expect(member.outcome(1)).toBe("committed");
    expect(member.role()).toBe("follower");
});

test("a single voter elects itself and commits once its own writes are durable", () => {
    const member = new Member({}, { voters: ["a"], learners: [] });
    member.advance(600);
    member.isSlow = true;
    member.propose(1);
    expect(member.outcome(1)).toBeUndefined();
    member.sync();
    expect(member.outcome(1)).toBe("committed");
});

test("a snapshot is sent in chunks to a member that is far behind, and resumes after an interruption", () => {
    const member = new Member({ snapshotEvery: 1 });
    member.becomeLeader();
    member.acknowledge("b", 1);
    const data = new Uint8Array(25).map((_, position) => position);
    for (let requestId = 1; requestId <= 3; requestId += 1) {
        member.propose(requestId);
        member.acknowledge("b", requestId + 1);
        member.handle({ kind: "snapshotTaken", index: requestId + 1, data });
    }
    member.takeSent("append");
    member.receive("c", { kind: "appendReply", term: 1, success: false, matchIndex: 0, sentAt: member.now });
    const reply = { kind: "snapshotReply", term: 1, lastIndex: 4, done: false, sentAt: member.now } as const;
    for (const offset of [10, 20, 20, 10]) {
        member.receive("c", { ...reply, offset });
    }
    expect(member.takeSent("snapshotChunk").map(({ offset, data: chunk, done }) => [offset, chunk.length, done]))
        .toEqual([
            [0, 10, false],
            [10, 10, false],
            [20, 5, true],
            [10, 10, false],
        ]);
    member.receive("c", { ...reply, offset: 25, done: true });
    expect(member.takeSent("append").at(-1)).toMatchObject({ previousIndex: 4 });
});

test("a received snapshot is acknowledged only when it is durable", () => {
    const member = new Member();
    member.isSlow = true;
    const fields = { lastIndex: 9, lastTerm: 2, members: MEMBERS, offset: 0, data: PAYLOAD, done: true, sentAt: 0 };
    member.receive("c", { kind: "snapshotChunk", term: 2, ...fields });
    expect(member.sent).toEqual([]);
    member.sync();
    expect(member.takeSent("snapshotReply")).toMatchObject([{ done: true, lastIndex: 9 }]);
});

test("an entry that replaces an unsynced one is not counted as durable when the batch of the replaced one is", () => {
    const member = new Member();
    member.isSlow = true;
    member.receive("b", append(1, { entries: [entry(1, 1), entry(2, 1)] }));
    const replaced = member.batch;
    member.receive("c", append(2, { entries: [entry(1, 2), entry(2, 2)], commitIndex: 2 }));
    member.handle({ kind: "persisted", batch: replaced });
    expect(member.effects.some(effect => effect.kind === "commit")).toBe(false);
    member.sync();
    expect(member.effects.find(effect => effect.kind === "commit")?.entries).toEqual([entry(1, 2), entry(2, 2)]);
});

test("a membership change that is truncated from the log is reverted", () => {
    const member = new Member();
    const members = { voters: ["a", "b"], learners: [] };
    member.receive("b", append(1, { entries: [{ ...entry(1, 1), members }] }));
    expect(member.members).toEqual(members);
    member.receive("c", append(2, { entries: [entry(1, 2)] }));
    expect(member.members).toEqual(MEMBERS);
});

test("a voter starts elections until its removal is committed, and none afterwards", () => {
    const member = new Member();
    const members = { voters: ["b", "c"], learners: [] };
    const change = append(1, { entries: [{ ...entry(1, 1), members }] });
    member.receive("b", change);
    member.advance(600);
    expect(member.takeSent("preVote")).not.toEqual([]);
    member.receive("b", { ...change, commitIndex: 1 });
    member.advance(1_200);
    expect(member.takeSent("preVote")).toEqual([]);
});

// Guards against a follower that lags, or has no contact to the leader, and passes its state for the newest.
test("a follower is current while it hears from the leader and has applied what that one had committed", () => {
    const member = new Member();
    expect(member.isCurrent).toBe(false);
    member.receive("b", append(1, { entries: [entry(1, 1)], commitIndex: 2 }));
    expect(member.isCurrent).toBe(false);
    member.receive("b", append(1, { previousIndex: 1, previousTerm: 1, entries: [entry(2, 1)], commitIndex: 2 }));
    expect(member.isCurrent).toBe(true);
    member.isSlow = true;
    member.receive("b", append(1, { previousIndex: 2, previousTerm: 1, entries: [entry(3, 1)], commitIndex: 3 }));
    expect(member.isCurrent).toBe(false);
    member.sync();
    expect(member.isCurrent).toBe(true);
    member.now += OPTIONS.electionMs + 1;
    expect(member.isCurrent).toBe(false);
    member.isSlow = false;
    // A new leader may know of less than its predecessor had committed until it has committed an entry of its own.
    member.receive("c", append(2, { previousIndex: 3, previousTerm: 1, entries: [entry(4, 2)], commitIndex: 2 }));
    expect(member.isCurrent).toBe(false);
    member.receive("c", append(2, { previousIndex: 4, previousTerm: 2, commitIndex: 4 }));
    expect(member.isCurrent).toBe(true);
    // The next one has not yet told how far it has committed.
    member.receive("b", {
        kind: "snapshotChunk",
        term: 3,
        lastIndex: 9,
        lastTerm: 1,
        members: MEMBERS,
        offset: 0,
        data: new Uint8Array(1),
        done: false,
        sentAt: 0,
    });
    expect(member.isCurrent).toBe(false);
});

// Guards against a leader that others have replaced and that passes its state for the newest.
test("a leader is current while a quorum answers it and it has applied what it committed", () => {
    const member = new Member();
    member.becomeLeader();
    expect(member.isCurrent).toBe(false);
    member.acknowledge("b", 1);
    expect(member.isCurrent).toBe(true);
    member.now += OPTIONS.electionMs + 1;
    expect(member.isCurrent).toBe(false);
});
