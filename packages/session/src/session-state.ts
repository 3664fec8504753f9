import { compareFloors, type Floor } from "@medlarledge/protocol";
import type { FloorCheck } from "./floor-check.js";

/** Read floor of one caller's session, raised by its writes and reads. */
export class SessionState {
    #floor: Floor | undefined;

    /** The present floor; undefined before the first write or read. */
    floor(): Floor | undefined {
        return this.#floor;
    }

    /** Raises the floor, never lowers it. Returns true when it changed. */
    raise(floor: Floor): boolean {
        if (this.#floor !== undefined && compareFloors(floor, this.#floor) <= 0) {
            return false;
        }
        this.#floor = floor;
        return true;
    }

    /** Applies the floor of a session token. A token older than the session's own floor has no effect. */
    accept(floor: Floor): void {
        this.raise(floor);
    }

    /**
     * Resets the floor to the newest term after a failover discarded part of the log below it. Returns true once per
     * loss: the check then finds no further loss until a later failover discards log of the newest term as well.
     */
    takeLoss(check: FloorCheck): boolean {
        if (check.kind !== "lost" || this.#floor === undefined || this.#floor.term >= check.term) {
            return false;
        }
        this.#floor = { term: check.term, position: check.position };
        return true;
    }
}
