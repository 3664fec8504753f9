import { ConsensusStore, describeStoreError, type RecoveredState, type StoreError } from "@medlarledge/agreement";
import { hostOfMember } from "@medlarledge/control";
import type { ControlMessage, Host, Message } from "@medlarledge/protocol";
import { type Clock, ConsensusTask } from "@medlarledge/runtime";
import { formatFinding, type HostSettings, mergeFolder } from "@medlarledge/settings";
import { type BurnReport, burnReport, type Log, type Objectives } from "@medlarledge/telemetry";
import { randomInt } from "node:crypto";
import { join } from "node:path";
import type { ConfigurationHolder } from "./configuration-holder.js";
import { type ControlReport, ControlTask, type EndpointOrders } from "./control-task.js";
import { initializeStore, MemberPhase, MembershipStart, phaseOf } from "./membership-start.js";
import { ServiceStore } from "./service-store.js";

/** Log entries between two snapshots. */
const SNAPSHOT_EVERY = 512;
/** Bytes of log entries between two snapshots. */
const SNAPSHOT_EVERY_BYTES = 16 * 1024 * 1024;
const MAX_BATCH_ENTRIES = 256;
const MAX_BATCH_BYTES = 512 * 1024;
const SNAPSHOT_CHUNK_BYTES = 256 * 1024;

/** Time to gather the other hosts' reports on a suspected primary. */
const CONFIRM_MS = 150;
const PROMOTE_TIMEOUT_MS = 2_000;
const READING_TIMEOUT_MS = 150;

const DEFAULT_OBJECTIVES: Objectives = { withinDeadline: 0.999, freshReads: 0.999, failoverGapMs: 8_000 };

export interface ControlHostOptions {
    readonly self: Host;
    readonly settings: HostSettings;
    readonly dataFolder: string;
    readonly configuration: ConfigurationHolder;
    readonly orders: EndpointOrders;
    readonly clock: Clock;
    readonly log: Log;
    readonly send: (to: string, message: Message) => void;
    readonly report: (report: ControlReport) => void;
}

/** The control part of a process: its membership, the replicated state and the service counts. */
export class ControlHost {
    readonly #options: ControlHostOptions;
    readonly #start: MembershipStart;
    readonly services: ServiceStore;
    #store: ConsensusStore | undefined;
    #phase: MemberPhase | undefined;
    #agreement: ConsensusTask | undefined;
    #control: ControlTask | undefined;
    #memberId = "";

    constructor(options: ControlHostOptions) {
        this.#options = options;
        this.#start = new MembershipStart(this.#others(), (to, request) => options.send(to, request));
        this.services = new ServiceStore(options.dataFolder);
    }

    /** Undefined until the membership is known. */
    get control(): ControlTask | undefined {
        return this.#control;
    }

    get agreement(): ConsensusTask | undefined {
        return this.#agreement;
    }

    get membershipStart(): MembershipStart {
        return this.#start;
    }

    /** What this host answers to other control hosts that start; undefined before the store is open. */
    get phase(): MemberPhase | undefined {
        return this.#agreement?.hasWritten === true ? MemberPhase.Established : this.#phase;
    }

    /** Member id of this host. */
    get memberId(): string {
        return this.#memberId;
    }

