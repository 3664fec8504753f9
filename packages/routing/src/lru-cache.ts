export interface CacheLimits {
    /** Maximum number of entries. */
    readonly entries: number;
    /** Maximum sum of the key lengths. */
    readonly characters: number;
    /** Maximum length of one key; values under longer keys are not cached. */
    readonly keyCharacters: number;
}

/** Least-recently-used cache with string keys, limited by its number of entries and the total length of its keys. */
export class LruCache<Value> {
    readonly #limits: CacheLimits;
    readonly #values = new Map<string, Value>();
    #characters = 0;

    constructor(limits: CacheLimits) {
        this.#limits = limits;
    }

    get size(): number {
        return this.#values.size;
    }

    get characters(): number {
        return this.#characters;
    }

    get(key: string): Value | undefined {
        const value = this.#values.get(key);
        if (value !== undefined) {
            this.#values.delete(key);
            this.#values.set(key, value);
        }
        return value;
    }

    set(key: string, value: Value): void {
        if (key.length > this.#limits.keyCharacters) {
            return;
        }
        this.#remove(key);
        this.#values.set(key, value);
        this.#characters += key.length;
        this.#shrink();
    }

    #shrink(): void {
        for (const key of this.#values.keys()) {
            if (this.#values.size <= this.#limits.entries && this.#characters <= this.#limits.characters) {
                return;
            }
            this.#remove(key);
        }
    }

    #remove(key: string): void {
        if (this.#values.delete(key)) {
            this.#characters -= key.length;
        }
    }
}
