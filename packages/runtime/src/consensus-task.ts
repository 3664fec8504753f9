import {
    type ConsensusEffect,
    type ConsensusEvent,
    ConsensusMember,
    type ConsensusOptions,
    type ConsensusStore,
    mergeBatches,
    type ProposalOutcome,
    type RecoveredState,
    type Role,
    type StoreError,
} from "@medlarledge/agreement";
import type { ConsensusEnvelope, ConsensusMessage, LogEntry, Members } from "@medlarledge/protocol";
import { merge, periodic } from "most";
import { Channel } from "./channel.js";
import type { Clock } from "./clock.js";

/** Interval of ticks when the options state none, in ms. */
const DEFAULT_TICK_MS = 10;

/** Output of the task for the state machine that applies the log. */
export type ConsensusReport =
    | { readonly kind: "committed"; readonly entries: readonly LogEntry[]; }
    | { readonly kind: "restored"; readonly index: number; readonly data: Uint8Array; }
    | { readonly kind: "role"; readonly role: Role; readonly term: number; readonly leader: string | undefined; }
    | { readonly kind: "proposed"; readonly requestId: number; readonly outcome: ProposalOutcome; }
    | { readonly kind: "snapshotWanted"; readonly index: number; }
    | { readonly kind: "failed"; readonly error: StoreError; };

type WriteEffect = Extract<ConsensusEffect, { kind: "persist" | "saveSnapshot"; }>;
type Executors = { readonly [K in ConsensusEffect["kind"]]: (effect: Extract<ConsensusEffect, { kind: K; }>) => void; };

export interface ConsensusTaskOptions {
    readonly store: ConsensusStore;
    readonly recovered: RecoveredState;
    readonly agreement: ConsensusOptions;
    readonly clock: Clock;
    /** Interval of ticks, in ms: the precision of heartbeats and elections. */
    readonly tickMs?: number;
    /** True for the id of a former member of this host, whose files are lost. Defaults to none. */
    readonly isFormerId?: (id: string) => boolean;
    readonly send: (envelope: ConsensusEnvelope) => void;
}

/**
 * Runs a member of the consensus group: passes messages, ticks and proposals to it and executes its effects. Owns the
 * store; after an error of the store it reports `failed` and stops.
 */
export class ConsensusTask {
    readonly #options: ConsensusTaskOptions;
    readonly #member: ConsensusMember;
    readonly #events = new Channel<ConsensusEvent>();
    readonly #reports = new Channel<ConsensusReport>();
    readonly #writes: WriteEffect[] = [];
    readonly #waitingEvents: ConsensusEvent[] = [];
    #handling = false;
    #writing = false;
    #hasWritten = false;
    #stopped = false;

