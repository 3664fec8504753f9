import type { Host, RenewLease, Term } from "@medlarledge/protocol";

/** Lease timing that the table needs; see LeaderOptions for the units. */
export interface LeaseTiming {
    readonly leaseMs: number;
    readonly driftMarginMs: number;
    readonly stepDownMs: number;
}

type Renewal = Pick<RenewLease, "viewVersion" | "draining" | "configurationNumber" | "configurationSince">;

/** A revocation that one host has not acknowledged yet. */
interface PendingRevocation {
    readonly term: Term;
    /** View version that includes the next term; undefined while that term has not begun. */
    readonly version: number | undefined;
}

/** State that the leader keeps of one process of an entry host. */
export interface HostRecord {
    readonly host: Host;
    readonly connected: boolean;
    readonly draining: boolean;
    /** Latest time at which this process may hold a lease of this or an earlier leader, on the leader's clock. */
    readonly leaseUntil: number;
    /** End of the last lease that this leader granted; undefined before the first one. */
    readonly grantedUntil: number | undefined;
    readonly lastContactAt: number;
    /** View version of the host's last renewal; undefined before the first one. */
    readonly viewVersion: number | undefined;
    /** Minimum view version for a lease; a view of this version includes all terms begun before. */
    readonly requiredVersion: number;
    readonly configurationNumber: number | undefined;
    readonly configurationSince: number | undefined;
}

interface MutableRecord extends HostRecord {
    connected: boolean;
    draining: boolean;
    leaseUntil: number;
    grantedUntil: number | undefined;
    lastContactAt: number;
    viewVersion: number | undefined;
    configurationNumber: number | undefined;
    configurationSince: number | undefined;
    readonly pendingRevocations: Map<string, PendingRevocation>;
}

/** Leases, connections and pending revocations by process; a restarted host is a new entry. */
export class HostTable {
    readonly #timing: LeaseTiming;
    readonly #records = new Map<string, MutableRecord>();
    readonly #connected = new Map<string, MutableRecord>();
    /** Revocations of running failovers, which also apply to hosts that connect later. */
    readonly #runningRevocations = new Map<string, PendingRevocation>();

    constructor(timing: LeaseTiming) {
        this.#timing = timing;
    }

    /**
     * Adds a registered host to which an earlier leader may have granted a lease. `electedAt` is
     * the start of this leadership: an earlier leader granted at most until `stepDownMs` after it.
     */
    assumePredecessorLease(host: Host, electedAt: number, requiredVersion: number): void {
        const { stepDownMs, leaseMs, driftMarginMs } = this.#timing;
        const record = this.#record(host, electedAt, requiredVersion);
        record.leaseUntil = Math.max(record.leaseUntil, electedAt + stepDownMs + leaseMs + 2 * driftMarginMs);
    }

    /** Records a connection; it replaces an earlier one of the same host. */
    connect(host: Host, now: number, requiredVersion: number): void {
        const former = this.#connected.get(host.id);
        if (former !== undefined) {
            former.connected = false;
        }
        const record = this.#record(host, now, requiredVersion);
        record.connected = true;
        record.lastContactAt = now;
        record.viewVersion = undefined;
        this.#connected.set(host.id, record);
    }

    /** Ends the leases of earlier processes of a host, which have ended because they used the same address. */
    endFormerProcesses({ id, incarnation }: Host): void {
        for (const record of this.#records.values()) {
            if (record.host.id === id && record.host.incarnation !== incarnation) {
                record.leaseUntil = Number.NEGATIVE_INFINITY;
            }
        }
    }

    disconnect(id: string, incarnation: string): void {
        const record = this.#records.get(recordKey(id, incarnation));
        if (record === undefined) {
            return;
        }
        record.connected = false;
        if (this.#connected.get(id) === record) {
            this.#connected.delete(id);
        }
    }

    connected(id: string): HostRecord | undefined {
        return this.#connected.get(id);
    }

