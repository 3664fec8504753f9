import type { Gateway } from "@medlarledge/gateway";
import type { Host, HostPlacement } from "@medlarledge/protocol";
import type { Log } from "@medlarledge/telemetry";
import type { HostLinks } from "./host-links.js";
import { countRemoteContacts, IsolationDetector } from "./isolation.js";

/** A host whose last message is older than this, two pings, does not count as a contact. */
const MAX_CONTACT_AGE_MS = 450;

/** Limit for opening a link that shows whether another data centre can be reached; it takes a few ms. */
const LINK_TIMEOUT_MS = 150;

export interface ContactMonitorOptions {
    readonly self: Host;
    readonly gateway: () => Gateway;
    readonly links: () => HostLinks;
    /** All entry hosts. */
    readonly entries: () => readonly HostPlacement[];
    readonly log: Log;
    readonly random: () => number;
}

/** Monitors whether an entry host reaches other data centres, and tries further contacts when it seems isolated. */
export class ContactMonitor {
    readonly #options: ContactMonitorOptions;
    readonly #isolation = new IsolationDetector();
    /** Data centres of the control hosts to which this host has had a link, by host id. */
    readonly #controlDataCentres = new Map<string, string>();
    #linkAttemptedAt = Number.NEGATIVE_INFINITY;

    constructor(options: ContactMonitorOptions) {
        this.#options = options;
    }

    get isIsolated(): boolean {
        return this.#isolation.isIsolated;
    }

    /** True from the moment that all contacts are lost. */
    get isSuspected(): boolean {
        return this.#isolation.isSuspected;
    }

    /** Time since the contacts of this isolated host were lost, in ms; 0 while it is not isolated. */
    isolatedMs(now: number): number {
        return this.#isolation.isolatedMs(now);
    }

    /** Records that a link to a control host was opened. */
    controlHostLinked({ id, dataCentre }: Host): void {
        this.#controlDataCentres.set(id, dataCentre);
    }

    /** Removes all control hosts but those in `control`. */
    retainControlHosts(control: readonly string[]): void {
        for (const id of this.#controlDataCentres.keys()) {
            if (!control.includes(id)) {
                this.#controlDataCentres.delete(id);
            }
        }
    }

    /** Updates the state; to be called about every 50 ms. */
    update(now: number): void {
        const { self, log } = this.#options;
        const gateway = this.#options.gateway();
        const links = this.#options.links();
        const endpoints = gateway.remoteReachability();
        if (endpoints.unreachable > 0 && endpoints.reachable > 0) {
            gateway.probeRemoteEndpoints();
        }
        const remote = [...this.#controlDataCentres].filter(([, controlDataCentre]) =>
            controlDataCentre !== self.dataCentre
        );
        const contacts = countRemoteContacts({
            endpoints,
            controlReached: remote.map(([id]) => links.hasRecentContact(id, MAX_CONTACT_AGE_MS, now)),
            entriesReached: links.countRecentEntryContacts(self.dataCentre, MAX_CONTACT_AGE_MS, now),
        });
        if (this.#isolation.update(contacts, now)) {
            const { isIsolated } = this.#isolation;
            log.event("isolationChanged", { isIsolated, ...contacts });
        }
        if (this.#isolation.isSuspected) {
            this.#openRemoteLink(now);
        }
    }

    /** Opens a link to a random entry host of another data centre; if that succeeds, this host is not isolated. */
    #openRemoteLink(now: number): void {
        if (now - this.#linkAttemptedAt < LINK_TIMEOUT_MS) {
            return;
        }
        this.#linkAttemptedAt = now;
        const { self, entries, random } = this.#options;
        const links = this.#options.links();
        const linked = new Set(links.connected().map(host => host.id));
        const others = entries().filter(host => host.dataCentre !== self.dataCentre && !linked.has(host.id));
        const contact = others[Math.floor(random() * others.length)];
        if (contact !== undefined) {
            void links.open(contact.id, LINK_TIMEOUT_MS);
        }
    }
}
