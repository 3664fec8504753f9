/**
 * What is lost again this soon had not come back: a host without connections finds out by an order, which takes at most
 * this long until it is overdue.
 */
const TRIAL_MS = 400;

/** Whether something can be used, and since when it cannot after it could. */
export class Availability {
    #isAvailable = false;
    #availableSince = 0;
    #lostAt: number | undefined;

    /** Undefined while it is available, and before it ever was. */
    get lostAt(): number | undefined {
        return this.#isAvailable ? undefined : this.#lostAt;
    }

    update(isAvailable: boolean, now: number): void {
        if (isAvailable && !this.#isAvailable) {
            this.#availableSince = now;
        }
        else if (!isAvailable && this.#isAvailable) {
            const wasTrial = this.#lostAt !== undefined && now - this.#availableSince < TRIAL_MS;
            this.#lostAt = wasTrial ? this.#lostAt : now;
        }
        this.#isAvailable = isAvailable;
    }
}
