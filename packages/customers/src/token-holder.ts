import type { TokenGrant, TokenNeed, TokenRequest } from "@medlarledge/protocol";
import type { OperationLimit } from "./customer.js";
import { type LimitAccuracy, ownCap } from "./limit-slack.js";
import { AUTONOMY_AFTER_MS, TOKEN_LIFE_MS } from "./token-timing.js";

/** Minimum interval between two requests; requests of all customers within it are sent together. */
export const REQUEST_INTERVAL_MS = 20;

/** Spent tokens are reported within this time, so that the leader can grant others in their place. */
const REPORT_AFTER_MS = 50;

/** An answer takes some ms; after this time the request is repeated. */
const ANSWER_TIMEOUT_MS = 200;

/** Maximum wait of an operation for a token. Later, its caller is served better by another host. */
const MAX_WAIT_MS = 250;

/** A customer that has reached its limit is asked about again after this time. */
const MIN_RETRY_MS = 50;

/** Tokens are held ahead for the operations of this time, but only of customers that use at least so many a second. */
const AHEAD_SECONDS = 0.2;
const MIN_AHEAD_PER_SECOND = 5;

/** Time constant of the measured use. */
const USE_MS = 1_000;

/** Time after which nothing of an unused customer is remembered. */
const UNUSED_MS = 30_000;

export const AdmissionCause = {
    /** The customer has reached its limit. */
    Limit: "limit",
    /** No answer of the leader, and this host's own part of the limit is used up. */
    NoAnswer: "noAnswer",
} as const;
export type AdmissionCause = (typeof AdmissionCause)[keyof typeof AdmissionCause];

/** Whether an operation may run. */
export type Admission =
    | { readonly kind: "admitted"; }
    | { readonly kind: "refused"; readonly cause: AdmissionCause; readonly retryAfterMs: number; };

const ADMITTED: Admission = { kind: "admitted" };

interface Waiter {
    readonly since: number;
    readonly settle: (admission: Admission) => void;
}

interface Stock {
    limit: OperationLimit;
    /** Unspent tokens of the leader. */
    tokens: number;
    /** Tokens of the leader that were spent since the last request. */
    spent: number;
    /** Unspent tokens of this host's own part of the limit. */
    own: number;
    /** Operations a second, averaged over about `USE_MS`. */
    use: number;
    usedAt: number;
    deniedUntil: number;
    readonly waiters: Waiter[];
}

/** This host's part in the limits while it is autonomous. */
export interface OwnPart {
    /** Number of entry hosts in use. */
    readonly hostCount: number;
    /** Position of this host in the order of all hosts for a customer, from 0. */
    readonly rank: (customer: string) => number;
}

/** One host's tokens: admits an operation for each token that it spends, and decides what to ask of the leader. */
export class TokenHolder {
    readonly #accuracy: LimitAccuracy;
    readonly #part: () => OwnPart;
    readonly #stocks = new Map<string, Stock>();
    #sequence = 0;
    #inFlight: { readonly sequence: number; readonly sentAt: number; } | undefined;
    #sentAt = Number.NEGATIVE_INFINITY;
    /** Time of the first request since the last answer. */
    #unansweredSince: number | undefined;
    #tokensUntil = Number.NEGATIVE_INFINITY;
    #spentSince: number | undefined;
    #isReportDue = false;
    /** Whether the present leader has answered yet. It fills buckets by the hosts that it has heard only. */
    #isKnownToLeader = true;
    #ownAt: number | undefined;

    constructor(accuracy: LimitAccuracy, part: () => OwnPart) {
        this.#accuracy = accuracy;
        this.#part = part;
    }

    /** True while the leader does not answer and this host uses its own part of each limit. */
    isAutonomous(now: number): boolean {
        return this.#unansweredSince !== undefined && now - this.#unansweredSince >= AUTONOMY_AFTER_MS;
    }

