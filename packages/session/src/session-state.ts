import { compareFloors, type Floor } from "@medlarledge/protocol";
import type { FloorCheck } from "./floor-check.js";

/** One caller's floor, raised by its writes and by its reads. */
export class SessionState {
    #floor: Floor | undefined;

    floor(): Floor | undefined {
        return this.#floor;
    }

    /** Raises the floor and tells whether it changed. */
    raise(floor: Floor): boolean {
        if (this.#floor !== undefined && compareFloors(floor, this.#floor) <= 0) {
            return false;
        }
        this.#floor = floor;
        return true;
    }

    /** Takes the floor of a token. A token older than the session's own floor lowers nothing. */
    accept(floor: Floor): void {
        this.raise(floor);
    }

    /**
     * Restarts the floor after a loss. True once per loss: the floor then lies in the newest term, for which no
     * further loss is found until that term is cut as well.
     */
    takeLoss(check: FloorCheck): boolean {
        if (check.kind !== "lost" || this.#floor === undefined || this.#floor.term >= check.term) {
            return false;
        }
        this.#floor = { term: check.term, position: check.position };
        return true;
    }
}
