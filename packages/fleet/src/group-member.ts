import {
    ConsensusStore,
    describeStoreError,
    type FileSystem,
    isDiskError,
    nodeFileSystem,
    type RecoveredState,
    type StoreError,
} from "@medlarledge/agreement";
import {
    CONFIGURATION_TOO_LARGE,
    type ControlCommand,
    ControlState,
    decodeCommand,
    encodeCommand,
    hostOfMember,
    type LeaveState,
    leaveState,
    repairedMembers,
    replacementMemberId,
    requiredVoters,
} from "@medlarledge/control";
import {
    ChangeOutcome,
    type ChangeResult,
    type ConfigurationChange,
    type ConfigurationFile,
    type ConsensusEnvelope,
    type Host,
    type LogEntry,
    type PromotionOrder,
} from "@medlarledge/protocol";
import { type Clock, type ConsensusReport, ConsensusTask } from "@medlarledge/runtime";
import type { LogEvent, LogFields } from "@medlarledge/telemetry";
import { randomInt } from "node:crypto";
import { membershipOf, type MemberStatus, StatusSchedule } from "./member-status.js";

/** Committed entries between two snapshots. */
const SNAPSHOT_INTERVAL_ENTRIES = 64;
/** Bytes of committed entries between two snapshots; bounds the log in memory while configurations are large. */
const SNAPSHOT_INTERVAL_BYTES = 4 * 1024 * 1024;
const MAX_BATCH_ENTRIES = 64;
/** A batch has to reach the slowest links within an election timeout; configurations shrink to about a tenth. */
const MAX_BATCH_BYTES = 512 * 1024;
const SNAPSHOT_CHUNK_BYTES = 256 * 1024;

/** Interval of empty append messages to a member. */
const HEARTBEAT_INTERVAL_MS = 75;

/** A follower starts an election after one to two times this without contact to a leader. */
const ELECTION_TIMEOUT_MS = 300;

/** Interval of the timer that drives heartbeats and elections. */
const TICK_MS = 20;

/** Interval at which the leader checks whether the members should change. */
const REPAIR_INTERVAL_MS = 100;

/** Delay before a failed store is opened again. */
const REOPEN_DELAY_MS = 1_000;

/**
 * Limit for a proposal, for the confirmation of leadership that a read needs, and for a membership request to stay
 * valid.
 */
const ANSWER_TIMEOUT_MS = 900;

export type ConfigurationReadResult =
    | { readonly kind: "newest"; readonly change: ConfigurationChange | undefined; }
    /** This member could not confirm which configuration is the newest. */
    | { readonly kind: "unavailable"; };

export interface MemberEvents {
    /** The leader, its term or the members changed. */
    roleChanged(): void;
    /** A configuration was committed. */
    configured(change: ConfigurationChange): void;
    /** A promotion order was committed. */
    promotionOrdered(order: PromotionOrder): void;
    event(name: LogEvent, fields: LogFields): void;
}

export interface GroupMemberOptions {
    readonly self: Host;
    readonly dataFolder: string;
    /** Defaults to the file system of the operating system. */
    readonly files?: FileSystem;
    /** Host ids of the first members at the first start of the system; undefined on any later start. */
    readonly initialMembers: readonly string[] | undefined;
    /** Number of control hosts that may lose their disks at the same time. */
    readonly toleratedLosses: number;
    readonly clock: Clock;
    /** Seed of the election timeouts; a random one by default, so that hosts do not start elections together. */
    readonly seed?: number;
    readonly send: (to: string, envelope: ConsensusEnvelope) => void;
    /**
     * Time for which this host has had no link to another control host that it had a link to before, in ms; 0 while it has
     * one. Defaults to 0 for all.
     */
    readonly unlinkedMs?: (host: string) => number;
    /** Returns the findings on a configuration; none means that it is valid. */
    readonly validate: (files: readonly ConfigurationFile[]) => readonly string[];
    readonly events: MemberEvents;
}

interface Proposal {
    readonly change: ConfigurationChange;
    readonly resolve: (result: ChangeResult) => void;
}

interface PendingRead {
    readonly requestedAt: number;
    /** Last entry that was committed when the read came; the answer must include it. */
    readonly commitIndex: number;
    readonly resolve: (read: ConfigurationReadResult) => void;
}

