import type { Gateway } from "@medlarledge/gateway";
import type { Host } from "@medlarledge/protocol";
import type { Log } from "@medlarledge/telemetry";
import type { HostLinks } from "./host-links.js";
import { countRemoteContacts, IsolationDetector } from "./isolation.js";

/** A control host that has not been heard for this long, two pings, is no contact. */
const MAX_CONTACT_AGE_MS = 450;

/** Longest wait for a link that shows whether another data centre can be reached; opening one takes some ms. */
const LINK_TIMEOUT_MS = 150;

export interface ContactMonitorOptions {
    readonly self: Host;
    readonly gateway: () => Gateway;
    readonly links: () => HostLinks;
    /** All entry hosts. */
    readonly entries: () => readonly Host[];
    readonly log: Log;
    readonly random: () => number;
}

/** Watches whether one entry host still reaches other data centres, and looks for contacts when it seems not to. */
export class ContactMonitor {
    readonly #options: ContactMonitorOptions;
    readonly #isolation = new IsolationDetector();
    /** Data centres of the control hosts that this host has been linked to. */
    readonly #controlDataCentres = new Map<string, string>();
    #linkAttemptedAt = Number.NEGATIVE_INFINITY;

    constructor(options: ContactMonitorOptions) {
        this.#options = options;
    }

    get isIsolated(): boolean {
        return this.#isolation.isIsolated;
    }

    /** All contacts are lost, for however short a time. */
    get isSuspected(): boolean {
        return this.#isolation.isSuspected;
    }

    /** Time since this host has taken itself for cut off, in ms; 0 while it does not. */
    isolatedMs(now: number): number {
        return this.#isolation.isolatedMs(now);
    }

    /** A control host was linked. */
    controlLinked({ id, dataCentre }: Host): void {
        this.#controlDataCentres.set(id, dataCentre);
    }

    /** Forgets control hosts that are none any more. */
    retainControlHosts(control: readonly string[]): void {
        for (const id of this.#controlDataCentres.keys()) {
            if (!control.includes(id)) {
                this.#controlDataCentres.delete(id);
            }
        }
    }

    /** Judges anew; to be called about every 50 ms. */
    update(now: number): void {
        const { self, log } = this.#options;
        const gateway = this.#options.gateway();
        const links = this.#options.links();
        const endpoints = gateway.remoteReachability();
        if (endpoints.unreachable > 0 && endpoints.reachable > 0) {
            gateway.probeRemoteEndpoints();
        }
        const remote = [...this.#controlDataCentres].filter(([, place]) => place !== self.dataCentre);
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

    /** Opens a link to some entry host of another data centre: if that works, this host is not cut off. */
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
