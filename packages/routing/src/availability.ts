/** Whether something can be used, and since when it cannot after it could. */
export class Availability {
    #isAvailable = false;
    #lostAt: number | undefined;

    /** Undefined while it is available, and before it ever was. */
    get lostAt(): number | undefined {
        return this.#lostAt;
    }

    note(isAvailable: boolean, now: number): void {
        if (isAvailable) {
            this.#lostAt = undefined;
        }
        else if (this.#isAvailable) {
            this.#lostAt = now;
        }
        this.#isAvailable = isAvailable;
    }
}
