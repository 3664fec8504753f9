import { type EndpointRecord, EndpointState, type PromotionOrder } from "@medlarledge/protocol";

/** Records of endpoints that left, kept so that late announcements of them are recognised. */
const MAX_LEFT = 256;

/** `changed`: others should hear of it; `refreshed`: only its sequence is newer. */
export type MergeResult = "changed" | "refreshed" | "ignored";

/**
 * Endpoints by their announcements, and the newest orders of control. Merging is idempotent and the order of arrival
 * does not matter, so every process can pass records on to every other one.
 */
export class EndpointDirectory {
    readonly #records = new Map<string, EndpointRecord>();
    readonly #orders = new Map<string, PromotionOrder>();

    /** Takes over an announcement unless a later one of the endpoint, or of another one at its address, is known. */
    merge(record: EndpointRecord): MergeResult {
        const known = this.#records.get(record.id);
        if (known !== undefined && !isNewer(record, known)) {
            return "ignored";
        }
        const successor = this.#atAddress(record).find(other => other.born > record.born);
        if (successor !== undefined && record.state !== EndpointState.Left) {
            return "ignored";
        }
        for (const former of this.#atAddress(record)) {
            this.#set({ ...former, state: EndpointState.Left });
        }
        this.#set(record);
        return known === undefined || differs(record, known) ? "changed" : "refreshed";
    }

    /** Takes over an order of control. Returns false when a newer one is known. */
    order(order: PromotionOrder): boolean {
        if (order.fence <= (this.#orders.get(order.group)?.fence ?? -1)) {
            return false;
        }
        this.#orders.set(order.group, order);
        return true;
    }

    record(id: string): EndpointRecord | undefined {
        return this.#records.get(id);
    }

    /** All records, those of endpoints that left included. */
    records(): readonly EndpointRecord[] {
        return [...this.#records.values()];
    }

    orders(): readonly PromotionOrder[] {
        return [...this.#orders.values()];
    }

    /** Endpoints of a group that have not left. */
    currentEndpoints(group: string): readonly EndpointRecord[] {
        return this.records().filter(record => record.group === group && record.state !== EndpointState.Left);
    }

    /** Groups with at least one endpoint that has not left. */
    groups(): readonly string[] {
        const present = this.records().filter(record => record.state !== EndpointState.Left);
        return [...new Set(present.map(record => record.group))];
    }

    /** Other endpoints that have not left and announced the same address. */
    #atAddress({ id, host, port }: EndpointRecord): readonly EndpointRecord[] {
        return this.records().filter(other =>
            other.id !== id && other.host === host && other.port === port && other.state !== EndpointState.Left
        );
    }

    #set(record: EndpointRecord): void {
        // Moved to the end, so that the oldest of those that left are dropped first.
        this.#records.delete(record.id);
        this.#records.set(record.id, record);
        if (record.state === EndpointState.Left) {
            this.#dropOldest();
        }
    }

    #dropOldest(): void {
        const left = this.records().filter(record => record.state === EndpointState.Left);
        for (const { id } of left.slice(0, Math.max(0, left.length - MAX_LEFT))) {
            this.#records.delete(id);
        }
    }
}

function isNewer(record: EndpointRecord, known: EndpointRecord): boolean {
    return record.born > known.born || (record.born === known.born && record.sequence > known.sequence);
}

function differs(record: EndpointRecord, known: EndpointRecord): boolean {
    return record.born !== known.born || record.state !== known.state || record.role !== known.role
        || record.group !== known.group || record.host !== known.host || record.port !== known.port
        || record.slots !== known.slots || record.dataCentre !== known.dataCentre;
}
