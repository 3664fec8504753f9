import type { ControlMessage, Endpoint, Host, SlotGrant, SlotRecall, SlotRequest } from "@medlarledge/protocol";
import { endpointKey, SlotHolder, SlotKeeper, type SlotKeeperEffect } from "@medlarledge/routing";
import { periodic } from "most";
import type { Clock } from "./clock.js";
import { SlotManagers } from "./slot-managers.js";
import type { ViewTable } from "./view-table.js";

const TICK_MS = 10;

/** How long one tick authorises the keeper; several ticks, so that a busy event loop does not end the authority. */
const AUTHORITY_MS = 200;

/**
 * A host that has been silent for 2 h is removed and another one manages its endpoints. A host that is cut off stops
 * 10 minutes before that, so that two never manage the same endpoint.
 */
export const CUT_OFF_LIMIT_MS = 110 * 60_000;

export interface SlotTaskOptions {
    readonly hostId: string;
    readonly view: ViewTable;
    readonly clock: Clock;
    /** Monotonic time of the last valid lease. */
    readonly lastLeaseAt: () => number;
    /** Sends to another host; the sender's identity is added by the receiver's link. */
    readonly send: (to: string, message: ControlMessage) => boolean;
    readonly connect: (hostId: string, address: string) => void;
    readonly changed: () => void;
}

interface Demand {
    readonly endpoint: Endpoint;
    readonly wanted: number;
    readonly running: number;
}

/** Holds this host's slots of each endpoint, and manages the slots of the endpoints that it was chosen for. */
export class SlotTask {
    readonly #options: SlotTaskOptions;
    readonly #managers: SlotManagers;
    readonly #holders = new Map<string, SlotHolder>();
    readonly #keepers = new Map<string, SlotKeeper>();
    readonly #demands = new Map<string, Demand>();
    #stopped = false;

    constructor(options: SlotTaskOptions) {
        this.#options = options;
        this.#managers = new SlotManagers(options.view, options.hostId);
    }

    start(): void {
        void periodic(TICK_MS).takeWhile(() => !this.#stopped).observe(() => this.#tick());
    }

    stop(): void {
        this.#stopped = true;
    }

    /** Statements that this host may run at the same time on the endpoint. */
    slots(endpoint: Endpoint): number {
        return this.#holder(endpoint).allowed(this.#options.clock.now());
    }

    /** Statements that wait or run here, after the number changed. */
    wanted(endpoint: Endpoint, wanted: number, running: number): void {
        const demand = { endpoint, wanted, running };
        this.#demands.set(endpointKey(endpoint), demand);
        this.#update(demand);
    }

    requested(from: string, message: SlotRequest): void {
        const keeper = this.#keepers.get(endpointKey({ database: message.database, id: message.endpoint }));
        if (keeper !== undefined) {
            this.#execute(keeper.handle({ kind: "request", from, message }, this.#options.clock.now()));
        }
    }

    granted(message: SlotGrant): void {
        this.#holders.get(keyOf(message))?.granted(message);
        this.#answered(message);
    }

    recalled(message: SlotRecall): void {
        this.#holders.get(keyOf(message))?.recalled(message);
        this.#answered(message);
    }

    #answered(message: SlotGrant | SlotRecall): void {
        const demand = this.#demands.get(keyOf(message));
        if (demand !== undefined) {
            this.#options.changed();
            this.#update(demand);
        }
    }

    #tick(): void {
        this.#appointKeepers();
        const now = this.#options.clock.now();
        this.#keepers.forEach(keeper => this.#execute(keeper.handle({ kind: "tick" }, now)));
        this.#demands.forEach(demand => this.#update(demand));
    }

    /** Follows the view: who manages which endpoint, and with how many slots. */
    #appointKeepers(): void {
        const { clock, lastLeaseAt } = this.#options;
        const now = clock.now();
        if (now - lastLeaseAt() > CUT_OFF_LIMIT_MS) {
            return;
        }
        for (const endpoint of this.#managers.own()) {
            this.#keeper(endpoint).handle({ kind: "authorised", until: now + AUTHORITY_MS }, now);
        }
    }

    #update({ endpoint, wanted, running }: Demand): void {
        const { clock, hostId } = this.#options;
        const manager = this.#managers.managerOf(endpoint);
        if (manager === undefined) {
            return;
        }
        const request = this.#holder(endpoint).update(manager.id, wanted, running, clock.now());
        if (request === undefined) {
            return;
        }
        if (manager.id !== hostId) {
            this.#options.connect(manager.id, manager.peerAddress);
        }
        this.#options.send(manager.id, request);
    }

    #execute(effects: readonly SlotKeeperEffect[]): void {
        for (const effect of effects) {
            this.#options.send(hostOfSender(effect.to), effect.message);
        }
    }

    #holder(endpoint: Endpoint): SlotHolder {
        const key = endpointKey(endpoint);
        let holder = this.#holders.get(key);
        if (holder === undefined) {
            holder = new SlotHolder(endpoint.database, endpoint.id);
            this.#holders.set(key, holder);
        }
        return holder;
    }

    #keeper(endpoint: Endpoint): SlotKeeper {
        const key = endpointKey(endpoint);
        const known = this.#keepers.get(key);
        if (known !== undefined) {
            known.handle({ kind: "slots", slots: endpoint.slots }, this.#options.clock.now());
            return known;
        }
        const keeper = new SlotKeeper(endpoint.database, endpoint.id, endpoint.slots);
        this.#keepers.set(key, keeper);
        return keeper;
    }
}

/** Identity under which a keeper knows a host: a restarted process counts as another one. */
export function slotSender(host: Host): string {
    return `${host.id} ${host.incarnation}`;
}

function hostOfSender(sender: string): string {
    return sender.slice(0, sender.indexOf(" "));
}

function keyOf(message: { readonly database: string; readonly endpoint: string; }): string {
    return endpointKey({ database: message.database, id: message.endpoint });
}
