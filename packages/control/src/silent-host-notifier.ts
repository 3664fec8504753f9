import type { LeaderContext } from "./leader-context.js";

/**
 * A registered host that has not renewed its lease for this long manages no slots. Six renewals: a pause of a busy
 * process must not move the slots of its endpoints to another host.
 */
export const SILENT_AFTER_MS = 600;

/** Tells the connected hosts which registered hosts are silent, whenever that changes. */
export class SilentHostNotifier {
    /** What each connected host was told last, by id and incarnation. */
    #lastSent = new Map<string, string>();

    clear(): void {
        this.#lastSent.clear();
    }

    /** @param electedAt a leader knows a host that it never heard only from the log */
    tick(context: LeaderContext, electedAt: number): void {
        const ids = this.#silentHosts(context, electedAt);
        const text = ids.join("\n");
        const told = new Map<string, string>();
        for (const { host } of context.hosts.allConnected()) {
            const key = `${host.id} ${host.incarnation}`;
            // A host that this leader has told nothing may remember what a former leader said.
            if (this.#lastSent.get(key) !== text) {
                context.emit({ kind: "send", to: host.id, message: { kind: "silentHosts", ids } });
            }
            told.set(key, text);
        }
        this.#lastSent = told;
    }

    #silentHosts(context: LeaderContext, electedAt: number): readonly string[] {
        const heard = new Map(context.hosts.all().map(record => [record.host.id, record.heardAt]));
        return context.state.hosts()
            .filter(({ id }) => context.now - Math.max(heard.get(id) ?? electedAt, electedAt) > SILENT_AFTER_MS)
            .map(({ id }) => id);
    }
}
