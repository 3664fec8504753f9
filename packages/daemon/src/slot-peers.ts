import type { Host } from "@medlarledge/protocol";

/** Identity under which a keeper knows a host: a restarted process counts as another one. */
export function slotSender(host: Host): string {
    return `${host.id} ${host.incarnation}`;
}

/**
 * Knows whether the present hosts are all that may hold slots. A host that left in order holds none, since it finished
 * its statements first; one that fell silent, or came back as another process, may still have statements running.
 */
export class SlotPeers {
    #hosts: readonly Host[] = [];
    #complete = false;

    /** `registered` is the number of hosts including silent ones. */
    changed(former: readonly Host[], present: readonly Host[], registered: number): void {
        this.#hosts = present;
        this.#complete = registered === present.length && !present.some(host => replaces(host, former));
    }

    /** The identities of all hosts that may hold slots; undefined when there may be others. */
    complete(): readonly string[] | undefined {
        return this.#complete ? this.#hosts.map(slotSender) : undefined;
    }
}

function replaces(host: Host, former: readonly Host[]): boolean {
    return former.some(({ id, incarnation }) => id === host.id && incarnation !== host.incarnation);
}
