import type { TokenGrant, TokenRequest } from "@medlarledge/protocol";
import { expect, test } from "vitest";
import {
    type Admission,
    LEADER_CONTACT_MS,
    type LimitAccuracy,
    operationBound,
    type OperationLimit,
    TokenHolder,
    TokenLedger,
} from "../src/index.js";
import { Random } from "./random.js";

const ACCURACY: LimitAccuracy = { windowMs: 5_000, overrunShare: 0.1, slackOperations: 20 };
const STEP_MS = 10;
const CUSTOMER = "c";

/** A new ledger starts without tokens; callers come some seconds after the hosts. */
const WARM_UP_MS = 2_000;

/** A leader without recent contact to a quorum grants nothing after this time, and a successor is elected later. */
const STEP_DOWN_MS = 300;

interface Schedule {
    readonly seed: number;
    readonly hosts: number;
    readonly limit: OperationLimit;
    /** Operations a second, of all hosts together. */
    readonly demand: number;
    readonly durationMs: number;
    readonly isCalm: boolean;
    readonly accuracy?: LimitAccuracy;
}

interface Tally {
    readonly admittedAt: number[];
    asked: number;
    refused: number;
    loweredAt: number | undefined;
}

interface ModelHost {
    readonly id: string;
    incarnation: number;
    holder: TokenHolder;
    frozenUntil: number;
    cutUntil: number;
    cutFromLeaderOnly: boolean;
    leaderSeen: number;
}

interface Leader {
    readonly term: number;
    /** A new leader ignores requests until it has applied what was committed before. */
    readonly opensAt: number;
    ledger: TokenLedger;
    isFrozen: boolean;
    deposedAt: number | undefined;
    readonly heardAt: Map<string, number>;
}

