/** A change to one row or table. Keys and values are text; NULL is undefined. */
export type Change =
    | { readonly kind: "create"; readonly table: string; }
    | { readonly kind: "put"; readonly table: string; readonly key: string; readonly value: string | undefined; }
    | { readonly kind: "delete"; readonly table: string; readonly key: string; };

/** One committed transaction. `position` is the end of its record in the log. */
export interface LogRecord {
    readonly position: number;
    readonly timeline: number;
    readonly changes: readonly Change[];
}

/** Where a timeline began. `origin` tells two promotions to the same timeline number apart. */
export interface Fork {
    readonly timeline: number;
    readonly start: number;
    readonly origin: string;
}

export interface StoredRow {
    readonly value: string | undefined;
    /** Position at which the row was written. */
    readonly position: number;
}

/** Where the log of a new group begins; PostgreSQL starts at its second 16 MiB segment too. */
export const FIRST_POSITION = 0x100_0000;
const RECORD_BYTES = 32;
const CHANGE_BYTES = 24;
const ALIGNMENT_BYTES = 8;

/** Tables and the log that produced them, in memory. */
export class Store {
    readonly #tables = new Map<string, Map<string, StoredRow>>();
    #log: LogRecord[] = [];
    #history: readonly Fork[] = [{ timeline: 1, start: 0, origin: "origin" }];
    #position = FIRST_POSITION;

    get position(): number {
        return this.#position;
    }

    get history(): readonly Fork[] {
        return this.#history;
    }

    /** Timeline that the end of the log lies on. */
    get timeline(): number {
        return this.#history.findLast((fork) => fork.start <= this.#position)?.timeline ?? 1;
    }

    table(name: string): ReadonlyMap<string, StoredRow> | undefined {
        return this.#tables.get(name);
    }

    commit(changes: readonly Change[]): LogRecord {
        const text = changes.reduce((sum, change) => sum + CHANGE_BYTES + sizeOf(change), RECORD_BYTES);
        const size = Math.ceil(text / ALIGNMENT_BYTES) * ALIGNMENT_BYTES;
        const record = { position: this.#position + size, timeline: this.timeline, changes };
        this.apply(record);
        return record;
    }

    /** Applies the next record; one that lies behind the end of the log is ignored. */
    apply(record: LogRecord): void {
        if (record.position > this.#position) {
            this.#log.push(record);
            this.#position = record.position;
            record.changes.forEach((change) => this.#change(change, record.position));
        }
    }

    recordsAfter(position: number): readonly LogRecord[] {
        const first = this.#log.findIndex((record) => record.position > position);
        return first < 0 ? [] : this.#log.slice(first);
    }

    /** Begins the next timeline at the end of the log. */
    beginTimeline(origin: string): void {
        this.#history = [...this.#history, { timeline: this.timeline + 1, start: this.#position, origin }];
    }

    /** Discards what lies beyond the position, and takes the history of the primary to follow. */
    rewind(position: number, history: readonly Fork[]): void {
        this.#history = history;
        if (position >= this.#position) {
            return;
        }
        const kept = this.#log.filter((record) => record.position <= position);
        this.#tables.clear();
        this.#log = [];
        this.#position = FIRST_POSITION;
        kept.forEach((record) => this.apply(record));
    }

    #change(change: Change, position: number): void {
        if (change.kind === "create") {
            this.#tables.set(change.table, new Map());
        }
        else if (change.kind === "put") {
            this.#tables.get(change.table)?.set(change.key, { value: change.value, position });
        }
        else {
            this.#tables.get(change.table)?.delete(change.key);
        }
    }
}

function sizeOf(change: Change): number {
    return change.kind === "create" ? 0 : change.key.length + (change.kind === "put" ? change.value?.length ?? 0 : 0);
}

/** The end of the log that two histories have in common, given where each log ends. */
export function commonEnd(left: readonly Fork[], leftEnd: number, right: readonly Fork[], rightEnd: number): number {
    let shared = 0;
    while (shared < left.length && shared < right.length && sameFork(left[shared], right[shared])) {
        shared++;
    }
    return Math.min(leftEnd, rightEnd, left[shared]?.start ?? Infinity, right[shared]?.start ?? Infinity);
}

function sameFork(left: Fork | undefined, right: Fork | undefined): boolean {
    return left?.timeline === right?.timeline && left?.start === right?.start && left?.origin === right?.origin;
}
