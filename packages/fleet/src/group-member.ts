import { ConsensusStore, describeStoreError, type RecoveredState, type StoreError } from "@medlarledge/agreement";
import {
    ControlState,
    decodeCommand,
    encodeCommand,
    hostOfMember,
    repairedMembers,
    replacementMemberId,
} from "@medlarledge/control";
import {
    ChangeOutcome,
    type ChangeResult,
    type ConfigurationChange,
    type ConfigurationFile,
    type ConsensusEnvelope,
    type Host,
    type LogEntry,
} from "@medlarledge/protocol";
import { type Clock, type ConsensusReport, ConsensusTask } from "@medlarledge/runtime";
import type { LogEvent, LogFields } from "@medlarledge/telemetry";
import { randomInt } from "node:crypto";

/** Committed entries between two snapshots. Bounds the log in memory at some megabytes even for large configurations. */
const SNAPSHOT_EVERY = 64;
const MAX_BATCH_ENTRIES = 64;
const SNAPSHOT_CHUNK_BYTES = 256 * 1024;

/** Interval of appends to a member while there is nothing new. */
const HEARTBEAT_MS = 75;

/** A follower starts an election after one to two times this without a leader. */
const ELECTION_MS = 300;

/** Precision of heartbeats and elections. */
const TICK_MS = 20;

/** How often the leader looks whether the members should change. */
const REPAIR_MS = 100;

/** Pause before a store that failed is opened again. */
const REOPEN_MS = 1_000;

/** Longest wait for a proposal or for the proof of leadership behind a read. */
const ANSWER_MS = 900;

export type ConfigurationRead =
    | { readonly kind: "newest"; readonly change: ConfigurationChange | undefined; }
    /** This member cannot be sure which configuration is the newest. */
    | { readonly kind: "unavailable"; };

export interface MemberEvents {
    /** The leader, its term or the members changed. */
    roleChanged(): void;
    /** A configuration was committed. */
    configured(change: ConfigurationChange): void;
    event(name: LogEvent, fields: LogFields): void;
}

export interface GroupMemberOptions {
    readonly self: Host;
    readonly dataFolder: string;
    /** Host ids that form the group at the very first start of the system; undefined on any later start. */
    readonly founders: readonly string[] | undefined;
    readonly clock: Clock;
    readonly send: (to: string, envelope: ConsensusEnvelope) => void;
    /** Findings of a configuration; none means that it is valid. */
    readonly validate: (files: readonly ConfigurationFile[]) => readonly string[];
    readonly events: MemberEvents;
}

interface Proposal {
    readonly change: ConfigurationChange;
    readonly resolve: (result: ChangeResult) => void;
}

interface PendingRead {
    readonly askedAt: number;
    readonly resolve: (read: ConfigurationRead) => void;
}

type Reports = {
    readonly [K in ConsensusReport["kind"]]: (report: Extract<ConsensusReport, { kind: K; }>) => void;
};

