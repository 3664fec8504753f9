import type { Routing } from "@medlarledge/gateway";
import type { ConfigurationChange } from "@medlarledge/protocol";
import type { ConfigurationReader } from "./ports.js";

/** The routing of the newest known configuration, derived once for each configuration. */
export class CurrentRouting {
    readonly #configurations: ConfigurationReader;
    readonly #configuration: () => ConfigurationChange | undefined;
    #routing: Routing | undefined;

    constructor(configurations: ConfigurationReader, configuration: () => ConfigurationChange | undefined) {
        this.#configurations = configurations;
        this.#configuration = configuration;
    }

    /** Undefined before the first configuration. */
    get(): Routing | undefined {
        const change = this.#configuration();
        if (change !== undefined && this.#routing?.number !== change.number) {
            this.#routing = this.#configurations.routing(change);
        }
        return this.#routing;
    }
}
