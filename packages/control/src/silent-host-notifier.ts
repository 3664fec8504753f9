import type { LeaderContext } from "./leader-context.js";

/**
 * A registered host that has not renewed its lease for this long loses the management of its slots. The time covers six
 * renewals, so that a pause of a busy process does not move the slots of its endpoints to another host.
 */
export const SILENT_AFTER_MS = 600;

/** Sends the connected hosts the list of silent registered hosts whenever it changes. */
export class SilentHostNotifier {
    /** The list last sent to each connected host, by id and incarnation. */
    #lastSent = new Map<string, string>();

    clear(): void {
        this.#lastSent.clear();
    }

    /** @param electedAt counts as the last contact of hosts that this leader knows only from the log */
    tick(context: LeaderContext, electedAt: number): void {
        const ids = this.#silentHosts(context, electedAt);
        const text = ids.join("\n");
        const lastSent = new Map<string, string>();
        for (const { host } of context.hosts.allConnected()) {
            const key = `${host.id} ${host.incarnation}`;
            // A host without a list from this leader may still use the list of a former leader.
            if (this.#lastSent.get(key) !== text) {
                context.emit({ kind: "send", to: host.id, message: { kind: "silentHosts", ids } });
            }
            lastSent.set(key, text);
        }
        this.#lastSent = lastSent;
    }

    #silentHosts(context: LeaderContext, electedAt: number): readonly string[] {
        const lastContacts = new Map(context.hosts.all().map(record => [record.host.id, record.lastContactAt]));
        return context.state.hosts()
            .filter(({ id }) => context.now - Math.max(lastContacts.get(id) ?? electedAt, electedAt) > SILENT_AFTER_MS)
            .map(({ id }) => id);
    }
}
