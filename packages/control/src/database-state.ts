import {
    type DatabaseView,
    type Endpoint,
    EndpointState,
    type Position,
    type RegisteredEndpoint,
    type Term,
    type TermRecord,
} from "@medlarledge/protocol";
import { Refusal } from "./apply-result.js";

/**
 * Maximum number of terms stored per database. Two changes of primary a day are expected over all 640 databases, so one
 * database reaches this in decades. The session package treats a read floor of a removed term as lost.
 */
export const MAX_TERMS = 64;

/** Maximum number of left endpoints, and of replaced ones, stored per database to reject their late announcements. */
export const MAX_LEFT_ENDPOINTS = 32;

export type Change =
    | { readonly outcome: "accepted" | "unchanged"; }
    | { readonly outcome: "refused"; readonly reason: Refusal; };

export type Announcement = Change & { readonly replaced: readonly string[]; };

/** Plain data of one database in a snapshot. */
export interface DatabaseData {
    readonly name: string;
    readonly terms: readonly TermRecord[];
    readonly endpoints: readonly RegisteredEndpoint[];
    readonly retired: readonly (readonly [string, number])[];
    readonly changedAt: number;
}

const ACCEPTED: Change = { outcome: "accepted" };
const UNCHANGED: Change = { outcome: "unchanged" };

function refused(reason: Refusal): Change {
    return { outcome: "refused", reason };
}

/** Endpoints and terms of one database, changed only by committed commands. */
export class DatabaseState {
    readonly name: string;
    /** Version of the whole state at which this database last changed. */
    changedAt: number;
    #terms: readonly TermRecord[];
    readonly #endpoints: Map<string, RegisteredEndpoint>;
    /** Highest sequence of each replaced endpoint, by id and system identifier. */
    readonly #retired: Map<string, number>;
    #view: DatabaseView | undefined;

    constructor(data: DatabaseData) {
        this.name = data.name;
        this.changedAt = data.changedAt;
        this.#terms = data.terms;
        this.#endpoints = new Map(data.endpoints.map((endpoint) => [endpoint.id, endpoint]));
        this.#retired = new Map(data.retired);
    }

    static empty(name: string): DatabaseState {
        return new DatabaseState({ name, terms: [], endpoints: [], retired: [], changedAt: 0 });
    }

