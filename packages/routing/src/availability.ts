/**
 * A resource that becomes unavailable again within this time had not recovered: a host without connections detects the
 * failure with a statement order, which takes at most this long until it is overdue.
 */
const MIN_AVAILABLE_MS = 400;

/** Tracks whether a resource is available and, if not, since when; a short recovery does not restart an outage. */
export class Availability {
    #isAvailable = false;
    #availableSince = 0;
    #lostAt: number | undefined;

    /** Start of the present outage; undefined while the resource is available and before it first was. */
    get lostAt(): number | undefined {
        return this.#isAvailable ? undefined : this.#lostAt;
    }

    /** Records the present state. */
    update(isAvailable: boolean, now: number): void {
        if (isAvailable && !this.#isAvailable) {
            this.#availableSince = now;
        }
        else if (!isAvailable && this.#isAvailable) {
            const isSameOutage = this.#lostAt !== undefined && now - this.#availableSince < MIN_AVAILABLE_MS;
            this.#lostAt = isSameOutage ? this.#lostAt : now;
        }
        this.#isAvailable = isAvailable;
    }
}
