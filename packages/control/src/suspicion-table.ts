import { Suspicion, type Term } from "@medlarledge/protocol";
import type { LeaderContext } from "./leader-context.js";

/** Older reports are ignored. */
export const MAX_REPORT_AGE_MS = 1_000;

/** Interval at which confirmation is requested again during a suspicion; must be below MAX_REPORT_AGE_MS. */
export const CONFIRM_RETRY_MS = 800;

/**
 * Maximum number of observers asked to confirm a suspicion. A request and its reply take 126 bytes encoded. At 550
 * hosts a lasting suspicion of one host would otherwise cost 87 KB/s, 6.7 times the budget of 13 KB/s.
 */
export const MAX_OBSERVERS = 16;

interface Report {
    readonly suspicion: Suspicion;
    readonly at: number;
}

interface PrimarySuspicion {
    readonly endpoint: string;
    readonly term: Term;
    readonly since: number;
    /** Latest report by host; changed in place, since every host may report. */
    readonly reports: Map<string, Report>;
    /** Time of the last confirmation request; undefined before the first one. */
    readonly requestedAt: number | undefined;
    readonly requestedObservers: readonly string[];
}

/** Collects the hosts' observations of primaries and decides whether a failover starts. */
export class SuspicionTable {
    readonly #suspected = new Map<string, PrimarySuspicion>();

    /** Suspected primaries by database, with the start of the suspicion. */
    suspected(): ReadonlyMap<string, { readonly endpoint: string; readonly since: number; }> {
        return this.#suspected;
    }

    clear(database?: string): void {
        if (database === undefined) {
            this.#suspected.clear();
        }
        else {
            this.#suspected.delete(database);
        }
    }

    /** Records one report; only reports of the current primary under the current term are to be passed in. */
    report(
        from: string,
        observation: { database: string; endpoint: string; term: Term; suspicion: Suspicion; },
        now: number,
    ): void {
        const { database, endpoint, term, suspicion } = observation;
        const known = this.#suspected.get(database);
        const report = { suspicion, at: now };
        if (known?.endpoint === endpoint && known.term === term) {
            known.reports.set(from, report);
        }
        else if (suspicion !== Suspicion.Reachable) {
            const reports = new Map([[from, report]]);
            this.#suspected.set(database, {
                endpoint,
                term,
                since: now,
                reports,
                requestedAt: undefined,
                requestedObservers: [],
            });
        }
    }

    /**
     * Returns the databases whose primary is to be replaced, requests confirmation for the others from more hosts and
     * ends suspicions without recent reports. Called at every tick and not per report: when a data centre fails, 550
     * hosts report 160 primaries at the same time, and the hosts need to be counted only once for all of them.
     */
    decide(context: LeaderContext): readonly { readonly database: string; readonly endpoint: string; }[] {
        if (this.#suspected.size === 0) {
            return [];
        }
        const hosts = context.hosts.withLease(context.now).map(({ host }) => host);
        const alive = new Set(hosts.map(({ id }) => id));
        // Right after an election few hosts have renewed their lease; the others count as alive until theirs expires.
        const aliveHosts = Math.max(alive.size, context.hosts.countPossibleLeaseHolders(context.now));
        const observers = chooseObservers(hosts);
        const decided: { readonly database: string; readonly endpoint: string; }[] = [];
        for (const [database, suspected] of [...this.#suspected]) {
            if (![...suspected.reports.values()].some((report) => isFresh(report, context.now) && isAgainst(report))) {
                this.#suspected.delete(database);
                continue;
            }
            const updated = this.#requestConfirmation(context, database, suspected, observers);
            if (isDecided(context, updated, alive, aliveHosts)) {
                decided.push({ database, endpoint: suspected.endpoint });
            }
        }
        return decided;
    }

    #requestConfirmation(
        context: LeaderContext,
        database: string,
        suspected: PrimarySuspicion,
        observers: readonly string[],
    ): PrimarySuspicion {
        const { endpoint, term, requestedAt } = suspected;
        if (requestedAt !== undefined && context.now - requestedAt < CONFIRM_RETRY_MS) {
            return suspected;
        }
        const reporters = [...suspected.reports.keys()].slice(0, MAX_OBSERVERS);
        for (const to of new Set([...observers, ...reporters])) {
            if (requestedAt !== undefined || !suspected.reports.has(to)) {
                context.emit({ kind: "send", to, message: { kind: "confirmEndpoint", database, endpoint, term } });
            }
        }
        const updated = { ...suspected, requestedObservers: observers, requestedAt: context.now };
        this.#suspected.set(database, updated);
        return updated;
    }
}

function isDecided(
    context: LeaderContext,
    suspected: PrimarySuspicion,
    alive: ReadonlySet<string>,
    aliveHosts: number,
): boolean {
    const counted = [...suspected.reports].filter(([host, report]) => alive.has(host) && isFresh(report, context.now));
    const against = counted.filter(([, report]) => isAgainst(report)).length;
    const complete = context.now - suspected.since >= context.options.confirmMs
        || suspected.requestedObservers.every((host) => !alive.has(host) || suspected.reports.has(host));
    // With a majority of all live hosts against the endpoint, the outstanding reports cannot change the decision.
    const settled = complete || against > aliveHosts / 2;
    return settled && against >= Math.min(2, aliveHosts) && against > counted.length / 2;
}

function isFresh(report: Report, now: number): boolean {
    return now - report.at <= MAX_REPORT_AGE_MS;
}

function isAgainst(report: Report): boolean {
    return report.suspicion !== Suspicion.Reachable;
}

/** Evenly spaced in the order of data centres, so that every data centre is asked. */
function chooseObservers(hosts: readonly { readonly id: string; readonly dataCentre: string; }[]): readonly string[] {
    const sorted = [...hosts].sort((left, right) =>
        compareText(left.dataCentre, right.dataCentre)
        || compareText(left.id, right.id)
    );
    const step = Math.max(1, sorted.length / MAX_OBSERVERS);
    const chosen: string[] = [];
    for (let index = 0; index < sorted.length; index += step) {
        const host = sorted[Math.floor(index)];
        if (host !== undefined) {
            chosen.push(host.id);
        }
    }
    return chosen;
}

function compareText(left: string, right: string): number {
    return left < right ? -1 : Number(left > right);
}
