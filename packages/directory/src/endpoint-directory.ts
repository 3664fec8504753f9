import { type EndpointRecord, EndpointState, type PromotionOrder } from "@medlarledge/protocol";

/** Maximum number of records of endpoints that left, which are kept to recognize late announcements of them. */
const MAX_LEFT_RECORDS = 256;

/** `changed`: to be forwarded to other hosts; `refreshed`: only the sequence number is newer. */
export type MergeResult = "changed" | "refreshed" | "ignored";

/**
 * The latest announcement of each endpoint and the newest promotion order of each group. Merging is idempotent and
 * independent of the order of arrival, so every process can forward records to every other one.
 */
export class EndpointDirectory {
    readonly #records = new Map<string, EndpointRecord>();
    readonly #orders = new Map<string, PromotionOrder>();
    /** Times since when endpoints have been leaving, by endpoint id. */
    readonly #leavingSince = new Map<string, number>();

    /**
     * Merges an announcement. Ignores it if a newer one of it, or a later endpoint at the same address, is known.
     * @param now in ms of a monotonic clock
     */
    merge(record: EndpointRecord, now: number): MergeResult {
        const known = this.#records.get(record.id);
        if (known !== undefined && isEndOf(record, known)) {
            this.#set({ ...known, state: EndpointState.Left }, now);
            return "changed";
        }
        if (known !== undefined && !isNewer(record, known)) {
            return this.#mergeLeavingTime(record, known, now);
        }
        const successor = this.#atAddress(record).find(other => other.born > record.born);
        if (successor !== undefined && record.state !== EndpointState.Left) {
            return "ignored";
        }
        for (const former of this.#atAddress(record)) {
            this.#set({ ...former, state: EndpointState.Left }, now);
        }
        this.#set(record, now);
        return known === undefined || differs(record, known) ? "changed" : "refreshed";
    }

    /** Merges a promotion order. Returns false if an order with the same or a higher fencing token is known. */
    order(order: PromotionOrder): boolean {
        if (order.fence <= (this.#orders.get(order.group)?.fence ?? -1)) {
            return false;
        }
        this.#orders.set(order.group, order);
        return true;
    }

    /** Returns the latest announcement of an endpoint, without the time for which it has been leaving. */
    record(id: string): EndpointRecord | undefined {
        return this.#records.get(id);
    }

    /** Returns all records at the time `now`, including those of endpoints that left. */
    records(now: number): readonly EndpointRecord[] {
        return this.#stored().map(record => {
            const since = this.#leavingSince.get(record.id);
            return since === undefined ? record : { ...record, leavingMs: now - since };
        });
    }

    /** Returns the newest promotion order of a group; undefined before the first. */
    newestOrder(group: string): PromotionOrder | undefined {
        return this.#orders.get(group);
    }

    /** Returns the newest promotion order of each group. */
    orders(): readonly PromotionOrder[] {
        return [...this.#orders.values()];
    }

    /** Returns the endpoints of a group that have not left, at the time `now`. */
    currentEndpoints(group: string, now: number): readonly EndpointRecord[] {
        return this.records(now).filter(record => record.group === group && record.state !== EndpointState.Left);
    }

    /**
     * Returns the endpoints of a group that have left and whose log no later endpoint of the group at their address has
     * taken over.
     */
    departedEndpoints(group: string): readonly EndpointRecord[] {
        const records = this.#stored().filter(record => record.group === group);
        return records.filter(({ state, host, port, born }) =>
            state === EndpointState.Left
            && !records.some(other => other.host === host && other.port === port && other.born > born)
        );
    }

    /** Returns the groups with at least one endpoint that has not left. */
    groups(): readonly string[] {
        const present = this.#stored().filter(record => record.state !== EndpointState.Left);
        return [...new Set(present.map(record => record.group))];
    }

    /** Returns the other endpoints that announced the same address and have not left. */
    #atAddress({ id, host, port }: EndpointRecord): readonly EndpointRecord[] {
        return this.#stored().filter(other =>
            other.id !== id && other.host === host && other.port === port && other.state !== EndpointState.Left
        );
    }

    #stored(): readonly EndpointRecord[] {
        return [...this.#records.values()];
    }

    #set({ leavingMs = 0, ...record }: EndpointRecord, now: number): void {
        const formerSince = this.#records.get(record.id)?.born === record.born
            ? this.#leavingSince.get(record.id)
            : undefined;
        if (record.state === EndpointState.Leaving) {
            this.#leavingSince.set(record.id, Math.min(formerSince ?? Infinity, now - leavingMs));
        }
        else {
            this.#leavingSince.delete(record.id);
        }
        // Moved to the end of the insertion order, so that the oldest records of endpoints that left are removed first.
        this.#records.delete(record.id);
        this.#records.set(record.id, record);
        if (record.state === EndpointState.Left) {
            this.#removeOldestLeft();
        }
    }

    /** Takes over the earlier one of two times since when an endpoint has been leaving. */
    #mergeLeavingTime(record: EndpointRecord, known: EndpointRecord, now: number): MergeResult {
        const since = this.#leavingSince.get(record.id);
        const isSameDeparture = record.born === known.born && record.state === EndpointState.Leaving
            && since !== undefined;
        if (!isSameDeparture || now - (record.leavingMs ?? 0) >= since) {
            return "ignored";
        }
        this.#leavingSince.set(record.id, now - (record.leavingMs ?? 0));
        return "refreshed";
    }

    #removeOldestLeft(): void {
        const left = this.#stored().filter(record => record.state === EndpointState.Left);
        for (const { id } of left.slice(0, Math.max(0, left.length - MAX_LEFT_RECORDS))) {
            this.#records.delete(id);
        }
    }
}

function isNewer(record: EndpointRecord, known: EndpointRecord): boolean {
    return record.born > known.born || (record.born === known.born && record.sequence > known.sequence);
}

/**
 * Returns true when the record says that an endpoint which is known to be leaving has left. Its sequence number may be
 * lower, since it comes from a host that has not heard all announcements.
 */
function isEndOf(record: EndpointRecord, known: EndpointRecord): boolean {
    return record.born === known.born && record.state === EndpointState.Left && known.state === EndpointState.Leaving;
}

function differs(record: EndpointRecord, known: EndpointRecord): boolean {
    return record.born !== known.born || record.state !== known.state || record.role !== known.role
        || record.group !== known.group || record.host !== known.host || record.port !== known.port
        || record.slots !== known.slots || record.dataCentre !== known.dataCentre;
}
