import { textAt } from "./messages.js";
import type { Classification, Classifier } from "./ports.js";

const MAX_SHARED_STATEMENTS = 10_000;
const MAX_SHARED_BYTES = 32 << 20;
const MAX_STATEMENTS_PER_CONNECTION = 200;
/** Caller names with this prefix are not forwarded, so that no caller can use a shared statement by its name. */
export const SHARED_PREFIX = "medlarledge_";

/** One statement text with its parameter types, under a name that all callers and connections share. */
export interface PreparedStatement {
    readonly name: string;
    /** The part of the Parse message after the caller's statement name. */
    readonly body: Uint8Array;
    readonly text: string;
    readonly classification: Classification;
}

/** Assigns equal statements the same shared name. Bounded; a name is never used for a second text. */
export class PreparedStatementRegistry {
    readonly #classifier: Classifier;
    readonly #byKey = new Map<string, PreparedStatement>();
    #lastNumber = 0;
    #bytes = 0;

    constructor(classifier: Classifier) {
        this.#classifier = classifier;
    }

    /** @param body the part of the Parse message after the caller's statement name; copied if it is stored. */
    intern(body: Uint8Array): PreparedStatement {
        const key = Buffer.from(body.buffer, body.byteOffset, body.length).toString("latin1");
        const known = this.#byKey.get(key);
        if (known !== undefined) {
            return known;
        }
        const text = textAt(body, 0);
        this.#lastNumber += 1;
        const statement = {
            name: `${SHARED_PREFIX}${this.#lastNumber}`,
            body: Uint8Array.from(body),
            text,
            classification: this.#classifier.classify(text),
        };
        this.#byKey.set(key, statement);
        this.#bytes += key.length;
        this.#evict();
        return statement;
    }

    /** Removes the oldest entries. Callers that hold a removed statement continue to use its name. */
    #evict(): void {
        for (const key of this.#byKey.keys()) {
            if (this.#byKey.size <= MAX_SHARED_STATEMENTS && this.#bytes <= MAX_SHARED_BYTES) {
                return;
            }
            this.#byKey.delete(key);
            this.#bytes -= key.length;
        }
    }
}

/** The prepared statements of one caller, by the caller's own names; the unnamed statement has the empty name. */
export class CallerStatements {
    readonly #byName = new Map<string, PreparedStatement>();

    get(name: string): PreparedStatement | undefined {
        return this.#byName.get(name);
    }

    set(name: string, statement: PreparedStatement): void {
        this.#byName.set(name, statement);
    }

    delete(name: string): void {
        this.#byName.delete(name);
    }

    clear(): void {
        this.#byName.clear();
    }
}

/** The statements that one connection has prepared, least recently used first. */
export class ConnectionStatements {
    /** Shared name to the number of the request that used it last. */
    readonly #prepared = new Map<string, number>();
    #request = 0;

    nextRequest(): void {
        this.#request += 1;
    }

    /** Marks the statement as used by the current request. Returns false when the connection has not prepared it. */
    markUsed(name: string): boolean {
        if (!this.#prepared.has(name)) {
            return false;
        }
        this.#prepared.delete(name);
        this.#prepared.set(name, this.#request);
        return true;
    }

    add(name: string): void {
        this.#prepared.set(name, this.#request);
    }

    remove(name: string): void {
        this.#prepared.delete(name);
    }

    clear(): void {
        this.#prepared.clear();
    }

    size(): number {
        return this.#prepared.size;
    }

    /**
     * Removes the least recently used statement when the limit is reached, but never one of the current request.
     * Returns its name, or undefined when none was removed.
     */
    evict(): string | undefined {
        if (this.#prepared.size < MAX_STATEMENTS_PER_CONNECTION) {
            return undefined;
        }
        for (const [name, request] of this.#prepared) {
            if (request === this.#request) {
                return undefined;
            }
            this.#prepared.delete(name);
            return name;
        }
        return undefined;
    }
}
