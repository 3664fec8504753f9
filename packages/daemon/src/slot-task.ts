import {
    type ControlMessage,
    type Endpoint,
    EndpointState,
    type Host,
    type RegisteredEndpoint,
    type SlotGrant,
    type SlotRecall,
    type SlotRequest,
} from "@medlarledge/protocol";
import { endpointKey, SlotHolder, SlotManager, type SlotManagerEffect } from "@medlarledge/routing";
import type { Clock } from "@medlarledge/runtime";
import { periodic } from "most";
import { SlotManagers } from "./slot-managers.js";
import { SlotPeers } from "./slot-peers.js";
import type { ViewTable } from "./view-table.js";

const TICK_MS = 10;

/** How long one tick authorises the keeper; several ticks, so that a busy event loop does not end the authority. */
const AUTHORITY_MS = 200;

/** After a change of the hosts, each endpoint's manager is told what this host holds; repeated against loss. */
const INTRODUCTION_MS = 1_000;
const INTRODUCTION_STEP_MS = 50;

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
    readonly #keepers = new Map<string, SlotManager>();
    readonly #demands = new Map<string, Demand>();
    readonly #peers = new SlotPeers();
    #hosts: readonly Host[] = [];
    #viewVersion = 0;
    #introduceUntil = 0;
    #introducedAt = 0;
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
        const now = this.#options.clock.now();
        this.#followHosts(now);
        this.#appointKeepers(now);
        this.#keepers.forEach(keeper => this.#execute(keeper.handle({ kind: "tick" }, now)));
        this.#demands.forEach(demand => this.#update(demand));
    }

    /** Follows the view: who manages which endpoint, and with how many slots. */
    #appointKeepers(now: number): void {
        if (now - this.#options.lastLeaseAt() > CUT_OFF_LIMIT_MS) {
            return;
        }
        const peers = this.#peers.complete();
        for (const endpoint of this.#managers.own()) {
            this.#keeper(endpoint).handle({ kind: "authorised", until: now + AUTHORITY_MS, peers }, now);
        }
    }

    /** Notices changed hosts and endpoints, and tells new managers what this host holds, be it nothing. */
    #followHosts(now: number): void {
        const { view } = this.#options;
        if (view.liveHosts !== this.#hosts || view.version !== this.#viewVersion) {
            this.#peers.changed(this.#hosts, view.liveHosts, view.hosts.length);
            this.#hosts = view.liveHosts;
            this.#viewVersion = view.version;
            this.#introduceUntil = now + INTRODUCTION_MS;
        }
        if (now < this.#introduceUntil && now - this.#introducedAt >= INTRODUCTION_STEP_MS) {
            this.#introducedAt = now;
            for (const { endpoints } of view.databases()) {
                endpoints.forEach(endpoint => this.#introduce(endpoint));
            }
        }
    }

    #introduce(endpoint: RegisteredEndpoint): void {
        if (endpoint.state !== EndpointState.Left && !this.#demands.has(endpointKey(endpoint))) {
            this.#update({ endpoint, wanted: 0, running: 0 });
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

    #execute(effects: readonly SlotManagerEffect[]): void {
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

    #keeper(endpoint: Endpoint): SlotManager {
        const key = endpointKey(endpoint);
        const known = this.#keepers.get(key);
        if (known !== undefined) {
            known.handle({ kind: "slots", slots: endpoint.slots }, this.#options.clock.now());
            return known;
        }
        const keeper = new SlotManager(endpoint.database, endpoint.id, endpoint.slots);
        this.#keepers.set(key, keeper);
        return keeper;
    }
}

function hostOfSender(sender: string): string {
    return sender.slice(0, sender.indexOf(" "));
}

function keyOf(message: { readonly database: string; readonly endpoint: string; }): string {
    return endpointKey({ database: message.database, id: message.endpoint });
}