/** One host's membership in the control group: its store, its part in the replicated log, and the state it holds. */
export class GroupMember {
    readonly #options: GroupMemberOptions;
    readonly #joining = new Map<string, number>();
    readonly #proposals = new Map<number, Proposal>();
    readonly #reads = new Set<PendingRead>();
    #state = new ControlState();
    #store: ConsensusStore | undefined;
    #agreement: ConsensusTask | undefined;
    #memberId = "";
    #role: Extract<ConsensusReport, { kind: "role"; }> = {
        kind: "role",
        role: "follower",
        term: 0,
        leader: undefined,
    };
    /** Term whose opening entry is applied here: the leader then knows everything committed before. */
    #openTerm = 0;
    #lastRequestId = 0;
    #repairTimer: NodeJS.Timeout | undefined;
    #isStopped = false;

    readonly #reports: Reports = {
        committed: report => report.entries.forEach(entry => this.#apply(entry)),
        restored: report => this.#restore(report.data),
        role: report => this.#roleChanged(report),
        proposed: report => this.#proposed(report.requestId, report.outcome),
        snapshotWanted: report => this.#agreement?.snapshotTaken(report.index, this.#state.snapshot()),
        failed: report => void this.#failed(report.error),
    };

    constructor(options: GroupMemberOptions) {
        this.#options = options;
    }

    get memberId(): string {
        return this.#memberId;
    }

    /** This member leads, and has applied everything that earlier leaders committed. */
    get isLeader(): boolean {
        return this.#role.role === "leader" && this.#openTerm === this.#role.term;
    }

    get term(): number {
        return this.#role.term;
    }

    /** Host id of the leader, when it is known. */
    get leader(): string | undefined {
        return this.#role.leader === undefined ? undefined : hostOfMember(this.#role.leader);
    }

    /** Host ids of the members. */
    get hosts(): readonly string[] {
        const members = this.#agreement?.members;
        return members === undefined ? [] : [...new Set([...members.voters, ...members.learners].map(hostOfMember))];
    }

    /** The newest configuration that is known here to be committed. */
    get configuration(): ConfigurationChange | undefined {
        return this.#state.configuration();
    }

    /** The leader's quorum has answered within the time after which it would step down. */
    get hasQuorum(): boolean {
        const { clock } = this.#options;
        return this.isLeader && clock.now() - (this.#agreement?.quorumContactAt() ?? -Infinity) < ELECTION_MS;
    }

    /** Opens the data folder and takes part. Returns a reason when the folder cannot be used. */
    async start(): Promise<string | undefined> {
        const error = await this.#open();
        if (error !== undefined) {
            return describeStoreError(error);
        }
        this.#repairTimer = setInterval(() => this.#tick(), REPAIR_MS);
        return undefined;
    }

    receive(envelope: ConsensusEnvelope): void {
        this.#agreement?.receive(envelope);
    }

    /** Another host asks to become a member; only the leader acts on it. */
    joinRequested(memberId: string): void {
        this.#joining.set(memberId, this.#options.clock.now());
    }

    /** Proposes a configuration. Numbers that are not new are answered without a log entry, by any member. */
    propose(change: ConfigurationChange): Promise<ChangeResult> {
        const configuration = this.#state.configurationState();
        const outcome = configuration.evaluate(change);
        if (outcome !== ChangeOutcome.Accepted) {
            return Promise.resolve(configuration.result(outcome, []));
        }
        const findings = this.#options.validate(change.files);
        if (findings.length > 0) {
            return Promise.resolve(configuration.result(ChangeOutcome.Invalid, findings));
        }
        const agreement = this.#agreement;
        if (!this.isLeader || agreement === undefined) {
            return Promise.resolve(configuration.result(ChangeOutcome.Unavailable, []));
        }
        return new Promise(resolve => this.#submit(agreement, { change, resolve }));
    }

    /** Reads the newest configuration; the leader proves that it still leads before it answers. */
    read(): Promise<ConfigurationRead> {
        if (!this.isLeader) {
            return Promise.resolve({ kind: "unavailable" });
        }
        return new Promise(resolve => this.#reads.add({ askedAt: this.#options.clock.now(), resolve }));
    }

    async stop(): Promise<void> {
        this.#isStopped = true;
        clearInterval(this.#repairTimer);
        await this.#agreement?.close();
    }

    async #open(): Promise<StoreError | undefined> {
        const opened = await ConsensusStore.open(this.#options.dataFolder);
        if (!opened.ok) {
            return opened.error;
        }
        if (!opened.recovered.fresh) {
            this.#run(opened.store, opened.recovered);
            return undefined;
        }
        const { self, founders } = this.#options;
        const isFounder = founders?.includes(self.id) === true;
        const error = isFounder
            ? await opened.store.initialize(self.id, { voters: [...founders].sort(), learners: [] })
            : await opened.store.initialize(replacementMemberId(self.id, self.incarnation));
        if (error !== undefined) {
            return error;
        }
        await opened.store.close();
        return this.#open();
    }

    #run(store: ConsensusStore, recovered: RecoveredState): void {
        const { clock, send } = this.#options;
        this.#store = store;
        this.#memberId = recovered.memberId ?? "";
        this.#state = new ControlState();
        const agreement = new ConsensusTask({
            store,
            recovered,
            agreement: {
                id: this.#memberId,
                heartbeatMs: HEARTBEAT_MS,
                electionMs: ELECTION_MS,
                snapshotEvery: SNAPSHOT_EVERY,
                maxBatchEntries: MAX_BATCH_ENTRIES,
                snapshotChunkBytes: SNAPSHOT_CHUNK_BYTES,
                seed: randomInt(2 ** 31),
            },
            clock,
            tickMs: TICK_MS,
            send: envelope => send(hostOfMember(envelope.to), envelope),
        });
        this.#agreement = agreement;
        void agreement.reports.observe(report => {
            if (this.#agreement === agreement) {
                (this.#reports[report.kind] as (report: ConsensusReport) => void)(report);
            }
        });
        agreement.start();
    }

    /** The disk refuses writes: this member cannot vote or acknowledge, and tries again with what the disk holds. */
    async #failed(error: StoreError): Promise<void> {
        this.#options.events.event("storeFailed", { error: describeStoreError(error) });
        this.#agreement = undefined;
        this.#roleChanged({ kind: "role", role: "follower", term: this.#role.term, leader: undefined });
        await this.#store?.close();
        this.#reopenLater();
    }

    #reopenLater(): void {
        setTimeout(() => {
            if (!this.#isStopped) {
                void this.#reopen();
            }
        }, REOPEN_MS);
    }

    async #reopen(): Promise<void> {
        const error = await this.#open();
        if (error !== undefined) {
            this.#reopenLater();
        }
        this.#options.events.event("storeReopened", {
            error: error === undefined ? undefined : describeStoreError(error),
        });
    }

    #submit(agreement: ConsensusTask, proposal: Proposal): void {
        this.#lastRequestId += 1;
        const requestId = this.#lastRequestId;
        const { change } = proposal;
        this.#proposals.set(requestId, proposal);
        setTimeout(() => this.#unavailable(requestId), ANSWER_MS);
        const at = this.#options.clock.wallClock();
        agreement.propose(requestId, encodeCommand({ kind: "changeConfiguration", change, at }));
    }

    #proposed(requestId: number, outcome: string): void {
        if (outcome !== "committed") {
            this.#unavailable(requestId);
        }
    }

    /** The outcome is not known: the operator sends the change again. */
    #unavailable(requestId: number): void {
        const proposal = this.#proposals.get(requestId);
        this.#proposals.delete(requestId);
        proposal?.resolve(this.#state.configurationState().result(ChangeOutcome.Unavailable, []));
    }

    #apply(entry: LogEntry): void {
        const command = decodeCommand(entry.payload);
        if (entry.members !== undefined) {
            this.#options.events.event("membersChanged", { ...entry.members });
            this.#options.events.roleChanged();
        }
        if (command === undefined) {
            return;
        }
        const result = this.#state.apply(command);
        if (command.kind === "openLeadership") {
            this.#openTerm = entry.term;
            this.#options.events.roleChanged();
        }
        if (command.kind === "changeConfiguration" && result.kind === "changeConfiguration") {
            this.#configurationApplied(command.change, result.result);
        }
    }

    #configurationApplied(change: ConfigurationChange, result: ChangeResult): void {
        if (result.outcome === ChangeOutcome.Accepted) {
            this.#options.events.configured(change);
        }
        for (const [requestId, proposal] of [...this.#proposals]) {
            if (proposal.change.number === change.number && proposal.change.digest === change.digest) {
                this.#proposals.delete(requestId);
                proposal.resolve(result);
            }
        }
    }

    #restore(data: Uint8Array): void {
        this.#state = ControlState.restore(data);
        const change = this.#state.configuration();
        if (change !== undefined) {
            this.#options.events.configured(change);
        }
    }

    #roleChanged(report: Extract<ConsensusReport, { kind: "role"; }>): void {
        this.#role = report;
        if (report.role === "leader") {
            this.#joining.clear();
            const command = { kind: "openLeadership", host: this.#options.self.id, at: 0 } as const;
            this.#lastRequestId += 1;
            this.#agreement?.propose(this.#lastRequestId, encodeCommand(command));
        }
        else {
            this.#abandon();
        }
        this.#options.events.roleChanged();
    }

    /** A member that does not lead any more cannot tell what becomes of open requests. */
    #abandon(): void {
        for (const requestId of [...this.#proposals.keys()]) {
            this.#unavailable(requestId);
        }
        for (const read of this.#reads) {
            read.resolve({ kind: "unavailable" });
        }
        this.#reads.clear();
    }

    #tick(): void {
        const agreement = this.#agreement;
        if (agreement === undefined || !this.isLeader) {
            return;
        }
        this.#answerReads(agreement);
        this.#repair(agreement);
    }

    /** A message sent after the question and answered by a quorum shows that no other leader had been elected. */
    #answerReads(agreement: ConsensusTask): void {
        const now = this.#options.clock.now();
        const provedAt = agreement.quorumContactAt();
        for (const read of [...this.#reads]) {
            if (provedAt > read.askedAt) {
                this.#reads.delete(read);
                read.resolve({ kind: "newest", change: this.#state.configuration() });
            }
            else if (now - read.askedAt > ANSWER_MS) {
                this.#reads.delete(read);
                read.resolve({ kind: "unavailable" });
            }
        }
    }

    #repair(agreement: ConsensusTask): void {
        const now = this.#options.clock.now();
        for (const [memberId, askedAt] of this.#joining) {
            if (now - askedAt > ANSWER_MS) {
                this.#joining.delete(memberId);
            }
        }
        const next = repairedMembers(agreement.members, {
            joining: [...this.#joining.keys()],
            caughtUp: agreement.caughtUpLearners(),
            silentMs: agreement.voterSilence(),
        });
        if (next !== undefined) {
            this.#lastRequestId += 1;
            agreement.proposeMembers(this.#lastRequestId, next);
        }
    }
}