    readonly #executors: Executors = {
        persist: effect => this.#write(effect),
        saveSnapshot: effect => this.#write(effect),
        send: effect => this.#send(effect.to, effect.message),
        commit: effect => this.#reports.push({ kind: "committed", entries: effect.entries }),
        proposed: effect => this.#reports.push(effect),
        role: effect => this.#reports.push(effect),
        takeSnapshot: effect => this.#reports.push({ kind: "snapshotWanted", index: effect.index }),
        restoreSnapshot: effect => this.#reports.push({ kind: "restored", index: effect.index, data: effect.data }),
    };

    constructor(options: ConsensusTaskOptions) {
        this.#options = options;
        this.#member = new ConsensusMember(options.agreement);
    }

    /** Stream of the reports; it delivers only to observers that are present at the time. */
    get reports(): Channel<ConsensusReport>["stream"] {
        return this.#reports.stream;
    }

    /** The latest members in the log, whether committed or not. */
    get members(): Members {
        return this.#member.members;
    }

    /** Index of the entry that set the latest members, or of the snapshot that holds them. */
    get membersIndex(): number {
        return this.#member.membersIndex;
    }

    /** See `ConsensusMember.areVotersProven`. */
    get areVotersProven(): boolean {
        return this.#member.areVotersProven;
    }

    /** See `ConsensusMember.isCurrent`. */
    get isCurrent(): boolean {
        return this.#member.isCurrent(this.#options.clock.now());
    }

    /** Index of the last entry that this member knows to be committed. */
    get commitIndex(): number {
        return this.#member.commitIndex;
    }

    /** Index of the last entry that was reported as committed; it is below `commitIndex` while the own disk is behind. */
    get appliedIndex(): number {
        return this.#member.appliedIndex;
    }

    /** True once this member has started to write a vote, an entry or a snapshot, so that the group exists. */
    get hasWritten(): boolean {
        return this.#hasWritten;
    }

    /** Starts the member. The stream of reports must be observed before. */
    start(): void {
        const ticks = periodic(this.#options.tickMs ?? DEFAULT_TICK_MS).map((): ConsensusEvent => ({ kind: "tick" }));
        void merge(this.#events.stream, ticks)
            .takeWhile(() => !this.#stopped)
            .observe(event => this.#handle(event));
        this.#events.push({ kind: "start", recovered: this.#options.recovered });
    }

    /** Handles a message of another member. One for a former member of this host is answered with `memberLost`. */
    receive({ from, to, message }: ConsensusEnvelope): void {
        if (to === this.#options.agreement.id) {
            this.#events.push({ kind: "message", from, message });
        }
        else if (this.#options.isFormerId?.(to) === true) {
            this.#send(from, { kind: "memberLost", member: to });
        }
    }

    /** Proposes an entry. The outcome is reported as `proposed` with the same request id. */
    propose(requestId: number, payload: Uint8Array): void {
        this.#events.push({ kind: "propose", requestId, payload });
    }

    /** Proposes a membership change. The outcome is reported as `proposed` with the same request id. */
    proposeMembers(requestId: number, members: Members): void {
        this.#events.push({ kind: "proposeMembers", requestId, members });
    }

    /** Passes on the snapshot of the state machine at `index`, in answer to the report `snapshotWanted`. */
    snapshotTaken(index: number, data: Uint8Array): void {
        this.#events.push({ kind: "snapshotTaken", index, data });
    }

    /** Latest send time that a quorum has answered, in ms; -Infinity if this member is not the leader. */
    quorumContactAt(): number {
        return this.#member.quorumContactAt(this.#options.clock.now());
    }

    /** Time since the last contact with each other member, in ms; empty if this member is not the leader. */
    memberSilence(): ReadonlyMap<string, number> {
        return this.#member.memberSilence(this.#options.clock.now());
    }

    /** See `ConsensusMember.leaderSilence`. */
    leaderSilence(): number {
        return this.#member.leaderSilence(this.#options.clock.now());
    }

    /** Learners that can be promoted to voters now; empty if this member is not the leader. */
    caughtUpLearners(): readonly string[] {
        return this.#member.caughtUpLearners(this.#options.clock.now());
    }

    /** Voters that have not answered within the election timeout; empty if this member is not the leader. */
    suspectedVoters(): readonly string[] {
        return this.#member.suspectedVoters(this.#options.clock.now());
    }

    /** Stops the member and closes the store. Returns the error of closing it. */
    close(): Promise<StoreError | undefined> {
        this.#stopped = true;
        return this.#options.store.close();
    }

    /**
     * Handles an event after all effects of the events before it. A report can lead to an event at once: a snapshot that is
     * taken in answer to one would be written before the entries of the same step, and count them as durable.
     */
    #handle(event: ConsensusEvent): void {
        this.#waitingEvents.push(event);
        if (this.#handling) {
            return;
        }
        this.#handling = true;
        try {
            for (let next = this.#waitingEvents.shift(); next !== undefined; next = this.#waitingEvents.shift()) {
                this.#member.handle(next, this.#options.clock.now()).forEach(effect => this.#execute(effect));
            }
        }
        finally {
            this.#handling = false;
        }
    }

    #execute(effect: ConsensusEffect): void {
        (this.#executors[effect.kind] as (effect: ConsensusEffect) => void)(effect);
    }

    #send(to: string, message: ConsensusMessage): void {
        this.#options.send({ kind: "agreement", from: this.#options.agreement.id, to, message });
    }

    #write(effect: WriteEffect): void {
        this.#hasWritten = true;
        this.#writes.push(effect);
        if (!this.#writing) {
            void this.#writeAll();
        }
    }

    /** Writes one batch at a time; effects that are queued during a sync share the next one. */
    async #writeAll(): Promise<void> {
        this.#writing = true;
        while (this.#writes.length > 0 && !this.#stopped) {
            const effects = this.#nextWrites();
            const error = await this.#writeBatch(effects);
            if (error !== undefined) {
                this.#fail(error);
                return;
            }
            const last = effects.at(-1);
            if (last !== undefined) {
                this.#events.push({ kind: "persisted", batch: last.batch });
            }
        }
        this.#writing = false;
    }

    /** Dequeues the next effects to write: one snapshot, or all `persist` effects before the next snapshot. */
    #nextWrites(): readonly WriteEffect[] {
        const snapshotAt = this.#writes.findIndex(effect => effect.kind === "saveSnapshot");
        const count = snapshotAt === -1 ? this.#writes.length : Math.max(1, snapshotAt);
        return this.#writes.splice(0, count);
    }

    #writeBatch(effects: readonly WriteEffect[]): Promise<StoreError | undefined> {
        const [first] = effects;
        if (first?.kind === "saveSnapshot") {
            return this.#options.store.saveSnapshot(first.snapshot);
        }
        const batches = effects.filter(effect => effect.kind === "persist");
        return this.#options.store.persist(mergeBatches(batches));
    }

    #fail(error: StoreError): void {
        if (!this.#stopped) {
            this.#stopped = true;
            this.#reports.push({ kind: "failed", error });
        }
    }
}
