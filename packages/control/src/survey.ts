import { type DatabaseView, type EndpointReading, EndpointRole, EndpointState } from "@medlarledge/protocol";
import type { LeaderContext } from "./leader-context.js";
import { presentEndpoints, startedTerm } from "./view.js";

/** Default interval between readings of one database. */
export const SURVEY_MS = 5_000;

/** Interval for a database without a started term, whose callers wait for it. */
export const FIRST_TERM_SURVEY_MS = 500;

/**
 * Databases read per tick. With a tick every 10 ms all 640 databases are read well within 5 s, without a burst of
 * 1,920 readings when a leader is elected.
 */
const MAX_DATABASES_PER_TICK = 4;

interface Surveyed {
    readonly at: number;
    readonly readings: ReadonlyMap<string, EndpointReading | undefined>;
}

/** Background readings of endpoints: they find the first primary, and the status reports lag and unexpected primaries. */
export class Survey {
    readonly #surveyed = new Map<string, Surveyed>();
    #next = 0;

    clear(): void {
        this.#surveyed.clear();
    }

    readings(database: string): ReadonlyMap<string, EndpointReading | undefined> {
        return this.#surveyed.get(database)?.readings ?? new Map();
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

    /** The one endpoint that reads as primary, when all active endpoints of the database were asked. */
    solePrimary(view: DatabaseView): string | undefined {
        const readings = this.readings(view.database);
        const active = view.endpoints.filter(({ state }) => state === EndpointState.Active);
        const primaries = this.primaries(view);
        const [only] = primaries;
        return primaries.length === 1 && active.every(({ id }) => readings.has(id)) ? only : undefined;
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
            ? FIRST_TERM_SURVEY_MS
            : context.options.surveyMs ?? SURVEY_MS;
        const surveyed = this.#surveyed.get(view.database);
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
        this.#surveyed.set(database, { at: context.now, readings: this.readings(database) });
        for (const { id } of present) {
            context.read(database, id, (later, reading) => {
                answers.set(id, reading);
                const current = later.state.database(database);
                if (answers.size === present.length && current !== undefined) {
                    const at = this.#surveyed.get(database)?.at ?? later.now;
                    this.#surveyed.set(database, { at, readings: answers });
                    complete(later, current);
                }
            });
        }
    }
}
