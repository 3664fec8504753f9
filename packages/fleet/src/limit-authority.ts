import { LEADER_CONTACT_MS, type LimitAccuracy, type OperationLimit, TokenLedger } from "@medlarledge/customers";
import type { Routing } from "@medlarledge/gateway";
import type { Host, TokenGrant, TokenRequest } from "@medlarledge/protocol";
import type { Clock } from "@medlarledge/runtime";
import type { Log, Meter } from "@medlarledge/telemetry";
import type { GroupMember } from "./group-member.js";

export interface LimitAuthorityOptions {
    readonly accuracy: LimitAccuracy;
    readonly member: GroupMember;
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    /** The routing of the newest known configuration; undefined before the first. */
    readonly routing: () => Routing | undefined;
    /** Returns true when the last message of the host is at most `withinMs` old. */
    readonly hasContact: (host: string, withinMs: number, now: number) => boolean;
    /** Number of entry hosts that this host knows. */
    readonly hostCount: () => number;
    readonly send: (to: string, grant: TokenGrant) => void;
}

/** Grants tokens while this host leads the control group. */
export class LimitAuthority {
    readonly #options: LimitAuthorityOptions;
    #ledger: TokenLedger | undefined;
    #term = 0;
    /** Number of entry hosts in the latest list of another leader. */
    #listedHosts = 0;
    #limits: { readonly number: number; readonly limits: ReadonlyMap<string, OperationLimit>; } | undefined;

    constructor(options: LimitAuthorityOptions) {
        this.#options = options;
    }

    /** Starts or ends the ledger when the leader or its term has changed. */
    leadershipChanged(): void {
        const { member, accuracy, clock, log } = this.#options;
        if (!member.isLeader) {
            this.#ledger = undefined;
        }
        else if (this.#ledger === undefined || this.#term !== member.term) {
            this.#term = member.term;
            this.#ledger = new TokenLedger(accuracy, clock.now());
            log.event("limitLedgerStarted", { term: member.term });
        }
    }

    /** Records the list of another leader, since a new leader is linked to some of the hosts only at first. */
    hostsListed(count: number): void {
        this.#listedHosts = count;
    }

    requested(from: Host, request: TokenRequest): void {
        if (this.#ledger === undefined || !this.#refill(this.#ledger)) {
            return;
        }
        const grant = this.#ledger.requested(from, request, this.#options.clock.now());
        if (grant !== undefined) {
            const tokens = grant.grants.reduce((sum, granted) => sum + granted.tokens, 0);
            this.#options.meter.count("limit.granted", tokens);
            this.#options.send(from.id, grant);
        }
    }

    /** To be called about every 50 ms. */
    tick(): void {
        if (this.#ledger !== undefined) {
            this.#refill(this.#ledger);
        }
    }

    /** Returns false if this host has had no recent contact with a quorum, so that another leader may grant tokens. */
    #refill(ledger: TokenLedger): boolean {
        const { member, clock, hasContact, hostCount } = this.#options;
        if (!member.hasQuorum) {
            return false;
        }
        const now = clock.now();
        ledger.refill({
            limits: this.#currentLimits(),
            hostCount: Math.max(hostCount(), this.#listedHosts),
            hasContact: host => hasContact(host, LEADER_CONTACT_MS, now),
        }, now);
        return true;
    }

    #currentLimits(): ReadonlyMap<string, OperationLimit> {
        const routing = this.#options.routing();
        if (routing === undefined) {
            return new Map();
        }
        if (this.#limits?.number !== routing.number) {
            const limits = new Map<string, OperationLimit>();
            for (const { name, limit } of routing.customers?.customers() ?? []) {
                if (limit !== undefined) {
                    limits.set(name, limit);
                }
            }
            this.#limits = { number: routing.number, limits };
        }
        return this.#limits.limits;
    }
}