/** Plays one schedule of a fleet with one customer and returns what was admitted. */
function play(schedule: Schedule): Tally {
    const random = new Random(schedule.seed);
    const accuracy = schedule.accuracy ?? ACCURACY;
    const tally: Tally = { admittedAt: [], asked: 0, refused: 0, loweredAt: undefined };
    const messages: { readonly at: number; readonly deliver: () => void; }[] = [];
    let limit = schedule.limit;
    let now = 0;
    let isPaused = false;
    const part = (index: number) => () => ({ hostCount: schedule.hosts, rank: () => index });
    const hosts: ModelHost[] = Array.from({ length: schedule.hosts }, (_, index) => ({
        id: `h${index}`,
        incarnation: 0,
        holder: new TokenHolder(accuracy, part(index)),
        frozenUntil: 0,
        cutUntil: 0,
        cutFromLeaderOnly: false,
        leaderSeen: 1,
    }));
    hosts.forEach(({ holder }) => holder.leaderChanged());
    const newLeader = (term: number): Leader => ({
        term,
        opensAt: now + 500,
        ledger: new TokenLedger(accuracy, now),
        isFrozen: false,
        deposedAt: undefined,
        heardAt: new Map(),
    });
    let leaders = [newLeader(1)];
    let nextLeaderAt = Number.POSITIVE_INFINITY;
    const isCut = (host: ModelHost): boolean => now < host.cutUntil;
    const later = (deliver: () => void): void => void messages.push({ at: now + 1 + random.below(8), deliver });
    const settle = (admission: Admission): void => {
        if (admission.kind === "admitted") {
            tally.admittedAt.push(now);
        }
        else {
            tally.refused += 1;
        }
    };
    const view = (leader: Leader) => ({
        limits: new Map([[CUSTOMER, limit]]),
        hostCount: schedule.hosts,
        hasContact: (id: string) => now - (leader.heardAt.get(id) ?? -Infinity) <= LEADER_CONTACT_MS,
    });
    const answer = (host: ModelHost, incarnation: number, grant: TokenGrant): void =>
        later(() => {
            if (host.incarnation === incarnation && !isCut(host)) {
                host.holder.granted(grant, now);
            }
        });
    const request = (host: ModelHost, message: TokenRequest): void => {
        const leader = leaders.find(({ term }) => term === host.leaderSeen);
        const { incarnation } = host;
        if (leader === undefined || (isCut(host) && !host.cutFromLeaderOnly)) {
            return;
        }
        later(() => {
            const mayGrant = leader.deposedAt === undefined || now < leader.deposedAt + STEP_DOWN_MS;
            if (!leader.isFrozen && now >= leader.opensAt && mayGrant && host.incarnation === incarnation) {
                leader.heardAt.set(host.id, now);
                leader.ledger.refill(view(leader), now);
                const grant = leader.ledger.requested({ id: host.id, incarnation: `${incarnation}` }, message, now);
                if (grant !== undefined) {
                    answer(host, incarnation, grant);
                }
            }
        });
    };
    const disturb = (): void => {
        const host = hosts[random.below(hosts.length)];
        const isWhole = random.below(4) === 0;
        const endAt = now + 500 + random.below(7_500);
        switch (random.below(5)) {
            case 0:
                for (const cut of isWhole ? hosts.slice(0, Math.ceil(hosts.length / 3)) : [host]) {
                    if (cut !== undefined) {
                        cut.cutUntil = endAt;
                        cut.cutFromLeaderOnly = random.below(3) === 0;
                    }
                }
                break;
            case 1:
                if (host !== undefined) {
                    host.frozenUntil = endAt;
                }
                break;
            case 2:
                if (host !== undefined) {
                    host.incarnation += 1;
                    host.holder = new TokenHolder(accuracy, part(hosts.indexOf(host)));
                    host.holder.leaderChanged();
                }
                break;
            case 3:
                // The leader is cut off, frozen or killed; another one is elected.
                if (nextLeaderAt === Number.POSITIVE_INFINITY) {
                    const [leader] = leaders.slice(-1);
                    if (leader !== undefined) {
                        leader.deposedAt = now;
                        leader.isFrozen = random.below(2) === 0;
                        nextLeaderAt = now + STEP_DOWN_MS + random.below(8_000);
                    }
                }
                break;
            default:
                if (tally.loweredAt === undefined && random.below(4) === 0) {
                    limit = { perSecond: limit.perSecond / 4, burst: limit.burst / 4 };
                    tally.loweredAt = now;
                }
        }
    };

    for (; now < schedule.durationMs; now += STEP_MS) {
        if (!schedule.isCalm && random.below(40) === 0) {
            disturb();
        }
        if (now >= nextLeaderAt) {
            leaders = [...leaders.slice(-1), newLeader((leaders.at(-1)?.term ?? 0) + 1)];
            nextLeaderAt = Number.POSITIVE_INFINITY;
        }
        const due = messages.filter(({ at }) => at <= now).sort((left, right) => left.at - right.at);
        messages.splice(0, messages.length, ...messages.filter(({ at }) => at > now));
        for (const { deliver } of due) {
            deliver();
        }
        for (const leader of leaders) {
            if (leader.deposedAt === undefined && now % 50 === 0) {
                leader.ledger.refill(view(leader), now);
            }
        }
        // Callers that pause let unspent tokens accumulate, and then use them all at once.
        isPaused = !schedule.isCalm && (now % 1_000 === 0 ? random.below(2) === 0 : isPaused);
        const count = isPaused || (schedule.isCalm && now < WARM_UP_MS) ? 0 : schedule.demand * STEP_MS / 1_000;
        const arrivals = Math.floor(count) + (random.unit() < count % 1 ? 1 : 0);
        for (let arrival = 0; arrival < arrivals; arrival += 1) {
            const host = hosts[random.below(hosts.length)];
            if (host !== undefined && now >= host.frozenUntil) {
                tally.asked += 1;
                host.holder.admit(CUSTOMER, limit, now, settle);
            }
        }
        for (const host of hosts) {
            if (now < host.frozenUntil) {
                continue;
            }
            const [newest] = leaders.slice(-1);
            if (!isCut(host) && newest !== undefined) {
                // The link is pinged, so the leader hears of idle hosts too.
                newest.heardAt.set(host.id, now);
                if (newest.term !== host.leaderSeen && random.below(10) === 0) {
                    host.leaderSeen = newest.term;
                    host.holder.leaderChanged();
                }
            }
            if (now % 50 === 0) {
                host.holder.tick(now);
            }
            const message = host.holder.takeRequest(now);
            if (message !== undefined) {
                request(host, message);
            }
        }
    }
    return tally;
}