    /** Settles whether an operation of the customer may run. Returns true if that takes an answer of the leader. */
    admit(customer: string, limit: OperationLimit, now: number, settle: (admission: Admission) => void): boolean {
        this.tick(now);
        const stock = this.#stock(customer, limit, now);
        stock.use = decayed(stock, now) + 1_000 / USE_MS;
        stock.usedAt = now;
        if (this.#spend(stock, now)) {
            settle(ADMITTED);
        }
        else if (this.isAutonomous(now)) {
            settle(this.#refusedAlone(stock));
        }
        else if (now < stock.deniedUntil) {
            settle(refused(AdmissionCause.Limit, stock.deniedUntil - now));
        }
        else {
            stock.waiters.push({ since: now, settle });
            return true;
        }
        return false;
    }

    /** Takes back the token of an operation that was not run, unless it has been reported to the leader as spent. */
    giveBack(customer: string, now: number): void {
        const stock = this.#stocks.get(customer);
        if (stock !== undefined && stock.spent > 0 && now < this.#tokensUntil) {
            stock.spent -= 1;
            stock.tokens += 1;
        }
    }

    /** The leader has changed or the link to it is new: tokens of the former leader are dropped and reported so. */
    leaderChanged(): void {
        this.#dropTokens();
        this.#inFlight = undefined;
        this.#isReportDue = true;
        this.#isKnownToLeader = false;
    }

    /** Expires tokens and waits; to be called about every 50 ms. */
    tick(now: number): void {
        if (now >= this.#tokensUntil) {
            this.#dropTokens();
        }
        this.#fillOwnPart(now);
        for (const [customer, stock] of this.#stocks) {
            this.#settleWaiters(stock, now);
            if (stock.waiters.length === 0 && now - stock.usedAt > UNUSED_MS) {
                this.#stocks.delete(customer);
            }
        }
    }

    /** Returns the time of the next request; undefined while nothing is to be sent. */
    nextRequestAt(now: number): number | undefined {
        const isTimedOut = this.#inFlight === undefined || now - this.#inFlight.sentAt >= ANSWER_TIMEOUT_MS;
        const earliest = Math.max(
            this.#sentAt + REQUEST_INTERVAL_MS,
            isTimedOut ? now : (this.#inFlight?.sentAt ?? now) + ANSWER_TIMEOUT_MS,
        );
        if (this.#isReportDue || this.#unansweredSince !== undefined || this.#isWanting(now)) {
            return Math.max(now, earliest);
        }
        return this.#spentSince === undefined ? undefined : Math.max(earliest, this.#spentSince + REPORT_AFTER_MS);
    }

    /** Returns the request that is to be sent now, or undefined. A request that cannot be sent counts as unanswered. */
    takeRequest(now: number): TokenRequest | undefined {
        const at = this.nextRequestAt(now);
        if (at === undefined || at > now) {
            return undefined;
        }
        const needs: TokenNeed[] = [];
        for (const [customer, stock] of this.#stocks) {
            const need = { customer, held: stock.tokens, waiting: stock.waiters.length, ahead: ahead(stock, now) };
            stock.spent = 0;
            if (need.held > 0 || need.waiting > 0 || need.ahead > 0) {
                needs.push(need);
            }
        }
        const isAutonomous = this.isAutonomous(now);
        const isAnswerWanted = this.#unansweredSince !== undefined
            || !this.#isKnownToLeader
            || needs.some(({ waiting, ahead: wanted }) => waiting + wanted > 0);
        this.#sequence += 1;
        this.#sentAt = now;
        this.#spentSince = undefined;
        this.#isReportDue = false;
        this.#inFlight = isAnswerWanted ? { sequence: this.#sequence, sentAt: now } : undefined;
        this.#unansweredSince ??= isAnswerWanted ? now : undefined;
        return { kind: "tokenRequest", sequence: this.#sequence, isAutonomous, isAnswerWanted, needs };
    }

    granted({ sequence, grants }: TokenGrant, now: number): void {
        // An answer to an earlier request is void, since the leader counts what the latest request reported as held.
        if (this.#inFlight?.sequence !== sequence) {
            return;
        }
        this.#isReportDue ||= this.isAutonomous(now);
        this.#isKnownToLeader = true;
        this.#tokensUntil = this.#inFlight.sentAt + TOKEN_LIFE_MS;
        this.#inFlight = undefined;
        this.#unansweredSince = undefined;
        this.#ownAt = undefined;
        if (now >= this.#tokensUntil) {
            this.tick(now);
            return;
        }
        for (const { customer, tokens, retryAfterMs } of grants) {
            const stock = this.#stocks.get(customer);
            if (stock !== undefined) {
                stock.tokens += tokens;
                this.#settleWaiters(stock, now);
                this.#deny(stock, retryAfterMs, now);
            }
        }
    }

    #deny(stock: Stock, retryAfterMs: number | undefined, now: number): void {
        if (retryAfterMs !== undefined) {
            const waitMs = Math.max(MIN_RETRY_MS, retryAfterMs);
            stock.deniedUntil = now + waitMs;
            for (const { settle } of stock.waiters.splice(0)) {
                settle(refused(AdmissionCause.Limit, waitMs));
            }
        }
    }

    #isWanting(now: number): boolean {
        for (const stock of this.#stocks.values()) {
            const target = aheadTarget(stock, now);
            if (stock.waiters.length > 0 || (now >= stock.deniedUntil && stock.tokens < target / 2)) {
                return true;
            }
        }
        return false;
    }

    #settleWaiters(stock: Stock, now: number): void {
        while (stock.waiters.length > 0 && this.#spend(stock, now)) {
            stock.waiters.shift()?.settle(ADMITTED);
        }
        const isAlone = this.isAutonomous(now);
        while (stock.waiters[0] !== undefined && (isAlone || now - stock.waiters[0].since >= MAX_WAIT_MS)) {
            stock.waiters.shift()?.settle(this.#refusedAlone(stock));
        }
    }

    #refusedAlone({ limit }: Stock): Admission {
        const ownPerSecond = limit.perSecond / Math.max(1, this.#part().hostCount);
        return refused(AdmissionCause.NoAnswer, Math.min(AUTONOMY_AFTER_MS, Math.ceil(1_000 / ownPerSecond)));
    }

    #spend(stock: Stock, now: number): boolean {
        if (stock.tokens >= 1) {
            stock.tokens -= 1;
            stock.spent += 1;
            this.#spentSince ??= now;
            return true;
        }
        if (this.isAutonomous(now) && stock.own >= 1) {
            stock.own -= 1;
            return true;
        }
        return false;
    }