    /** True while the group does not know this member, which then has to ask to join. */
    get mustJoin(): boolean {
        const members = this.#agreement?.members;
        return members !== undefined && ![...members.voters, ...members.learners].includes(this.#memberId);
    }

    /** Opens the data folder. Returns a reason when it cannot be used. */
    async open(): Promise<string | undefined> {
        const reason = await this.services.restore();
        if (reason !== undefined) {
            this.#options.log.event("lastKnownFailed", { reason });
        }
        const opened = await ConsensusStore.open(join(this.#options.dataFolder, "agreement"));
        if (!opened.ok) {
            return describeStoreError(opened.error);
        }
        this.#store = opened.store;
        this.#phase = phaseOf(opened.recovered);
        this.#memberId = opened.recovered.memberId ?? "";
        this.#recovered = opened.recovered;
        return undefined;
    }

    /** Takes part in the group; waits for the other control hosts when the data folder is empty. */
    async start(): Promise<string | undefined> {
        const { log } = this.#options;
        if (this.#recovered?.fresh === true) {
            const decision = await this.#start.decide(missing =>
                log.event("controlEvent", { name: "membership.wait", missing })
            );
            log.event("controlEvent", { name: `membership.${decision.kind}` });
            const reason = await this.#initialize(decision);
            if (reason !== undefined) {
                return reason;
            }
        }
        this.#run();
        return undefined;
    }

    /** Burn of all databases by the counts that reached this host. */
    burn(): BurnReport {
        const databases = this.#options.configuration.inForce?.configuration.databases;
        const objectives = (database: string): Objectives => databases?.[database]?.objectives ?? DEFAULT_OBJECTIVES;
        return burnReport(this.services.history, objectives, this.#options.clock.wallClock());
    }

    async close(): Promise<void> {
        this.#control?.stop();
        this.#logStoreError(await this.#agreement?.close());
        await this.services.save(this.#options.clock.wallClock());
    }

    #recovered: RecoveredState | undefined;

    #others(): readonly string[] {
        return this.#options.settings.control.map(member => member.id).filter(id => id !== this.#options.self.id);
    }

    async #initialize(decision: Parameters<typeof initializeStore>[1]): Promise<string | undefined> {
        const { self, settings, dataFolder } = this.#options;
        const store = this.#store;
        if (store === undefined) {
            return "the store is not open";
        }
        const listed = settings.control.map(member => member.id);
        const { error } = await initializeStore(store, decision, { ...self, listed });
        if (error !== undefined) {
            return describeStoreError(error);
        }
        this.#logStoreError(await store.close());
        const reopened = await ConsensusStore.open(join(dataFolder, "agreement"));
        if (!reopened.ok) {
            return describeStoreError(reopened.error);
        }
        this.#store = reopened.store;
        this.#recovered = reopened.recovered;
        this.#phase = phaseOf(reopened.recovered);
        this.#memberId = reopened.recovered.memberId ?? "";
        return undefined;
    }

    #logStoreError(error: StoreError | undefined): void {
        if (error !== undefined) {
            this.#options.log.event("storeFailed", { reason: describeStoreError(error) });
        }
    }

    #run(): void {
        const { settings, clock, send } = this.#options;
        if (this.#store === undefined || this.#recovered === undefined) {
            return;
        }
        this.#agreement = new ConsensusTask({
            store: this.#store,
            recovered: this.#recovered,
            agreement: {
                id: this.#memberId,
                heartbeatMs: settings.timing.heartbeatMs,
                electionMs: settings.timing.electionMs,
                snapshotEvery: SNAPSHOT_EVERY,
                snapshotEveryBytes: SNAPSHOT_EVERY_BYTES,
                maxBatchEntries: MAX_BATCH_ENTRIES,
                maxBatchBytes: MAX_BATCH_BYTES,
                snapshotChunkBytes: SNAPSHOT_CHUNK_BYTES,
                seed: randomInt(2 ** 31),
            },
            clock,
            send: envelope => send(hostOfMember(envelope.to), envelope),
        });
        this.#control = this.#buildControl(this.#agreement);
        void this.#control.reports.observe(report => this.#options.report(report));
        this.#control.start();
    }

    #buildControl(agreement: ConsensusTask): ControlTask {
        const { self, settings, clock, log, orders, configuration } = this.#options;
        const { leaseMs, driftMarginMs, electionMs } = settings.timing;
        const databaseSettings = (database: string) => configuration.inForce?.configuration.databases[database];
        return new ControlTask({
            agreement,
            orders,
            clock,
            log,
            listed: settings.control.map(member => member.id),
            send: (to, message: ControlMessage) => this.#options.send(to, message),
            leader: {
                hostId: self.id,
                leaseMs,
                driftMarginMs,
                stepDownMs: electionMs,
                confirmMs: CONFIRM_MS,
                promoteTimeoutMs: PROMOTE_TIMEOUT_MS,
                readingTimeoutMs: READING_TIMEOUT_MS,
                surveyMs: 1_000,
                validate: files => {
                    const merged = mergeFolder(files);
                    return merged.ok ? [] : merged.findings.map(formatFinding);
                },
                durability: database => databaseSettings(database)?.acknowledge ?? "primary",
                promoteWithout: database => databaseSettings(database)?.promoteWithout ?? [],
            },
        });
    }
}
