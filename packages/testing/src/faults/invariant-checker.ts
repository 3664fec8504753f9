import { checkConfiguration, checkDrain, checkLeaving } from "./control-checks.js";
import type { HistoryEvent } from "./history.js";
import {
    checkAnswers,
    checkOldPrimary,
    checkRefusals,
    checkRepeats,
    checkSessions,
    checkTransactions,
} from "./request-checks.js";

/** The invariants in the order of design.md, section 1.2. */
export const Invariant = {
    ReadYourWrites: "1 read-your-writes",
    OldPrimary: "2 no write acknowledged by an old primary",
    Transactions: "3 transactions are never mixed",
    Answers: "4 complete answer to the own request",
    Refusals: "5 a refusal that says not run is true",
    Repeats: "6 a request that may not be repeated runs at most once",
    Leaving: "7 a leaving endpoint gets no new work",
    Drain: "8 a graceful shutdown cuts no request",
    Configuration: "9 an accepted configuration is in force everywhere and never reverts",
} as const;
export type Invariant = (typeof Invariant)[keyof typeof Invariant];

export interface Violation {
    readonly invariant: Invariant;
    readonly detail: string;
}

export interface InvariantLimits {
    /** Time after which a leaving endpoint gets no new work. */
    readonly leavingMs: number;
    /** Time from acceptance, or from healing if that is later, to in force at every host. */
    readonly configurationMs: number;
    /** Acknowledged writes survive a failover: the database has `acknowledge: "replica"`. */
    readonly durable: boolean;
}

/** Bounds of design.md: section 1.2 line 7 and section 1.5. */
export const LIMITS: InvariantLimits = { leavingMs: 2_000, configurationMs: 6_000, durable: true };

/** Decides whether a recorded history keeps every invariant. */
export class InvariantChecker {
    readonly #limits: InvariantLimits;

    constructor(limits: InvariantLimits = LIMITS) {
        this.#limits = limits;
    }

    /** Returns every violation; the events must be in the order in which they happened. */
    check(history: readonly HistoryEvent[]): readonly Violation[] {
        const limits = this.#limits;
        return [
            ...named(Invariant.ReadYourWrites, checkSessions(history, limits.durable)),
            ...named(Invariant.OldPrimary, checkOldPrimary(history, limits.durable)),
            ...named(Invariant.Transactions, checkTransactions(history)),
            ...named(Invariant.Answers, checkAnswers(history)),
            ...named(Invariant.Refusals, checkRefusals(history)),
            ...named(Invariant.Repeats, checkRepeats(history)),
            ...named(Invariant.Leaving, checkLeaving(history, limits.leavingMs)),
            ...named(Invariant.Drain, checkDrain(history)),
            ...named(Invariant.Configuration, checkConfiguration(history, limits.configurationMs)),
        ];
    }
}

function named(invariant: Invariant, details: readonly string[]): readonly Violation[] {
    return details.map(detail => ({ invariant, detail }));
}
