import type { Endpoint, Host } from "@medlarledge/protocol";
import { chooseSlotManager } from "@medlarledge/routing";
import type { ViewTable } from "./view-table.js";

/**
 * Remembers which host manages the slots of which endpoint. The choice hashes the names of all hosts of a data centre
 * and is needed at every tick, so it is made again only for hosts or endpoints that changed.
 */
export class SlotManagers {
    readonly #view: ViewTable;
    readonly #hostId: string;
    #hosts: readonly Host[] | undefined;
    #near = new Map<string, readonly Host[]>();
    #chosen = new WeakMap<Endpoint, Host>();
    #version: number | undefined;
    #own: readonly Endpoint[] = [];

    constructor(view: ViewTable, hostId: string) {
        this.#view = view;
        this.#hostId = hostId;
    }

    managerOf(endpoint: Endpoint): Host | undefined {
        this.#followHosts();
        let manager = this.#chosen.get(endpoint);
        if (manager === undefined) {
            manager = chooseSlotManager(endpoint, this.#hostsNear(endpoint.dataCentre));
            if (manager !== undefined) {
                this.#chosen.set(endpoint, manager);
            }
        }
        return manager;
    }

    /** Endpoints of the view whose slots this host manages. */
    own(): readonly Endpoint[] {
        this.#followHosts();
        if (this.#version !== this.#view.version) {
            this.#version = this.#view.version;
            this.#own = this.#view.databases().flatMap(({ endpoints }) =>
                endpoints.filter(endpoint => this.managerOf(endpoint)?.id === this.#hostId)
            );
        }
        return this.#own;
    }

    #followHosts(): void {
        const hosts = this.#view.liveHosts;
        if (hosts !== this.#hosts) {
            this.#hosts = hosts;
            this.#near = new Map();
            this.#chosen = new WeakMap();
            this.#version = undefined;
        }
    }

    #hostsNear(dataCentre: string): readonly Host[] {
        let near = this.#near.get(dataCentre);
        if (near === undefined) {
            const hosts = this.#hosts ?? [];
            const same = hosts.filter(host => host.dataCentre === dataCentre);
            near = same.length > 0 ? same : hosts;
            this.#near.set(dataCentre, near);
        }
        return near;
    }
}