    data(): DatabaseData {
        // Ordered by their last change, which determines the order of removal.
        const endpoints = [...this.#endpoints.values()];
        const { name, changedAt } = this;
        return { name, terms: this.#terms, endpoints, retired: [...this.#retired], changedAt };
    }

    view(): DatabaseView {
        this.#view ??= {
            database: this.name,
            terms: this.#terms,
            endpoints: [...this.#endpoints.values()].sort((left, right) => left.id < right.id ? -1 : 1),
        };
        return this.#view;
    }

    currentTerm(): TermRecord | undefined {
        return this.#terms.at(-1);
    }

    announce(endpoint: Endpoint): Announcement {
        const known = this.#endpoints.get(endpoint.id);
        const sequence = known?.systemIdentifier === endpoint.systemIdentifier
            ? known.sequence
            : this.#retired.get(identity(endpoint));
        if (sequence !== undefined && endpoint.sequence <= sequence) {
            return { ...refused(Refusal.Stale), replaced: [] };
        }
        const replaced = this.#markReplaced(endpoint);
        const otherFolder = known !== undefined && known.systemIdentifier !== endpoint.systemIdentifier;
        if (otherFolder && this.currentTerm()?.primary === endpoint.id) {
            return { ...refused(Refusal.IdInUse), replaced };
        }
        this.#retired.delete(identity(endpoint));
        this.#set({ ...endpoint, state: EndpointState.Active });
        return { ...ACCEPTED, replaced };
    }

    leaves(id: string, systemIdentifier: string, sequence: number): Change {
        const known = this.#endpoints.get(id);
        if (known === undefined) {
            return refused(Refusal.UnknownEndpoint);
        }
        if (known.systemIdentifier !== systemIdentifier) {
            return refused(Refusal.OtherSystemIdentifier);
        }
        if (sequence <= known.sequence) {
            return known.state !== EndpointState.Active && sequence === known.sequence
                ? UNCHANGED
                : refused(Refusal.Stale);
        }
        const state = known.state === EndpointState.Left ? EndpointState.Left : EndpointState.Leaving;
        this.#set({ ...known, sequence, state });
        return ACCEPTED;
    }

    left(id: string, sequence: number): Change {
        const known = this.#endpoints.get(id);
        if (known === undefined) {
            return refused(Refusal.UnknownEndpoint);
        }
        // The endpoint announced itself again after the proposal and has not left.
        if (sequence < known.sequence) {
            return refused(Refusal.Stale);
        }
        if (known.state === EndpointState.Left) {
            return UNCHANGED;
        }
        this.#set({ ...known, state: EndpointState.Left });
        return ACCEPTED;
    }

    beginTerm(term: Term, primary: string): Change {
        const current = this.currentTerm();
        if (current !== undefined && term === current.term && primary === current.primary) {
            return UNCHANGED;
        }
        if (term !== (current?.term ?? 0) + 1) {
            return refused(Refusal.TermNotNext);
        }
        const endpoint = this.#endpoints.get(primary);
        if (endpoint === undefined || endpoint.state === EndpointState.Left) {
            return refused(Refusal.UnknownEndpoint);
        }
        this.#terms = pruneTerms([...this.#terms, { term, primary, start: undefined, timeline: undefined }]);
        this.#view = undefined;
        return ACCEPTED;
    }

    startTerm(term: Term, timeline: number, start: Position): Change {
        const current = this.currentTerm();
        if (current?.term !== term) {
            return refused(Refusal.TermNotCurrent);
        }
        if (!isNatural(start) || !isNatural(timeline)) {
            return refused(Refusal.StartUnknown);
        }
        if (current.start !== undefined) {
            return current.start === start && current.timeline === timeline ? UNCHANGED : refused(Refusal.TermStarted);
        }
        this.#terms = [...this.#terms.slice(0, -1), { ...current, start, timeline }];
        this.#view = undefined;
        return ACCEPTED;
    }

    /** Marks endpoints as left whose address or id is announced with another system identifier. */
    #markReplaced(endpoint: Endpoint): readonly string[] {
        const replaced: string[] = [];
        for (const other of [...this.#endpoints.values()]) {
            const sameAddress = other.host === endpoint.host && other.port === endpoint.port;
            const different = other.systemIdentifier !== endpoint.systemIdentifier;
            if (!different || (!sameAddress && other.id !== endpoint.id)) {
                continue;
            }
            this.#retired.set(identity(other), other.sequence);
            if (other.state !== EndpointState.Left) {
                this.#set({ ...other, state: EndpointState.Left });
                replaced.push(other.id);
            }
        }
        trimOldest(this.#retired, MAX_LEFT_ENDPOINTS);
        return replaced;
    }

    #set(endpoint: RegisteredEndpoint): void {
        this.#endpoints.delete(endpoint.id);
        this.#endpoints.set(endpoint.id, endpoint);
        const left = [...this.#endpoints.values()].filter((other) =>
            other.state === EndpointState.Left && !this.#terms.some((term) => term.primary === other.id)
        );
        for (const other of left.slice(0, Math.max(0, left.length - MAX_LEFT_ENDPOINTS))) {
            this.#endpoints.delete(other.id);
        }
        this.#view = undefined;
    }
}

/** Removes superseded terms that never started first: no write was accepted under them, so no read floor has them. */
function pruneTerms(terms: readonly TermRecord[]): readonly TermRecord[] {
    if (terms.length <= MAX_TERMS) {
        return terms;
    }
    const unused = terms.findIndex((record, index) => record.start === undefined && index < terms.length - 1);
    const dropped = unused === -1 ? 0 : unused;
    return terms.filter((_, index) => index !== dropped);
}

function identity(endpoint: Endpoint): string {
    return JSON.stringify([endpoint.id, endpoint.systemIdentifier]);
}

function trimOldest(map: Map<string, unknown>, limit: number): void {
    for (const key of map.keys()) {
        if (map.size <= limit) {
            return;
        }
        map.delete(key);
    }
}

function isNatural(value: unknown): boolean {
    return Number.isSafeInteger(value) && (value as number) >= 0;
}