    /** Adds this host's own part of each limit for the time in which it is autonomous. */
    #fillOwnPart(now: number): void {
        if (!this.isAutonomous(now)) {
            this.#ownAt = undefined;
            return;
        }
        this.#dropTokens();
        const elapsedMs = now - (this.#ownAt ?? now);
        this.#ownAt = now;
        const { hostCount, rank } = this.#part();
        for (const [customer, stock] of this.#stocks) {
            const total = ownCap(stock.limit, this.#accuracy);
            const part = Math.floor(total / Math.max(1, hostCount));
            // Where the hosts are too many for one token each, only the first in the customer's order have one.
            const cap = part >= 1 ? part : rank(customer) < Math.floor(total) ? 1 : 0;
            const added = stock.limit.perSecond / Math.max(1, hostCount) * elapsedMs / 1_000;
            stock.own = Math.min(cap, stock.own + added);
        }
    }

    #dropTokens(): void {
        for (const stock of this.#stocks.values()) {
            stock.tokens = 0;
            stock.spent = 0;
        }
    }

    #stock(customer: string, limit: OperationLimit, now: number): Stock {
        let stock = this.#stocks.get(customer);
        if (stock === undefined) {
            stock = { limit, tokens: 0, spent: 0, own: 0, use: 0, usedAt: now, deniedUntil: now, waiters: [] };
            this.#stocks.set(customer, stock);
        }
        stock.limit = limit;
        return stock;
    }
}

function refused(cause: AdmissionCause, retryAfterMs: number): Admission {
    return { kind: "refused", cause, retryAfterMs: Math.ceil(retryAfterMs) };
}

function decayed({ use, usedAt }: Stock, now: number): number {
    return use * Math.exp((usedAt - now) / USE_MS);
}

function aheadTarget(stock: Stock, now: number): number {
    const use = decayed(stock, now);
    return use < MIN_AHEAD_PER_SECOND ? 0 : Math.ceil(use * AHEAD_SECONDS);
}

/** Tokens to ask for ahead of demand; none while the customer is beyond its limit. */
function ahead(stock: Stock, now: number): number {
    return now < stock.deniedUntil ? 0 : Math.max(0, aheadTarget(stock, now) - stock.tokens);
}
