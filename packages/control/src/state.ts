import {
    ChangeOutcome,
    type ConfigurationChange,
    type DatabaseView,
    type Host,
    type PromotionOrder,
} from "@medlarledge/protocol";
import { Packr } from "msgpackr";
import { type ApplyResult, type HistoryEntry, Refusal } from "./apply-result.js";
import type { ControlCommand } from "./command.js";
import { type ConfigurationData, ConfigurationState } from "./configuration-state.js";
import { type Change, type DatabaseData, DatabaseState } from "./database-state.js";

/** Maximum number of history entries; at target size, with 2,400 changes a day, they cover the last ten hours. */
export const MAX_HISTORY = 1_000;

interface StateData {
    readonly version: number;
    readonly termsVersion: number;
    readonly hostsVersion: number;
    readonly hosts: readonly Host[];
    readonly databases: readonly DatabaseData[];
    readonly configuration: ConfigurationData;
    readonly history: readonly HistoryEntry[];
    /** Missing in snapshots of versions that did not record promotion orders. */
    readonly promotions?: readonly PromotionOrder[];
}

type Handlers = {
    readonly [K in ControlCommand["kind"]]: (
        command: Extract<ControlCommand, { kind: K; }>,
    ) => Extract<ApplyResult, { kind: K; }>;
};

const EMPTY: StateData = {
    version: 0,
    termsVersion: 0,
    hostsVersion: 0,
    hosts: [],
    databases: [],
    configuration: { change: undefined, accepted: [] },
    history: [],
};

const packr = new Packr({ useRecords: false, moreTypes: false, mapsAsObjects: true });

/**
 * The replicated state machine. It is deterministic: the same commands in the same order produce the same state,
 * including versions, on all control hosts. It validates every command, because the log may contain proposals of two
 * leaders.
 */
export class ControlState {
    #version = 0;
    #termsVersion = 0;
    #hostsVersion = 0;
    #hosts = new Map<string, Host>();
    #databases = new Map<string, DatabaseState>();
    #configuration = new ConfigurationState(EMPTY.configuration);
    #history: HistoryEntry[] = [];
    /** The newest promotion order of each group. */
    #promotions = new Map<string, PromotionOrder>();