/** The greatest number of operations in any window. */
function fullestWindow(admittedAt: readonly number[], windowMs: number): number {
    let start = 0;
    let most = 0;
    for (let end = 0; end < admittedAt.length; end += 1) {
        while ((admittedAt[end] ?? 0) - (admittedAt[start] ?? 0) >= windowMs) {
            start += 1;
        }
        most = Math.max(most, end - start + 1);
    }
    return most;
}

function overrun(schedule: Schedule): number {
    const { admittedAt, loweredAt } = play(schedule);
    const whole = fullestWindow(admittedAt, ACCURACY.windowMs) - operationBound(schedule.limit, ACCURACY);
    if (loweredAt === undefined) {
        return whole;
    }
    const lowered = { perSecond: schedule.limit.perSecond / 4, burst: schedule.limit.burst / 4 };
    const after = admittedAt.filter(at => at >= loweredAt + ACCURACY.windowMs);
    return Math.max(whole, fullestWindow(after, ACCURACY.windowMs) - operationBound(lowered, ACCURACY));
}

const SCHEDULES = 1_000;

function troubled(seed: number, accuracy?: LimitAccuracy): Schedule {
    const random = new Random(seed);
    const perSecond = [3, 12, 60, 150][random.below(4)] ?? 3;
    const factor = [1, 7.5, 12][random.below(3)] ?? 1;
    return {
        seed,
        hosts: 3 + random.below(10),
        limit: { perSecond, burst: perSecond },
        demand: perSecond / 1.6 * factor,
        durationMs: 12_000,
        isCalm: false,
        ...(accuracy === undefined ? {} : { accuracy }),
    };
}

// Guards against a customer that exceeds its limit through hosts that are cut off, frozen, restarted or between leaders.
test("no window exceeds the bound under cuts, freezes, restarts, changes of leader and lowered limits", () => {
    const broken: string[] = [];
    for (let seed = 1; seed <= SCHEDULES; seed += 1) {
        const excess = overrun(troubled(seed));
        if (excess > 0) {
            broken.push(`seed ${seed}: ${excess} operations above the bound`);
        }
    }
    expect(broken).toEqual([]);
});

// Guards against a checker that finds nothing: hosts may hold any number of tokens here.
test("the checker finds a fleet whose unspent tokens have no cap", () => {
    const withoutCap = { ...ACCURACY, slackOperations: 100_000 };
    const excesses = Array.from({ length: 400 }, (_, index) => overrun(troubled(index + 1, withoutCap)));
    expect(Math.max(...excesses)).toBeGreaterThan(0);
});

// Guards against refusals of a customer within its limit while nothing is wrong, for large and small customers.
test.each([[2, 63], [3.2, 63], [30, 63], [340, 63], [60, 9]])(
    "a calm fleet grants nearly all of the usual demand under limit %s at %s hosts",
    (perSecond, hosts) => {
        const limit = { perSecond, burst: perSecond };
        const demand = perSecond / 1.6;
        const { asked, admittedAt } = play({ seed: 7, hosts, limit, demand, durationMs: 60_000, isCalm: true });
        expect(admittedAt.length / asked).toBeGreaterThanOrEqual(0.99);
    },
);

// Guards against a customer far beyond its limit that gets less than its limit, since hosts waste tokens.
test.each([7.5, 12])("a customer at %s times its usual rate gets nearly all of its limit", factor => {
    const limit = { perSecond: 60, burst: 60 };
    const demand = limit.perSecond / 1.6 * factor;
    const durationMs = 20_000;
    const { admittedAt } = play({ seed: 8, hosts: 63, limit, demand, durationMs, isCalm: true });
    expect(admittedAt.length).toBeGreaterThanOrEqual(limit.perSecond * durationMs / 1_000 * 0.95);
});
