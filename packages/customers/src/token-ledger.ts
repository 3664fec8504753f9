import type { GrantedTokens, TokenGrant, TokenRequest } from "@medlarledge/protocol";
import type { OperationLimit } from "./customer.js";
import { ledgerBurst, ledgerCap, ledgerRate, type LimitAccuracy } from "./limit-slack.js";
import { LEDGER_MEMORY_MS } from "./token-timing.js";

/**
 * A longer time between two refills does not count in full: the process was suspended, and hosts may have admitted
 * operations without it.
 */
const MAX_REFILL_MS = 100;

/** A new account starts without tokens, so at first a lack of them does not mean that the customer is at its limit. */
const START_MS = 500;

/** Part of the tokens that may be handed out ahead of demand; the rest is left for operations that wait. */
const AHEAD_SHARE = 0.5;

interface Account {
    readonly since: number;
    limit: OperationLimit;
    /** Tokens that may be granted. */
    level: number;
    /** Unspent tokens at hosts. */
    outstanding: number;
}

interface HostAccount {
    incarnation: string;
    sequence: number;
    requestedAt: number;
    isAutonomous: boolean;
    readonly held: Map<string, number>;
}

/** Sender of a request. */
export interface TokenHost {
    readonly id: string;
    /** Differs after each start of the host. */
    readonly incarnation: string;
}

/** State of the fleet as the leader sees it. */
export interface LedgerView {
    /** The limits of the configuration in force, by customer. */
    readonly limits: ReadonlyMap<string, OperationLimit>;
    /** Number of entry hosts in use, linked or not. */
    readonly hostCount: number;
    /** Whether the leader has heard of a host within `LEADER_CONTACT_MS`. */
    readonly hasContact: (host: string) => boolean;
}

/**
 * The leader's ledger of tokens: one token for each operation that hosts may admit. A token bucket for each customer
 * bounds what is granted in a window; the cap bounds what was granted before and is unspent.
 */
export class TokenLedger {
    readonly #accuracy: LimitAccuracy;
    readonly #accounts = new Map<string, Account>();
    readonly #hosts = new Map<string, HostAccount>();
    #refilledAt: number;

    /** Starts without tokens, since the former ledger may have granted all of them just before. */
    constructor(accuracy: LimitAccuracy, now: number) {
        this.#accuracy = accuracy;
        this.#refilledAt = now;
    }

    /** Refills the buckets; to be called at least every `MAX_REFILL_MS`, and only while the leader may grant. */
    refill(view: LedgerView, now: number): void {
        this.#forgetHosts(now);
        const elapsedMs = Math.min(Math.max(0, now - this.#refilledAt), MAX_REFILL_MS);
        this.#refilledAt = now;
        const share = this.#share(view);
        for (const customer of this.#accounts.keys()) {
            if (!view.limits.has(customer)) {
                this.#accounts.delete(customer);
            }
        }
        for (const [customer, limit] of view.limits) {
            const account = this.#accounts.get(customer) ?? { since: now, limit, level: 0, outstanding: 0 };
            this.#accounts.set(customer, account);
            account.limit = limit;
            const added = ledgerRate(limit, this.#accuracy) * share * elapsedMs / 1_000;
            account.level = Math.min(ledgerBurst(limit, this.#accuracy), account.level + added);
        }
    }

    /** Handles a request. Returns the answer; undefined when none is wanted or the request is outdated. */
    requested(from: TokenHost, request: TokenRequest, now: number): TokenGrant | undefined {
        const host = this.#host(from);
        if (request.sequence <= host.sequence) {
            return undefined;
        }
        host.sequence = request.sequence;
        host.requestedAt = now;
        host.isAutonomous = request.isAutonomous;
        this.#releaseHeld(host);
        for (const { customer, held } of request.needs) {
            this.#hold(host, customer, held);
        }
        if (!request.isAnswerWanted) {
            return undefined;
        }
        const grants = request.needs.map(({ customer, waiting, ahead }) =>
            this.#grant(host, customer, waiting, ahead, now)
        );
        return { kind: "tokenGrant", sequence: request.sequence, grants };
    }

    #grant(host: HostAccount, customer: string, waiting: number, ahead: number, now: number): GrantedTokens {
        const account = this.#accounts.get(customer);
        if (account === undefined) {
            return { customer, tokens: 0, retryAfterMs: undefined };
        }
        const cap = ledgerCap(account.limit, this.#accuracy);
        const room = Math.min(account.level, cap - account.outstanding);
        const urgent = Math.max(0, Math.min(waiting, Math.floor(room)));
        const spareLevel = account.level * AHEAD_SHARE - urgent;
        const spareRoom = cap * AHEAD_SHARE - account.outstanding - urgent;
        const early = Math.max(0, Math.min(ahead, Math.floor(Math.min(spareLevel, spareRoom))));
        const tokens = urgent + early;
        account.level -= tokens;
        this.#hold(host, customer, tokens);
        const isExhausted = urgent < waiting && account.level < 1 && now - account.since >= START_MS;
        const retryAfterMs = isExhausted
            ? Math.ceil((1 - account.level) / ledgerRate(account.limit, this.#accuracy) * 1_000)
            : undefined;
        return { customer, tokens, retryAfterMs };
    }

    /** Part of the limit that the hosts use that the ledger hears; each of the others may use its own part itself. */
    #share({ hostCount, hasContact }: LedgerView): number {
        let heard = 0;
        for (const [id, { isAutonomous }] of this.#hosts) {
            heard += !isAutonomous && hasContact(id) ? 1 : 0;
        }
        return heard / Math.max(1, heard, hostCount);
    }

    #host({ id, incarnation }: TokenHost): HostAccount {
        const known = this.#hosts.get(id);
        if (known?.incarnation === incarnation) {
            return known;
        }
        // A host that was restarted holds nothing.
        if (known !== undefined) {
            this.#releaseHeld(known);
        }
        const host = { incarnation, sequence: 0, requestedAt: 0, isAutonomous: false, held: new Map<string, number>() };
        this.#hosts.set(id, host);
        return host;
    }

    /** The tokens of a silent host have expired there. */
    #forgetHosts(now: number): void {
        for (const host of this.#hosts.values()) {
            if (host.held.size > 0 && now - host.requestedAt > LEDGER_MEMORY_MS) {
                this.#releaseHeld(host);
            }
        }
    }

    #hold(host: HostAccount, customer: string, tokens: number): void {
        const account = this.#accounts.get(customer);
        if (account !== undefined && tokens > 0) {
            account.outstanding += tokens;
            host.held.set(customer, (host.held.get(customer) ?? 0) + tokens);
        }
    }

    #releaseHeld(host: HostAccount): void {
        for (const [customer, tokens] of host.held) {
            const account = this.#accounts.get(customer);
            if (account !== undefined) {
                account.outstanding = Math.max(0, account.outstanding - tokens);
            }
        }
        host.held.clear();
    }
}
