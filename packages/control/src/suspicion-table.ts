import { Suspicion, type Term } from "@medlarledge/protocol";
import type { LeaderContext } from "./leader-context.js";

/** Reports older than this do not count. */
export const REPORT_AGE_MS = 1_000;

/** The other observers are asked again after this time while a suspicion lasts; below REPORT_AGE_MS. */
export const ASK_AGAIN_MS = 800;

/**
 * Observers asked to confirm a suspicion. At 550 hosts a lasting suspicion of one host would otherwise cost 550
 * questions every 800 ms, about five times the control budget of the leader's node.
 */
export const MAX_OBSERVERS = 16;

interface Report {
    readonly suspicion: Suspicion;
    readonly at: number;
}

interface Suspected {
    readonly endpoint: string;
    readonly term: Term;
    readonly since: number;
    readonly reports: ReadonlyMap<string, Report>;
    readonly askedAt: number;
    readonly asked: readonly string[];
}

/** Gathers the hosts' observations of primaries and decides whether a failover starts. */
export class SuspicionTable {
    readonly #suspected = new Map<string, Suspected>();

    /** Databases whose primary is suspected, and since when. */
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

    /** Takes one report; only reports of the current primary under the current term are to be passed in. */
    report(
        context: LeaderContext,
        from: string,
        observation: { database: string; endpoint: string; term: Term; suspicion: Suspicion; },
    ): boolean {
        const { database, endpoint, term, suspicion } = observation;
        const known = this.#suspected.get(database);
        const current = known?.endpoint === endpoint && known.term === term ? known : undefined;
        if (current === undefined && suspicion === Suspicion.Reachable) {
            return false;
        }
        const reports = new Map(current?.reports).set(from, { suspicion, at: context.now });
        if (current === undefined) {
            this.#ask(context, database, { endpoint, term, since: context.now, reports, askedAt: 0, asked: [] });
        }
        else {
            this.#suspected.set(database, { ...current, reports });
        }
        return this.decide(context, database);
    }

    /** True when the primary is to be replaced. Ends a suspicion without fresh reports and asks again otherwise. */
    decide(context: LeaderContext, database: string): boolean {
        const suspected = this.#suspected.get(database);
        if (suspected === undefined) {
            return false;
        }
        const alive = new Set(context.hosts.withLease(context.now).map((record) => record.host.id));
        const fresh = [...suspected.reports].filter(([, report]) => context.now - report.at <= REPORT_AGE_MS);
        if (!fresh.some(([, report]) => report.suspicion !== Suspicion.Reachable)) {
            this.#suspected.delete(database);
            return false;
        }
        if (context.now - suspected.askedAt >= ASK_AGAIN_MS) {
            this.#ask(context, database, suspected);
        }
        const counted = fresh.filter(([host]) => alive.has(host));
        const against = counted.filter(([, report]) => report.suspicion !== Suspicion.Reachable).length;
        const complete = context.now - suspected.since >= context.options.confirmMs
            || suspected.asked.every((host) => !alive.has(host) || suspected.reports.has(host));
        // Right after an election few hosts have renewed their lease; the others count as alive until it has ended.
        const aliveHosts = Math.max(alive.size, context.hosts.maybeAlive(context.now));
        // With a majority of all live hosts against the endpoint, the outstanding reports cannot change the decision.
        const settled = complete || against > aliveHosts / 2;
        return settled && against >= Math.min(2, aliveHosts) && against > counted.length / 2;
    }

    #ask(context: LeaderContext, database: string, suspected: Suspected): void {
        const { endpoint, term } = suspected;
        const hosts = context.hosts.withLease(context.now).map(({ host }) => host);
        hosts.sort((left, right) => sortKey(left) < sortKey(right) ? -1 : 1);
        // Evenly spaced in the order of data centres, so that every data centre is asked.
        const step = Math.max(1, hosts.length / MAX_OBSERVERS);
        const asked: string[] = [];
        for (let index = 0; index < hosts.length; index += step) {
            const host = hosts[Math.floor(index)];
            if (host !== undefined) {
                asked.push(host.id);
            }
        }
        const suspicious = [...suspected.reports.keys()];
        for (const to of new Set([...asked, ...suspicious.slice(0, MAX_OBSERVERS)])) {
            const askedFirst = suspected.askedAt === 0 && suspected.reports.has(to);
            if (!askedFirst) {
                context.emit({ kind: "send", to, message: { kind: "confirmEndpoint", database, endpoint, term } });
            }
        }
        this.#suspected.set(database, { ...suspected, asked, askedAt: context.now });
    }
}

function sortKey(host: { id: string; dataCentre: string; }): string {
    return JSON.stringify([host.dataCentre, host.id]);
}
