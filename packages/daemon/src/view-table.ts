import type { DatabaseView, Host, ViewUpdate } from "@medlarledge/protocol";

/** What this host knows of the databases and of the other hosts. */
export class ViewTable {
    #version = 0;
    #databases = new Map<string, DatabaseView>();
    #hosts: readonly Host[] = [];
    #silent: ReadonlySet<string> = new Set();
    #liveHosts: readonly Host[] = [];
    #complete = false;

    /** Version of the last update; 0 asks for the whole view. */
    get version(): number {
        return this.#version;
    }

    /** True once a whole view has been received. */
    get complete(): boolean {
        return this.#complete;
    }

    get hosts(): readonly Host[] {
        return this.#hosts;
    }

    /** Hosts that are believed to run: registered and not reported as silent. The same array until that changes. */
    get liveHosts(): readonly Host[] {
        return this.#liveHosts;
    }

    /** Replaces the set of silent hosts. */
    silent(ids: readonly string[]): void {
        this.#silent = new Set(ids);
        this.#updateLiveHosts();
    }

    database(name: string): DatabaseView | undefined {
        return this.#databases.get(name);
    }

    databases(): readonly DatabaseView[] {
        return [...this.#databases.values()];
    }

    /** Applies an update; one that is older than what is known is ignored, so that a view never goes back. */
    apply(update: ViewUpdate): boolean {
        if (update.version < this.#version) {
            return false;
        }
        if (update.complete) {
            this.#databases = new Map();
            this.#complete = true;
        }
        for (const view of update.databases) {
            this.#databases.set(view.database, view);
        }
        if (update.hosts !== undefined) {
            this.#hosts = update.hosts;
            this.#updateLiveHosts();
        }
        this.#version = update.version;
        return true;
    }

    #updateLiveHosts(): void {
        this.#liveHosts = this.#hosts.filter(host => !this.#silent.has(host.id));
    }
}
