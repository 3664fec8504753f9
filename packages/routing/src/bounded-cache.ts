export interface CacheLimits {
    readonly entries: number;
    /** Sum of the lengths of the keys. */
    readonly characters: number;
    /** Longer keys are not kept. */
    readonly keyCharacters: number;
}

/** Least-recently-used cache with text keys, bounded by entries and by the characters of its keys. */
export class BoundedCache<Value> {
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