    readonly #handlers: Handlers = {
        registerHost: (command) => this.#registerHost(command.host),
        removeHost: (command) => this.#removeHost(command.id, command.incarnation),
        announceEndpoint: ({ endpoint }) => {
            const announcement = this.#database(endpoint.database).announce(endpoint);
            if (announcement.outcome === "accepted" || announcement.replaced.length > 0) {
                this.#touch(endpoint.database);
            }
            return { kind: "announceEndpoint", ...announcement };
        },
        endpointLeaves: ({ database, id, systemIdentifier, sequence }) => ({
            kind: "endpointLeaves",
            ...this.#change(database, (state) => state.leaves(id, systemIdentifier, sequence)),
        }),
        endpointLeft: ({ database, id, sequence }) => ({
            kind: "endpointLeft",
            ...this.#change(database, (state) => state.left(id, sequence)),
        }),
        beginTerm: (command) => this.#beginTerm(command),
        startTerm: ({ database, term, timeline, start }) => ({
            kind: "startTerm",
            ...this.#change(database, (state) => state.startTerm(term, timeline, start)),
            current: this.#current(database),
        }),
        orderPromotion: ({ order }) => this.#orderPromotion(order),
        changeConfiguration: ({ change, at }) => this.#changeConfiguration(change, at),
        openLeadership: () => ({ kind: "openLeadership" }),
    };

    /** Applies one committed command. */
    apply(command: ControlCommand): ApplyResult {
        const handler = this.#handlers[command.kind] as (command: ControlCommand) => ApplyResult;
        return handler(command);
    }

    databases(): readonly DatabaseView[] {
        return [...this.#databases.values()].map((database) => database.view());
    }

    database(name: string): DatabaseView | undefined {
        return this.#databases.get(name)?.view();
    }

    /** Registered entry hosts, sorted by id. */
    hosts(): readonly Host[] {
        return [...this.#hosts.values()].sort((left, right) => left.id < right.id ? -1 : 1);
    }

    host(id: string): Host | undefined {
        return this.#hosts.get(id);
    }

    configuration(): ConfigurationChange | undefined {
        return this.#configuration.change();
    }

    /** Read access to the configuration state, for replies that need no log entry. */
    configurationState(): Pick<ConfigurationState, "evaluate" | "result" | "acceptedAt"> {
        return this.#configuration;
    }

    /** Terms begun and configurations accepted, oldest first. */
    history(): readonly HistoryEntry[] {
        return this.#history;
    }

    /** The newest recorded promotion order of each group. */
    promotions(): readonly PromotionOrder[] {
        return [...this.#promotions.values()];
    }

    /** Version of the view sent to entry hosts: the number of changes to hosts and databases so far. */
    version(): number {
        return this.#version;
    }

    /** Version at which a term of any database last began. A host with this view has revoked all older terms. */
    termsVersion(): number {
        return this.#termsVersion;
    }

    /** Databases that changed after `version`, and the hosts if they did; otherwise `hosts` is undefined. */
    changesSince(version: number): { databases: readonly DatabaseView[]; hosts: readonly Host[] | undefined; } {
        const changed = [...this.#databases.values()].filter((database) => database.changedAt > version);
        return {
            databases: changed.map((database) => database.view()),
            hosts: this.#hostsVersion > version ? this.hosts() : undefined,
        };
    }

    snapshot(): Uint8Array {
        const data: StateData = {
            version: this.#version,
            termsVersion: this.#termsVersion,
            hostsVersion: this.#hostsVersion,
            hosts: this.hosts(),
            databases: [...this.#databases.values()].map((database) => database.data()),
            configuration: this.#configuration.data(),
            history: this.#history,
            promotions: this.promotions(),
        };
        return packr.pack(data);
    }

    static restore(bytes: Uint8Array): ControlState {
        const state = new ControlState();
        state.load(bytes);
        return state;
    }

    /** Replaces the whole state by that of a snapshot in place, so that references to this object stay valid. */
    load(bytes: Uint8Array): void {
        const data = packr.unpack(bytes) as StateData;
        this.#version = data.version;
        this.#termsVersion = data.termsVersion;
        this.#hostsVersion = data.hostsVersion;
        this.#hosts = new Map(data.hosts.map((host) => [host.id, host]));
        this.#databases = new Map(data.databases.map((database) => [database.name, new DatabaseState(database)]));
        this.#configuration = new ConfigurationState(data.configuration);
        this.#history = [...data.history];
        this.#promotions = new Map((data.promotions ?? []).map((order) => [order.group, order]));
    }

    #registerHost(host: Host): Extract<ApplyResult, { kind: "registerHost"; }> {
        const known = this.#hosts.get(host.id);
        if (known !== undefined && sameHost(known, host)) {
            return { kind: "registerHost", outcome: "unchanged" };
        }
        this.#hosts.set(host.id, host);
        this.#hostsVersion = ++this.#version;
        return { kind: "registerHost", outcome: "accepted" };
    }

    #removeHost(id: string, incarnation: string): Extract<ApplyResult, { kind: "removeHost"; }> {
        if (this.#hosts.get(id)?.incarnation !== incarnation) {
            return { kind: "removeHost", outcome: "refused", reason: Refusal.UnknownHost };
        }
        this.#hosts.delete(id);
        this.#hostsVersion = ++this.#version;
        return { kind: "removeHost", outcome: "accepted" };
    }

    #beginTerm(command: Extract<ControlCommand, { kind: "beginTerm"; }>): Extract<ApplyResult, { kind: "beginTerm"; }> {
        const { database, term, primary, reason, at } = command;
        const change = this.#change(database, (state) => state.beginTerm(term, primary));
        if (change.outcome === "accepted") {
            this.#termsVersion = this.#version;
            const what = `database ${database}: term ${term} begins with primary ${primary}`;
            this.#record({ kind: "term", at, who: "control", what, why: reason });
        }
        return { kind: "beginTerm", ...change, current: this.#current(database) };
    }

    #orderPromotion(order: PromotionOrder): Extract<ApplyResult, { kind: "orderPromotion"; }> {
        if (order.fence <= (this.#promotions.get(order.group)?.fence ?? -1)) {
            return { kind: "orderPromotion", outcome: "unchanged" };
        }
        this.#promotions.set(order.group, order);
        return { kind: "orderPromotion", outcome: "accepted" };
    }

    #changeConfiguration(
        change: ConfigurationChange,
        at: number,
    ): Extract<ApplyResult, { kind: "changeConfiguration"; }> {
        const result = this.#configuration.apply(change, at);
        if (result.outcome === ChangeOutcome.Accepted) {
            const what = `configuration ${change.number} accepted (digest ${change.digest})`;
            this.#record({ kind: "configuration", at, who: change.operator, what, why: "operator's change" });
        }
        return { kind: "changeConfiguration", result };
    }

    #record(entry: HistoryEntry): void {
        this.#history.push(entry);
        this.#history.splice(0, Math.max(0, this.#history.length - MAX_HISTORY));
    }

    #database(name: string): DatabaseState {
        let database = this.#databases.get(name);
        if (database === undefined) {
            database = DatabaseState.empty(name);
            this.#databases.set(name, database);
        }
        return database;
    }

    #change(name: string, change: (database: DatabaseState) => Change): Change {
        const database = this.#databases.get(name);
        if (database === undefined) {
            return { outcome: "refused", reason: Refusal.UnknownDatabase };
        }
        const result = change(database);
        if (result.outcome === "accepted") {
            this.#touch(name);
        }
        return result;
    }

    #touch(name: string): void {
        this.#version++;
        this.#database(name).changedAt = this.#version;
    }

    #current(name: string): number {
        return this.#databases.get(name)?.currentTerm()?.term ?? 0;
    }
}

function sameHost(left: Host, right: Host): boolean {
    return left.incarnation === right.incarnation && left.dataCentre === right.dataCentre
        && left.peerAddress === right.peerAddress && left.httpAddress === right.httpAddress
        && left.callerAddress === right.callerAddress && left.control === right.control;
}
