import { type DatabaseView, type EndpointProbeResult, EndpointRole, EndpointState } from "@medlarledge/protocol";
import type { LeaderContext } from "./leader-context.js";
import { presentEndpoints, startedTerm } from "./view.js";

/** Default interval between polls of one database. */
export const DEFAULT_POLL_INTERVAL_MS = 5_000;

/** Poll interval for a database without a started term, because callers wait for its first primary. */
export const FIRST_TERM_POLL_INTERVAL_MS = 500;

/**
 * Maximum number of databases polled per tick. With a tick every 10 ms all 640 databases are polled well within 5 s,
 * without a burst of 1,920 probes when a leader is elected.
 */
const MAX_DATABASES_PER_TICK = 4;

interface PollResult {
    readonly at: number;
    readonly probeResults: ReadonlyMap<string, EndpointProbeResult | undefined>;
    /** The sole primary and the probed endpoints as JSON; undefined unless there was exactly one primary. */
    readonly solePrimaryKey: string | undefined;
    readonly previousSolePrimaryKey: string | undefined;
}

/**
 * Probes all endpoints periodically. The results serve to find the first primary of a database and to report lag and
 * unexpected primaries in the status.
 */
export class EndpointPoll {
    readonly #results = new Map<string, PollResult>();
    #next = 0;

    clear(): void {
        this.#results.clear();
    }

    /** Discards results that a failover made obsolete; the database is polled again at its next turn. */
    forget(database: string): void {
        this.#results.delete(database);
    }

    probeResults(database: string): ReadonlyMap<string, EndpointProbeResult | undefined> {
        return this.#results.get(database)?.probeResults ?? new Map();
    }

    /** Polls the databases that are due. Calls `complete` once all probes of a database have ended. */
    tick(context: LeaderContext, complete: (context: LeaderContext, view: DatabaseView) => void): void {
        const views = context.state.databases();
        let read = 0;
        for (let step = 0; step < views.length && read < MAX_DATABASES_PER_TICK; step++) {
            const view = views[this.#next++ % views.length];
            if (view !== undefined && this.#isDue(context, view)) {
                this.#read(context, view, complete);
                read++;
            }
        }
    }

    /**
     * The only endpoint in the primary role, if two consecutive polls of the same endpoints agree on it. Endpoints
     * announce themselves one after the other, so a single poll may miss a second primary.
     */
    solePrimary(view: DatabaseView): string | undefined {
        const result = this.#results.get(view.database);
        const [only] = this.primaries(view);
        return result?.solePrimaryKey !== undefined && result.solePrimaryKey === result.previousSolePrimaryKey
            ? only
            : undefined;
    }

    /** Endpoints that reported the primary role in the last poll. */
    primaries(view: DatabaseView): readonly string[] {
        const readings = this.probeResults(view.database);
        return view.endpoints.filter(({ id, state, systemIdentifier }) => {
            const reading = readings.get(id);
            return state !== EndpointState.Left && reading?.role === EndpointRole.Primary
                && reading.systemIdentifier === systemIdentifier;
        }).map(({ id }) => id);
    }

    #isDue(context: LeaderContext, view: DatabaseView): boolean {
        const interval = startedTerm(view) === undefined
            ? FIRST_TERM_POLL_INTERVAL_MS
            : context.options.surveyMs ?? DEFAULT_POLL_INTERVAL_MS;
        const result = this.#results.get(view.database);
        return result === undefined || context.now - result.at >= interval;
    }

    #read(
        context: LeaderContext,
        view: DatabaseView,
        complete: (context: LeaderContext, view: DatabaseView) => void,
    ): void {
        const { database } = view;
        const present = presentEndpoints(view);
        const results = new Map<string, EndpointProbeResult | undefined>();
        const former = this.#results.get(database)
            ?? { probeResults: results, solePrimaryKey: undefined, previousSolePrimaryKey: undefined };
        this.#results.set(database, { ...former, at: context.now });
        for (const { id } of present) {
            context.read(database, id, (later, reading) => {
                results.set(id, reading);
                const current = later.state.database(database);
                if (results.size === present.length && current !== undefined) {
                    this.#complete(current, context.now, results, former.solePrimaryKey);
                    complete(later, current);
                }
            });
        }
    }

    #complete(
        view: DatabaseView,
        at: number,
        readings: PollResult["probeResults"],
        soleBefore: string | undefined,
    ): void {
        this.#results.set(view.database, {
            at,
            probeResults: readings,
            solePrimaryKey: undefined,
            previousSolePrimaryKey: soleBefore,
        });
        const primaries = this.primaries(view);
        const probed = presentEndpoints(view).map(({ id }) => id);
        // An endpoint announced after the probes were sent makes this poll incomplete.
        if (primaries.length === 1 && probed.every((id) => readings.has(id))) {
            this.#results.set(view.database, {
                at,
                probeResults: readings,
                solePrimaryKey: JSON.stringify([primaries, probed]),
                previousSolePrimaryKey: soleBefore,
            });
        }
    }
}
