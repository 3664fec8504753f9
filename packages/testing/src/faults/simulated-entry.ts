import { EndpointObserver, HostLease } from "@medlarledge/control";
import type { ConfigurationChange, EndpointProbeResult, Message, Suspicion } from "@medlarledge/protocol";
import type { DatabaseSource } from "@medlarledge/proxy";
import { connectionShare } from "@medlarledge/routing";
import { LeaderClient } from "@medlarledge/runtime";
import { ClassMatcher, DEFAULT_CLASS, mergeFolder } from "@medlarledge/settings";
import { LeaderTracker } from "../../../daemon/src/leader-tracker.js";
import { ViewTable } from "../../../daemon/src/view-table.js";
import type { SimulatedHost } from "./simulated-host.js";
import { CONTROL_HOSTS, DATABASE, type World } from "./world.js";

const CONFIRM_MS = 100;
const SLOTS = 9;

/** An entry host's dealings with control, decided by the modules of control and daemon. */
export class SimulatedEntry {
    readonly #lease = new HostLease({ leaseMs: 400, driftMarginMs: 20, renewMs: 100 });
    readonly #leaders: LeaderTracker;
    readonly #client: LeaderClient;
    readonly #observer = new EndpointObserver();
    readonly #listeners: (() => void)[] = [];
    readonly view = new ViewTable();
    #hadLease = false;
    #configuration: { readonly number: number; readonly classes: ClassMatcher; } | undefined;
    draining = false;

    constructor(readonly host: SimulatedHost, readonly world: World) {
        this.#leaders = new LeaderTracker(CONTROL_HOSTS, host.id.length);
        this.#client = new LeaderClient(host.self.incarnation, request => host.send(this.#leaders.target(), request));
        const saved = world.savedConfiguration(host.id);
        if (saved !== undefined) {
            this.#configure(saved);
        }
    }

    get source(): DatabaseSource {
        return {
            view: database => this.view.database(database),
            settings: () =>
                this.#configuration === undefined
                    ? undefined
                    : {
                        acknowledge: this.world.conditions.acknowledge,
                        roaming: "token",
                        replicaReads: true,
                        replicaWaitMs: 5,
                    },
            classFor: (database, user, application, comment) =>
                this.#configuration?.classes.classFor(database, user, application, comment) ?? DEFAULT_CLASS,
            mayAcknowledge: (database, term) =>
                this.world.conditions.withoutLease === true
                || this.#lease.mayAcknowledge(database, term, this.host.now(), this.host.wallClock()),
            connectionShare: endpoint => connectionShare(endpoint, this.view.hosts, this.host.id),
            slots: () => SLOTS,
            sameDataCentre: endpoint => endpoint.dataCentre === this.host.dataCentre,
            onChange: listener => this.#listeners.push(listener),
        };
    }

    request(name: string, body: unknown, timeoutMs: number): ReturnType<LeaderClient["request"]> {
        return this.#client.request(name, body, this.host.now() + timeoutMs, this.host.now());
    }

    tick(): void {
        const now = this.host.now();
        this.#lease.detectSuspension(now, this.host.wallClock());
        this.#client.tick(now);
        this.#checkLease();
        const renewal = this.#lease.nextRenewal(now);
        if (renewal !== undefined) {
            this.host.send(this.#leaders.target(), {
                kind: "renewLease",
                sequence: renewal.sequence,
                configurationNumber: this.#configuration?.number ?? 0,
                configurationSince: 0,
                viewVersion: this.view.version,
                draining: this.draining,
            });
            this.#leaders.sent();
        }
    }

    received(from: string, message: Message): void {
        switch (message.kind) {
            case "leaseGranted":
                this.#leaders.confirmed(from);
                this.#lease.granted(message, this.host.now());
                this.#checkLease();
                break;
            case "leaseRefused":
                this.#leaders.refused(from, message.leader);
                break;
            case "revoke":
                this.#lease.revoke(message.database, message.term);
                this.host.send(from, { kind: "revoked", database: message.database, term: message.term });
                this.#changed();
                break;
            case "viewUpdate":
                this.#lease.applyView(message.databases);
                if (this.view.apply(message)) {
                    this.#changed();
                }
                break;
            case "configurationUpdate":
                this.#configure(message.change);
                break;
            case "confirmEndpoint":
                this.#confirm(message.database, message.endpoint, message.term, from);
                break;
            case "silentHosts":
                this.view.silent(message.ids);
                this.#changed();
                break;
            case "leaderReply":
                this.#client.handleReply(message);
                break;
            default:
                break;
        }
    }

    /** Takes what the pools or a probe learned of an endpoint, and reports what control must know. */
    observed(endpoint: string, outcome: "ok" | "closed" | "timeout"): void {
        const suspicion = this.#observer.recordOutcome(`${DATABASE}/${endpoint}`, outcome, this.host.now());
        const current = this.view.database(DATABASE)?.terms.findLast(term => term.start !== undefined);
        if (suspicion !== undefined && current?.primary === endpoint) {
            this.#report(this.#leaders.target(), DATABASE, endpoint, current.term, suspicion);
        }
    }

    probe(endpoint: string): void {
        this.#read(endpoint, reading => this.observed(endpoint, reading === undefined ? "timeout" : "ok"));
    }

    #read(endpoint: string, answered: (reading: EndpointProbeResult | undefined) => void): void {
        this.host.ask(endpoint, CONFIRM_MS, server => server.reading(), answered);
    }

    #confirm(database: string, endpoint: string, term: number, from: string): void {
        this.#read(endpoint, reading => {
            const current = this.#observer.current(`${database}/${endpoint}`);
            const suspicion = reading !== undefined ? "reachable" : current === "closed" ? "closed" : "silent";
            this.#report(from, database, endpoint, term, suspicion);
        });
    }

    #report(to: string, database: string, endpoint: string, term: number, suspicion: Suspicion): void {
        this.host.send(to, { kind: "endpointObservation", database, endpoint, term, suspicion });
    }

    #checkLease(): void {
        const hasLease = this.host.now() < this.#lease.validUntil();
        if (hasLease !== this.#hadLease) {
            this.#hadLease = hasLease;
            if (hasLease) {
                this.world.reach("lease:first");
            }
            this.#changed();
        }
    }

    #configure(change: ConfigurationChange): void {
        const merged = mergeFolder(change.files);
        if (change.number <= (this.#configuration?.number ?? 0) || !merged.ok) {
            return;
        }
        const { number, digest } = change;
        this.#configuration = { number, classes: new ClassMatcher(merged.configuration) };
        this.world.save(this.host.id, change);
        this.world.record({ kind: "configurationInForce", at: this.host.now(), host: this.host.id, number, digest });
        this.world.reach("configuration:inForce");
        this.#changed();
    }

    #changed(): void {
        this.#listeners.forEach(listener => listener());
        if (this.#configuration !== undefined && this.host.alive) {
            this.host.proxy.prepare(DATABASE);
        }
    }
}
