import type { ConfigurationUpdate, Host } from "@medlarledge/protocol";
import type { HostRecord } from "./host-table.js";
import type { LeaderContext } from "./leader-context.js";

/** Minimum interval between two transmissions of the configuration to one host, because it can be large. */
export const RESEND_CONFIGURATION_MS = 300;

/** Sends view updates and the configuration to entry hosts. */
export class Distribution {
    /** Version of the newest view sent to all hosts. */
    #sentVersion = 0;
    readonly #configurationSentAt = new Map<string, number>();
    #configuration: ConfigurationUpdate | undefined;

    clear(): void {
        this.#sentVersion = 0;
        this.#configurationSentAt.clear();
    }

    /**
     * Sends the changes since the last call. Called at every tick, so that a burst of changes is sent as one message,
     * and immediately for terms, because entry hosts wait for them. A host whose version is not yet known is updated at
     * its first renewal.
     */
    pushView(context: LeaderContext): void {
        const version = context.state.version();
        if (version === this.#sentVersion) {
            return;
        }
        this.#sentVersion = version;
        const prepared = new Map<number, ReturnType<typeof viewUpdate>>();
        for (const record of context.hosts.allConnected()) {
            // Differences start at the version that the host last reported, so the next update includes a lost one.
            const base = record.viewVersion;
            if (base === undefined) {
                continue;
            }
            const message = prepared.get(base) ?? viewUpdate(context, base);
            prepared.set(base, message);
            context.emit({ kind: "send", to: record.host.id, message });
        }
    }

    /** Sends a host the view changes and the configuration that it lacks according to its renewal. */
    sendMissing(context: LeaderContext, record: HostRecord): void {
        const base = record.viewVersion ?? 0;
        if (base !== context.state.version()) {
            context.emit({ kind: "send", to: record.host.id, message: viewUpdate(context, base) });
        }
        const change = context.state.configuration();
        const known = record.configurationNumber;
        if (change !== undefined && known !== undefined && known < change.number) {
            this.#sendConfiguration(context, record.host, RESEND_CONFIGURATION_MS);
        }
    }

    /** Sends a newly accepted configuration to every connected host. */
    pushConfiguration(context: LeaderContext): void {
        for (const record of context.hosts.allConnected()) {
            this.#sendConfiguration(context, record.host, 0);
        }
    }

    #sendConfiguration(context: LeaderContext, host: Host, intervalMs: number): void {
        const sentAt = this.#configurationSentAt.get(host.id);
        const change = context.state.configuration();
        if (change === undefined || (sentAt !== undefined && context.now - sentAt < intervalMs)) {
            return;
        }
        this.#configurationSentAt.set(host.id, context.now);
        // One message for all hosts, so that the sender can encode it once.
        if (this.#configuration?.change !== change) {
            this.#configuration = { kind: "configurationUpdate", change };
        }
        context.emit({ kind: "send", to: host.id, message: this.#configuration });
    }
}

function viewUpdate(context: LeaderContext, base: number) {
    const { databases, hosts } = context.state.changesSince(base);
    const version = context.state.version();
    return { kind: "viewUpdate", version, complete: base === 0, databases, hosts } as const;
}