type Reports = {
    readonly [K in ConsensusReport["kind"]]: (report: Extract<ConsensusReport, { kind: K; }>) => void;
};

/** One host's membership in the control group: its store, its consensus member, and the replicated state. */
export class GroupMember {
    readonly #options: GroupMemberOptions;
    readonly #joinRequestedAt = new Map<string, number>();
    readonly #leaveRequestedAt = new Map<string, number>();
    readonly #proposals = new Map<number, Proposal>();
    readonly #reads = new Set<PendingRead>();
    /** Callbacks of commands that are not configurations, by request id. */
    readonly #commands = new Map<number, (isCommitted: boolean) => void>();
    readonly #statusSchedule = new StatusSchedule();
    #state = new ControlState();
    #store: ConsensusStore | undefined;
    #agreement: ConsensusTask | undefined;
    #memberId = "";
    #toleratedLosses: number;
    #isBelowTolerance = false;
    #role: Extract<ConsensusReport, { kind: "role"; }> = {
        kind: "role",
        role: "follower",
        term: 0,
        leader: undefined,
    };
    /** Latest term whose opening entry has been applied here; by then all entries committed before are applied too. */
    #openedTerm = 0;
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
        this.#toleratedLosses = options.toleratedLosses;
    }

    /** Id of this member; undefined while its store is not open, so that it can neither vote nor acknowledge. */
    get memberId(): string | undefined {
        return this.#agreement === undefined ? undefined : this.#memberId;
    }

    /** True when this member is the leader and has applied all entries that earlier leaders committed. */
    get isLeader(): boolean {
        return this.#role.role === "leader" && this.#openedTerm === this.#role.term;
    }

    get term(): number {
        return this.#role.term;
    }

    /** Host id of the leader; undefined while it is not known. */
    get leader(): string | undefined {
        return this.#role.leader === undefined ? undefined : hostOfMember(this.#role.leader);
    }

    /** Host ids of the voters and learners. */
    get hosts(): readonly string[] {
        const members = this.#agreement?.members;
        return members === undefined ? [] : [...new Set([...members.voters, ...members.learners].map(hostOfMember))];
    }

    /** Index of the log entry that set the voters and learners, or of a later snapshot with them. */
    get hostsIndex(): number {
        return this.#agreement?.membersIndex ?? 0;
    }

    /** See `ConsensusMember.isCurrent`. */
    get isCurrent(): boolean {
        return this.#agreement?.isCurrent === true;
    }

    /** Place of this host in the group, and how far it has followed the log. */
    get status(): MemberStatus {
        const { memberId, term, leader, hostsIndex } = this;
        const agreement = this.#agreement;
        return {
            membership: agreement === undefined ? "none" : membershipOf(this.#memberId, agreement.members),
            memberId,
            voters: agreement?.members.voters.length ?? 0,
            requiredVoters: requiredVoters(this.#toleratedLosses),
            term,
            leader,
            hostsIndex,
            committedIndex: agreement?.commitIndex ?? 0,
            appliedIndex: agreement?.appliedIndex ?? 0,
            leaderSilenceMs: agreement === undefined ? undefined : Math.round(agreement.leaderSilence()),
        };
    }

    /** The newest configuration that this member knows to be committed. */
    get configuration(): ConfigurationChange | undefined {
        return this.#state.configuration();
    }

    /** Entry hosts to which leaders may have granted leases. */
    get registeredHosts(): readonly Host[] {
        return this.#state.hosts();
    }

    /** The newest committed promotion order of each group. */
    get promotions(): readonly PromotionOrder[] {
        return this.#state.promotions();
    }

    /** True when this member leads and a quorum has answered it within the time after which it would step down. */
    get hasQuorum(): boolean {
        const { clock } = this.#options;
        return this.isLeader && clock.now() - (this.#agreement?.quorumContactAt() ?? -Infinity) < ELECTION_TIMEOUT_MS;
    }

    /**
     * Opens the data folder and starts the consensus member. While the disk does not allow that, for example since it is
     * full, opening is retried. Returns a reason when the stored data cannot be used.
     */
    async start(): Promise<string | undefined> {
        const error = await this.#open();
        if (error !== undefined && !isDiskError(error)) {
            return describeStoreError(error);
        }
        if (error !== undefined) {
            this.#options.events.event("storeFailed", { error: describeStoreError(error) });
            this.#reopenLater();
        }
        this.#repairTimer = setInterval(() => this.#tick(), REPAIR_INTERVAL_MS);
        return undefined;
    }

    /** Handles a message of another member. Only the host of a member may say that its files are lost. */
    receive(envelope: ConsensusEnvelope): void {
        const { from, message } = envelope;
        if (message.kind !== "memberLost" || hostOfMember(message.member) === hostOfMember(from)) {
            this.#agreement?.receive(envelope);
        }
    }

    /** Sets the number of control hosts that may lose their disks at the same time, after a change of settings. */
    setToleratedLosses(toleratedLosses: number): void {
        this.#toleratedLosses = toleratedLosses;
    }

    /** Records another host's request to become a member; only the leader acts on it. */
    joinRequested(memberId: string): void {
        this.#joinRequestedAt.set(memberId, this.#options.clock.now());
    }

    /**
     * Handles the request of a member whose host is about to stop, and returns what has become of it; only the leader
     * answers. The request is valid for a limited time and has to be repeated.
     */
    leaveRequested(memberId: string): LeaveState | undefined {
        const agreement = this.#agreement;
        if (agreement === undefined || !this.isLeader) {
            return undefined;
        }
        this.#leaveRequestedAt.set(memberId, this.#options.clock.now());
        this.#joinRequestedAt.delete(memberId);
        this.#repair(agreement);
        const requests = {
            joining: [...this.#joinRequestedAt.keys()],
            leaving: [...this.#leaveRequestedAt.keys()],
            toleratedLosses: this.#toleratedLosses,
        };
        return leaveState(agreement.members, agreement.membersIndex <= agreement.commitIndex, memberId, requests);
    }

    /** True when the group is known to have removed this member. */
    get hasLeft(): boolean {
        const agreement = this.#agreement;
        return agreement !== undefined && agreement.membersIndex <= agreement.commitIndex
            && membershipOf(this.#memberId, agreement.members) === "none";
    }

    /** Proposes a configuration. Any member answers proposals whose number is not new, without a log entry. */
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

    /** Commits a command that is not a configuration. Resolves to false when it may not have been committed. */
    submit(command: Exclude<ControlCommand, { kind: "changeConfiguration"; }>): Promise<boolean> {
        const agreement = this.#agreement;
        if (!this.isLeader || agreement === undefined) {
            return Promise.resolve(false);
        }
        this.#lastRequestId += 1;
        const requestId = this.#lastRequestId;
        return new Promise(resolve => {
            this.#commands.set(requestId, resolve);
            setTimeout(() => this.#commandEnded(requestId, false), ANSWER_TIMEOUT_MS);
            agreement.propose(requestId, encodeCommand(command));
        });
    }

    /** Reads the newest configuration (linearizable): the leader answers after it has confirmed its leadership. */
    read(): Promise<ConfigurationReadResult> {
        const agreement = this.#agreement;
        if (!this.isLeader || agreement === undefined) {
            return Promise.resolve({ kind: "unavailable" });
        }
        const { commitIndex } = agreement;
        return new Promise(resolve => {
            this.#reads.add({ requestedAt: this.#options.clock.now(), commitIndex, resolve });
        });
    }

    /** Reads the number of the newest configuration, 0 before the first; undefined when it cannot be confirmed. */
    async readNewestNumber(): Promise<number | undefined> {
        const result = await this.read();
        return result.kind === "newest" ? result.change?.number ?? 0 : undefined;
    }

    async stop(): Promise<void> {
        this.#isStopped = true;
        clearInterval(this.#repairTimer);
        const error = await this.#agreement?.close();
        if (error !== undefined) {
            this.#options.events.event("storeFailed", { error: describeStoreError(error) });
        }
    }

    async #open(): Promise<StoreError | undefined> {
        const opened = await ConsensusStore.open(this.#options.dataFolder, this.#options.files ?? nodeFileSystem);
        if (!opened.ok) {
            return opened.error;
        }
        if (!opened.recovered.fresh) {
            this.#run(opened.store, opened.recovered);
            return undefined;
        }
        const { self, initialMembers } = this.#options;
        const isInitialMember = initialMembers?.includes(self.id) === true;
        const error = isInitialMember
            ? await opened.store.initialize(self.id, { voters: [...initialMembers].sort(), learners: [] })
            : await opened.store.initialize(replacementMemberId(self.id, self.incarnation));
        if (error !== undefined) {
            return error;
        }
        return await opened.store.close() ?? this.#open();
    }

    #run(store: ConsensusStore, recovered: RecoveredState): void {
        const { self, clock, send, seed } = this.#options;
        this.#store = store;
        this.#memberId = recovered.memberId ?? "";
        this.#state = new ControlState();
        const agreement = new ConsensusTask({
            store,
            recovered,
            agreement: {
                id: this.#memberId,
                heartbeatMs: HEARTBEAT_INTERVAL_MS,
                electionMs: ELECTION_TIMEOUT_MS,
                snapshotEvery: SNAPSHOT_INTERVAL_ENTRIES,
                snapshotEveryBytes: SNAPSHOT_INTERVAL_BYTES,
                maxBatchEntries: MAX_BATCH_ENTRIES,
                maxBatchBytes: MAX_BATCH_BYTES,
                snapshotChunkBytes: SNAPSHOT_CHUNK_BYTES,
                seed: seed ?? randomInt(2 ** 31),
            },
            clock,
            tickMs: TICK_MS,
            isFormerId: id => hostOfMember(id) === self.id && id !== this.#memberId,
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

    /** Handles a failed store. This member cannot vote or acknowledge until it has recovered from the stored data. */
    async #failed(error: StoreError): Promise<void> {
        this.#options.events.event("storeFailed", { error: describeStoreError(error) });
        this.#agreement = undefined;
        this.#roleChanged({ kind: "role", role: "follower", term: this.#role.term, leader: undefined });
        const closeError = await this.#store?.close();
        if (closeError !== undefined) {
            this.#options.events.event("storeFailed", { error: describeStoreError(closeError) });
        }
        this.#reopenLater();
    }

    #reopenLater(): void {
        setTimeout(() => {
            if (!this.#isStopped) {
                void this.#reopen();
            }
        }, REOPEN_DELAY_MS);
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
        setTimeout(() => this.#unavailable(requestId), ANSWER_TIMEOUT_MS);
        const at = this.#options.clock.wallClock();
        agreement.propose(requestId, encodeCommand({ kind: "changeConfiguration", change, at }));
    }

    #commandEnded(requestId: number, isCommitted: boolean): void {
        const resolve = this.#commands.get(requestId);
        this.#commands.delete(requestId);
        resolve?.(isCommitted);
    }

    #proposed(requestId: number, outcome: string): void {
        this.#commandEnded(requestId, outcome === "committed");
        if (outcome === "tooLarge") {
            this.#proposalEnded(requestId, ChangeOutcome.Invalid, [CONFIGURATION_TOO_LARGE]);
        }
        else if (outcome !== "committed") {
            this.#unavailable(requestId);
        }
    }

    /** Answers a proposal whose outcome is not known; the operator has to send it again. */
    #unavailable(requestId: number): void {
        this.#proposalEnded(requestId, ChangeOutcome.Unavailable, []);
    }

    #proposalEnded(requestId: number, outcome: ChangeOutcome, findings: readonly string[]): void {
        const proposal = this.#proposals.get(requestId);
        this.#proposals.delete(requestId);
        proposal?.resolve(this.#state.configurationState().result(outcome, findings));
    }

    #apply(entry: LogEntry): void {
        const command = decodeCommand(entry.payload);
        if (entry.members !== undefined) {
            const { index, term, members } = entry;
            this.#options.events.event("membersChanged", { index, term, ...members });
            this.#options.events.roleChanged();
            this.#membersApplied();
        }
        if (command === undefined) {
            return;
        }
        const result = this.#state.apply(command);
        if (command.kind === "openLeadership") {
            this.#openedTerm = entry.term;
            this.#options.events.roleChanged();
        }
        if (command.kind === "orderPromotion") {
            this.#options.events.promotionOrdered(command.order);
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
        for (const order of this.#state.promotions()) {
            this.#options.events.promotionOrdered(order);
        }
    }

    #roleChanged(report: Extract<ConsensusReport, { kind: "role"; }>): void {
        this.#role = report;
        if (report.role === "leader") {
            this.#joinRequestedAt.clear();
            this.#leaveRequestedAt.clear();
            const command = { kind: "openLeadership", host: this.#options.self.id, at: 0 } as const;
            this.#lastRequestId += 1;
            this.#agreement?.propose(this.#lastRequestId, encodeCommand(command));
        }
        else {
            this.#failPendingRequests();
        }
        this.#options.events.roleChanged();
    }

    /** Answers the pending proposals and reads as unavailable; their outcome is not known once leadership is lost. */
    #failPendingRequests(): void {
        for (const requestId of [...this.#proposals.keys()]) {
            this.#unavailable(requestId);
        }
        for (const requestId of [...this.#commands.keys()]) {
            this.#commandEnded(requestId, false);
        }
        for (const read of this.#reads) {
            read.resolve({ kind: "unavailable" });
        }
        this.#reads.clear();
    }

    #tick(): void {
        const { status } = this;
        if (this.#statusSchedule.isDue(status, this.#options.clock.now())) {
            this.#options.events.event("memberStatus", { ...status });
        }
        const agreement = this.#agreement;
        if (agreement === undefined || !this.isLeader) {
            return;
        }
        this.#answerReads(agreement);
        this.#repair(agreement);
    }

    /**
     * Answers reads once a quorum has answered a message sent after the read, so that no other leader had been elected by
     * then, and this member has applied what was committed when the read came: while its own disk is behind, the others
     * commit and acknowledge without it.
     */
    #answerReads(agreement: ConsensusTask): void {
        const now = this.#options.clock.now();
        const confirmedAt = agreement.quorumContactAt();
        for (const read of [...this.#reads]) {
            if (confirmedAt > read.requestedAt && agreement.appliedIndex >= read.commitIndex) {
                this.#reads.delete(read);
                read.resolve({ kind: "newest", change: this.#state.configuration() });
            }
            else if (now - read.requestedAt > ANSWER_TIMEOUT_MS) {
                this.#reads.delete(read);
                read.resolve({ kind: "unavailable" });
            }
        }
    }

    /** Takes the next step at once: between the removal of a voter and the promotion of its successor all are needed. */
    #membersApplied(): void {
        if (this.#agreement !== undefined && this.isLeader) {
            this.#repair(this.#agreement);
        }
    }

    /**
     * Time since each other member was last heard from, by the consensus or before this leader was elected: otherwise each
     * change of the leader would defer the replacement of a member that is gone.
     */
    #silentMs(agreement: ConsensusTask): ReadonlyMap<string, number> {
        const unlinkedMs = this.#options.unlinkedMs ?? (() => 0);
        return new Map(
            [...agreement.memberSilence()].map((
                [id, silentMs],
            ) => [id, Math.max(silentMs, unlinkedMs(hostOfMember(id)))]),
        );
    }

    #repair(agreement: ConsensusTask): void {
        const now = this.#options.clock.now();
        for (const requests of [this.#joinRequestedAt, this.#leaveRequestedAt]) {
            for (const [memberId, requestedAt] of requests) {
                if (now - requestedAt > ANSWER_TIMEOUT_MS) {
                    requests.delete(memberId);
                }
            }
        }
        const next = repairedMembers(agreement.members, {
            joining: [...this.#joinRequestedAt.keys()],
            caughtUp: agreement.caughtUpLearners(),
            suspected: agreement.suspectedVoters(),
            leaving: [...this.#leaveRequestedAt.keys()],
            silentMs: this.#silentMs(agreement),
            toleratedLosses: this.#toleratedLosses,
        });
        this.#reportTolerance(agreement.members.voters.length);
        // After a restart only the log tells whether voters are committed, which a group with a lost voter relies on.
        const proposed = next ?? (agreement.areVotersProven ? undefined : agreement.members);
        if (proposed !== undefined) {
            this.#lastRequestId += 1;
            agreement.proposeMembers(this.#lastRequestId, proposed);
        }
    }

    /** Reports when the group starts or ceases to have too few voters; it serves all the same. */
    #reportTolerance(voters: number): void {
        const required = requiredVoters(this.#toleratedLosses);
        const isBelow = voters < required;
        if (isBelow !== this.#isBelowTolerance) {
            this.#isBelowTolerance = isBelow;
            const toleratedLosses = this.#toleratedLosses;
            this.#options.events.event(isBelow ? "votersBelowTolerance" : "votersSufficient", {
                voters,
                required,
                toleratedLosses,
            });
        }
    }
}