    allConnected(): readonly HostRecord[] {
        return [...this.#connected.values()];
    }

    all(): readonly HostRecord[] {
        return [...this.#records.values()];
    }

    /** Applies a renewal. A view that includes a later term acknowledges the revocation of the earlier one. */
    recordRenewal(id: string, renewal: Renewal, stateVersion: number, now: number): void {
        const record = this.#connected.get(id);
        if (record === undefined) {
            return;
        }
        record.lastContactAt = now;
        // A version newer than the state's is invalid: the host is sent the whole view.
        record.viewVersion = renewal.viewVersion > stateVersion ? 0 : renewal.viewVersion;
        record.draining = renewal.draining;
        record.configurationNumber = renewal.configurationNumber;
        record.configurationSince = renewal.configurationSince;
        for (const [database, owed] of record.pendingRevocations) {
            if (owed.version !== undefined && record.viewVersion >= owed.version) {
                record.pendingRevocations.delete(database);
            }
        }
    }

    /** True when this host cannot use a lease under a term that is superseded or being superseded. */
    mayGrant(record: HostRecord): boolean {
        const version = record.viewVersion ?? -1;
        return version >= record.requiredVersion && this.#pendingRevocationsOf(record).size === 0;
    }

    /** Records a lease granted to the connected process of this host. */
    granted(id: string, now: number): void {
        const record = this.#connected.get(id);
        if (record !== undefined) {
            record.grantedUntil = now + this.#timing.leaseMs + this.#timing.driftMarginMs;
            record.leaseUntil = Math.max(record.leaseUntil, record.grantedUntil);
        }
    }

    /** Hosts with a valid lease of this leader; only their observations count. */
    withLease(now: number): readonly HostRecord[] {
        return this.allConnected().filter((record) => record.grantedUntil !== undefined && record.grantedUntil > now);
    }

    /** Number of hosts that may hold a lease of this leader or an earlier one. */
    countPossibleLeaseHolders(now: number): number {
        const alive = [...this.#records.values()].filter((record) => record.leaseUntil >= now);
        return new Set(alive.map((record) => record.host.id)).size;
    }

    /** Starts the revocation of a term at all processes, until it is acknowledged or their lease has expired. */
    revoke(database: string, term: Term): void {
        const owed: PendingRevocation = { term, version: undefined };
        this.#runningRevocations.set(database, owed);
        for (const record of this.#records.values()) {
            record.pendingRevocations.set(database, owed);
        }
    }

    recordAcknowledgement(id: string, database: string, term: Term): void {
        const record = this.#connected.get(id);
        const owed = record?.pendingRevocations.get(database);
        if (record !== undefined && owed !== undefined && term >= owed.term) {
            record.pendingRevocations.delete(database);
        }
    }

    /** Records that the next term has begun: a view of this version now acknowledges the revocation, too. */
    markTermBegun(database: string, version: number): void {
        this.#runningRevocations.delete(database);
        for (const record of this.#records.values()) {
            const owed = record.pendingRevocations.get(database);
            if (owed !== undefined) {
                record.pendingRevocations.set(database, { ...owed, version });
            }
        }
    }

    /** Processes that have not acknowledged the revocation; `mayHold` is true while their lease may be valid. */
    unacknowledgedRevocations(database: string, now: number): readonly { record: HostRecord; mayHold: boolean; }[] {
        const pending = [...this.#records.values()].filter((record) => record.pendingRevocations.has(database));
        return pending.map((record) => ({ record, mayHold: now <= record.leaseUntil }));
    }

    /** Latest time until which another process of this host may hold a lease. */
    otherLeaseUntil(host: Host): number {
        const others = [...this.#records.values()].filter((record) =>
            record.host.id === host.id && record.host.incarnation !== host.incarnation
        );
        return others.reduce((latest, record) => Math.max(latest, record.leaseUntil), Number.NEGATIVE_INFINITY);
    }

    /** Removes processes that are neither registered nor connected and whose lease has expired. */
    removeExpired(registered: (host: Host) => boolean, now: number): void {
        for (const [key, record] of this.#records) {
            if (!record.connected && now > record.leaseUntil && !registered(record.host)) {
                this.#records.delete(key);
            }
        }
    }

    #pendingRevocationsOf(record: HostRecord): ReadonlyMap<string, PendingRevocation> {
        return this.#records.get(recordKey(record.host.id, record.host.incarnation))?.pendingRevocations ?? new Map();
    }

    #record(host: Host, now: number, requiredVersion: number): MutableRecord {
        const key = recordKey(host.id, host.incarnation);
        const known = this.#records.get(key);
        if (known !== undefined) {
            return known;
        }
        const record: MutableRecord = {
            host,
            connected: false,
            draining: false,
            leaseUntil: Number.NEGATIVE_INFINITY,
            grantedUntil: undefined,
            lastContactAt: now,
            viewVersion: undefined,
            requiredVersion,
            configurationNumber: undefined,
            configurationSince: undefined,
            pendingRevocations: new Map(this.#runningRevocations),
        };
        this.#records.set(key, record);
        return record;
    }
}

function recordKey(id: string, incarnation: string): string {
    return JSON.stringify([id, incarnation]);
}
