import type { HostList } from "@medlarledge/protocol";

/**
 * Minimum interval between two lists that differ in their entry hosts only. Hosts that join together are announced
 * together, since each list goes to all hosts, which then divide the connections anew.
 */
const MIN_INTERVAL_MS = 500;

/** Decides when a control host sends its list of hosts to the others. */
export class HostListSchedule {
    #sentControl = "";
    #sentEntries: string | undefined;
    #sentAt = Number.NEGATIVE_INFINITY;

    /**
     * Returns true when a list must be sent now, and records it as sent: at once if the control hosts have changed, and
     * after the minimum interval if only the entry hosts have.
     */
    isDue({ entries, ...control }: HostList, now: number): boolean {
        const controlText = JSON.stringify(control);
        const entriesText = JSON.stringify(entries);
        const isDue = controlText !== this.#sentControl
            || (entriesText !== this.#sentEntries && now - this.#sentAt >= MIN_INTERVAL_MS);
        if (isDue) {
            this.#sentControl = controlText;
            this.#sentEntries = entriesText;
            this.#sentAt = now;
        }
        return isDue;
    }
}
