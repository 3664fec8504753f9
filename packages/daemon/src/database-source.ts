import type { DatabaseView, Endpoint, Term } from "@medlarledge/protocol";
import type { DatabaseSource } from "@medlarledge/proxy";
import { connectionShare } from "@medlarledge/routing";
import { type DatabaseSettings, DEFAULT_CLASS, type ResolvedClass } from "@medlarledge/settings";
import type { ConfigurationHolder } from "./configuration-holder.js";
import type { EntryTask } from "./entry-task.js";
import { CUT_OFF_LIMIT_MS, type SlotTask } from "./slot-task.js";

/** What the proxy knows of the databases, answered from the view, the configuration and the lease. */
export class HostDatabases implements DatabaseSource {
    readonly #self: { readonly id: string; readonly dataCentre: string; };
    readonly #entry: EntryTask;
    readonly #slots: SlotTask;
    readonly #configuration: ConfigurationHolder;
    readonly #listeners: (() => void)[] = [];

    constructor(
        self: { readonly id: string; readonly dataCentre: string; },
        entry: EntryTask,
        slots: SlotTask,
        configuration: ConfigurationHolder,
    ) {
        this.#self = self;
        this.#entry = entry;
        this.#slots = slots;
        this.#configuration = configuration;
    }

    view(database: string): DatabaseView | undefined {
        return this.#entry.view.database(database);
    }

    settings(database: string): DatabaseSettings | undefined {
        return this.#configuration.inForce?.configuration.databases[database];
    }

    classFor(
        database: string,
        user: string,
        applicationName: string,
        comment: Readonly<Record<string, string>>,
    ): ResolvedClass {
        const classes = this.#configuration.inForce?.classes;
        return classes?.classFor(database, user, applicationName, comment) ?? DEFAULT_CLASS;
    }

    mayAcknowledge(database: string, term: Term): boolean {
        return this.#entry.mayAcknowledge(database, term);
    }

    /** A host that was cut off for longer holds none, since its share is about to be given to others. */
    connectionShare(endpoint: Endpoint): number {
        if (this.#entry.cutOffForMs() > CUT_OFF_LIMIT_MS) {
            return 0;
        }
        return connectionShare(endpoint, this.#entry.view.hosts, this.#self.id);
    }

    slots(endpoint: Endpoint): number {
        return this.#slots.slots(endpoint);
    }

    sameDataCentre(endpoint: Endpoint): boolean {
        return endpoint.dataCentre === this.#self.dataCentre;
    }

    onChange(listener: () => void): void {
        this.#listeners.push(listener);
    }

    /** Tells the proxy that a view, a lease, a slot or the configuration changed. */
    changed(): void {
        this.#listeners.forEach(listener => listener());
    }
}
