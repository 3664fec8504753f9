import { type DatabaseView, type EndpointReading, EndpointRole, EndpointState } from "@medlarledge/protocol";
import type { LeaderContext } from "./leader-context.js";
import { presentEndpoints, startedTerm } from "./view.js";

/** Default interval between readings of one database. */
export const DEFAULT_POLL_INTERVAL_MS = 5_000;

/** Interval for a database without a started term, whose callers wait for it. */
export const FIRST_TERM_POLL_INTERVAL_MS = 500;

/**
 * Databases read per tick. With a tick every 10 ms all 640 databases are read well within 5 s, without a burst of
 * 1,920 readings when a leader is elected.
 */
const MAX_DATABASES_PER_TICK = 4;

interface PollResult {
    readonly at: number;
    readonly readings: ReadonlyMap<string, EndpointReading | undefined>;
    /** The sole primary and the endpoints asked, as text; undefined without exactly one primary. */
    readonly sole: string | undefined;
    readonly soleBefore: string | undefined;
}

/** Background readings of endpoints: they find the first primary, and the status reports lag and unexpected primaries. */
export class EndpointPoll {
    readonly #results = new Map<string, PollResult>();
    #next = 0;

    clear(): void {
        this.#results.clear();
    }

    /** Drops readings that a failover made obsolete; the database is read again at the next tick. */
    forget(database: string): void {
        this.#results.delete(database);
    }

    readings(database: string): ReadonlyMap<string, EndpointReading | undefined> {
        return this.#results.get(database)?.readings ?? new Map();
    }

    /** Reads the databases that are due. `complete` is called when all endpoints of one have answered. */
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
     * The one endpoint that reads as primary, when two surveys in a row asked the same endpoints and agree. Endpoints
     * announce themselves one after the other, so a single survey may have missed a second primary.
     */
    solePrimary(view: DatabaseView): string | undefined {
        const surveyed = this.#results.get(view.database);
        const [only] = this.primaries(view);
        return surveyed?.sole !== undefined && surveyed.sole === surveyed.soleBefore ? only : undefined;
    }

    /** Endpoints that read as primary. */
    primaries(view: DatabaseView): readonly string[] {
        const readings = this.readings(view.database);
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
        const surveyed = this.#results.get(view.database);
        return surveyed === undefined || context.now - surveyed.at >= interval;
    }

    #read(
        context: LeaderContext,
        view: DatabaseView,
        complete: (context: LeaderContext, view: DatabaseView) => void,
    ): void {
        const { database } = view;
        const present = presentEndpoints(view);
        const answers = new Map<string, EndpointReading | undefined>();
        const former = this.#results.get(database) ?? { readings: answers, sole: undefined, soleBefore: undefined };
        this.#results.set(database, { ...former, at: context.now });
        for (const { id } of present) {
            context.read(database, id, (later, reading) => {
                answers.set(id, reading);
                const current = later.state.database(database);
                if (answers.size === present.length && current !== undefined) {
                    this.#complete(current, context.now, answers, former.sole);
                    complete(later, current);
                }
            });
        }
    }

    #complete(view: DatabaseView, at: number, readings: PollResult["readings"], soleBefore: string | undefined): void {
        this.#results.set(view.database, { at, readings, sole: undefined, soleBefore });
        const primaries = this.primaries(view);
        const asked = presentEndpoints(view).map(({ id }) => id);
        // An endpoint announced since the questions were sent makes this survey incomplete.
        if (primaries.length === 1 && asked.every((id) => readings.has(id))) {
            this.#results.set(view.database, { at, readings, sole: JSON.stringify([primaries, asked]), soleBefore });
        }
    }
}
