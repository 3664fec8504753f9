import type { ServiceCount } from "./service-count.js";
import { HOUR_MS, MINUTE_MS, type ServiceHistory } from "./service-history.js";

/** Objectives of one database, as set in the configuration folder. */
export interface Objectives {
    /** Share of worth to be carried within the deadline. */
    readonly withinDeadline: number;
    readonly freshReads: number;
    readonly failoverGapMs: number;
}

const DAY_MS = 24 * HOUR_MS;

/** Windows that burn is reported over. */
export const BURN_WINDOWS = {
    "5 min": 5 * MINUTE_MS,
    "1 h": HOUR_MS,
    "6 h": 6 * HOUR_MS,
    "3 d": 3 * DAY_MS,
    "30 d": 30 * DAY_MS,
} as const;
export type BurnWindow = keyof typeof BURN_WINDOWS;

const BUDGET_WINDOW = "30 d";

/**
 * Pairs of a long and a short window with the burn that raises an alert. 14.4 spends 2 % of a 30-day budget in
 * an hour, 6 spends 5 % in six hours, 1 spends 10 % in three days; the short window ends the alert soon after
 * the cause is gone.
 */
const ALERT_RULES = [
    { alert: "fast", long: "1 h", short: "5 min", burn: 14.4 },
    { alert: "fast", long: "6 h", short: "5 min", burn: 6 },
    { alert: "slow", long: "3 d", short: "6 h", burn: 1 },
] as const satisfies readonly { alert: "fast" | "slow"; long: BurnWindow; short: BurnWindow; burn: number; }[];

/** One objective's state in one window. A burn of 1 spends exactly the budget. */
export interface BurnValue {
    readonly window: BurnWindow;
    readonly share: number | undefined;
    readonly burn: number;
}

export interface ObjectiveBurn {
    readonly name: "withinDeadline" | "freshReads";
    readonly target: number;
    readonly windows: readonly BurnValue[];
    /** Share of the 30-day budget that is left; negative when overspent. */
    readonly budgetLeft: number;
    readonly alert: "fast" | "slow" | undefined;
}

export interface DatabaseBurn {
    readonly database: string;
    readonly objectives: readonly ObjectiveBurn[];
    readonly failover: {
        readonly targetMs: number;
        readonly count: number;
        readonly slow: number;
        readonly longestMs: number;
    };
    readonly totals: Readonly<Record<BurnWindow, ServiceCount>>;
    readonly series: readonly { readonly start: number; readonly count: ServiceCount; }[];
}

export interface BurnReport {
    /** ISO 8601 time at which the report was made. */
    readonly madeAt: string;
    readonly databases: readonly DatabaseBurn[];
}

const WINDOW_NAMES = Object.keys(BURN_WINDOWS) as readonly BurnWindow[];

/** Computes the report from the counts kept. */
export function burnReport(
    history: ServiceHistory,
    objectives: (database: string) => Objectives,
    wallClock: number,
): BurnReport {
    const databases = history.databases().map(name => databaseBurn(name, history, objectives(name), wallClock));
    return { madeAt: new Date(wallClock).toISOString(), databases };
}

function databaseBurn(
    database: string,
    history: ServiceHistory,
    objectives: Objectives,
    wallClock: number,
): DatabaseBurn {
    const totals = Object.fromEntries(
        WINDOW_NAMES.map(name => [name, history.sum(database, BURN_WINDOWS[name], wallClock)]),
    ) as Record<BurnWindow, ServiceCount>;
    const month = totals[BUDGET_WINDOW];
    return {
        database,
        objectives: [
            objectiveBurn("withinDeadline", objectives.withinDeadline, totals, worthShare),
            objectiveBurn("freshReads", objectives.freshReads, totals, freshShare),
        ],
        failover: {
            targetMs: objectives.failoverGapMs,
            count: month.failovers,
            slow: month.slowFailovers,
            longestMs: month.longestFailoverMs,
        },
        totals,
        series: history.series(database, BURN_WINDOWS["6 h"], wallClock),
    };
}

function objectiveBurn(
    name: ObjectiveBurn["name"],
    target: number,
    totals: Readonly<Record<BurnWindow, ServiceCount>>,
    share: (count: ServiceCount) => number | undefined,
): ObjectiveBurn {
    const windows = WINDOW_NAMES.map(window => {
        const value = share(totals[window]);
        return { window, share: value, burn: value === undefined ? 0 : (1 - value) / (1 - target) };
    });
    const burnOf = (window: BurnWindow): number => windows.find(value => value.window === window)?.burn ?? 0;
    const rule = ALERT_RULES.find(({ long, short, burn }) => burnOf(long) >= burn && burnOf(short) >= burn);
    return { name, target, windows, budgetLeft: 1 - burnOf(BUDGET_WINDOW), alert: rule?.alert };
}

/** Share of worth carried in time; undefined without requests. */
export function worthShare(count: ServiceCount): number | undefined {
    return count.worth === 0 ? undefined : count.worthInTime / count.worth;
}

/** Share of reads that were proved fresh; undefined without reads. */
export function freshShare(count: ServiceCount): number | undefined {
    return count.reads === 0 ? undefined : count.freshReads / count.reads;
}

/** Share of reads that replicas served; undefined without reads. */
export function replicaShare(count: ServiceCount): number | undefined {
    return count.reads === 0 ? undefined : count.replicaReads / count.reads;
}
