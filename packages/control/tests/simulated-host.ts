import type { ControlMessage, DatabaseView, Host } from "@medlarledge/protocol";
import { EndpointObserver, HostLease, type LeaderEvent } from "../src/index.js";

export type HostMessage = Extract<LeaderEvent, { kind: "message"; }>["message"];
export type Probe = (host: SimulatedHost, database: string, endpoint: string) => "ok" | "closed" | "timeout";

/** A clock that runs at its own rate. */
export interface Clock {
    readonly rate: number;
    readonly offset: number;
}

/** One entry host: its lease, its observer and its views; no callers. */
export class SimulatedHost {
    lease: HostLease;
    observer = new EndpointObserver();
    views = new Map<string, DatabaseView>();
    version = 0;
    configuration = 0;
    stalledUntil = 0;
    draining = false;

    constructor(public host: Host, readonly clock: Clock, readonly marginMs: number) {
        this.lease = new HostLease({ leaseMs: 400, driftMarginMs: marginMs, renewMs: 100 });
    }

    restart(incarnation: string): void {
        this.host = { ...this.host, incarnation };
        this.lease = new HostLease({ leaseMs: 400, driftMarginMs: this.marginMs, renewMs: 100 });
        this.views = new Map();
        this.version = 0;
    }

    /** Handles a message of the leader and returns the answers. */
    deliver(message: ControlMessage, now: number, probe: Probe): readonly HostMessage[] {
        if (message.kind === "leaseGranted") {
            this.lease.granted(message, now);
        }
        else if (message.kind === "revoke") {
            this.lease.revoke(message.database, message.term);
            return [{ ...message, kind: "revoked" }];
        }
        else if (message.kind === "viewUpdate" && (message.complete || message.version >= this.version)) {
            this.version = message.version;
            this.lease.applyView(message.databases);
            message.databases.forEach((view) => this.views.set(view.database, view));
        }
        else if (message.kind === "configurationUpdate") {
            this.configuration = Math.max(this.configuration, message.change.number);
        }
        else if (message.kind === "confirmEndpoint") {
            const key = JSON.stringify([message.database, message.endpoint]);
            this.observer.recordOutcome(key, probe(this, message.database, message.endpoint), now);
            const suspicion = this.observer.current(key);
            return [{ ...message, kind: "endpointObservation", suspicion }];
        }
        return [];
    }

    /** Returns the renewal and the observations that are due. */
    tick(now: number, wallClock: number, probe: Probe): readonly HostMessage[] {
        const renewal = this.lease.nextRenewal(now);
        if (renewal === undefined) {
            return [];
        }
        const { version: viewVersion, configuration: configurationNumber, draining } = this;
        const known = { viewVersion, configurationNumber, configurationSince: wallClock, draining };
        const messages: HostMessage[] = [{ kind: "renewLease", ...renewal, ...known }];
        for (const [database, { terms }] of this.views) {
            const current = terms.at(-1);
            if (current?.start === undefined) {
                continue;
            }
            const { primary: endpoint, term } = current;
            const outcome = probe(this, database, endpoint);
            const suspicion = this.observer.recordOutcome(JSON.stringify([database, endpoint]), outcome, now);
            if (suspicion !== undefined) {
                messages.push({ kind: "endpointObservation", database, endpoint, term, suspicion });
            }
        }
        return messages;
    }
}
