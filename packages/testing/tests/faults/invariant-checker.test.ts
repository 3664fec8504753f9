import { describe, expect, it } from "vitest";
import type { HistoryEvent, RequestOutcome } from "../../src/faults/history.js";
import { Invariant, InvariantChecker } from "../../src/faults/invariant-checker.js";

const write = (row: string, at: number, outcome: RequestOutcome = "done", term = 1): HistoryEvent => ({
    kind: "writeAnswered",
    at,
    session: "s",
    row,
    outcome,
    term,
});
const read = (at: number, rows: readonly string[], ageMs?: number): HistoryEvent => ({
    kind: "readAnswered",
    at,
    sentAt: at - 1,
    session: "s",
    ageMs,
    rows,
});
const executed = (row: string, at: number, endpoint = "a"): HistoryEvent => ({ kind: "executed", at, endpoint, row });
const inForce = (host: string, number: number, at: number, digest = `d${number}`): HistoryEvent => ({
    kind: "configurationInForce",
    at,
    host,
    number,
    digest,
});
const accepted = (number: number, at: number, digest = `d${number}`): HistoryEvent => ({
    kind: "configurationAccepted",
    at,
    number,
    digest,
});
const end = (rows: readonly string[], at = 10_000): HistoryEvent => ({ kind: "end", at, rows, hosts: ["h"] });
const answer = (received: string, complete = true): HistoryEvent => ({
    kind: "answer",
    at: 1,
    session: "s",
    expected: "x",
    received,
    complete,
});
const termTwo: HistoryEvent = { kind: "termStarted", at: 5, term: 2, primary: "b" };
const leaves: HistoryEvent = { kind: "endpointLeaves", at: 0, endpoint: "a" };
const workAt = (at: number): HistoryEvent => ({ kind: "workSent", at, host: "h", endpoint: "a" });
const drain: HistoryEvent = { kind: "drainBegun", at: 1, host: "h" };
const drained = (cut: number): HistoryEvent => ({ kind: "drainEnded", at: 3, host: "h", cut });
const cut: HistoryEvent = { kind: "requestCut", at: 2, host: "h", session: "s" };
const sent = (...rows: string[]): HistoryEvent => ({ kind: "transactionSent", at: 0, rows });
const committed = (...rows: string[]): HistoryEvent => ({ kind: "committed", at: 1, endpoint: "a", rows });

const broken: readonly [Invariant, string, readonly HistoryEvent[]][] = [
    [Invariant.ReadYourWrites, "an own write is missing", [write("1", 1), read(3, [])]],
    [Invariant.ReadYourWrites, "a second read goes back", [read(1, ["1"]), read(4, [])]],
    [Invariant.ReadYourWrites, "older than the stated age", [write("1", 1), read(200, [], 100)]],
    [Invariant.OldPrimary, "acknowledged under an old term", [termTwo, write("1", 6)]],
    [Invariant.OldPrimary, "an acknowledged write is lost", [write("1", 1), end([])]],
    [Invariant.Transactions, "two transactions committed together", [sent("1"), sent("2"), committed("1", "2")]],
    [Invariant.Transactions, "half a transaction committed", [sent("1", "2"), committed("1")]],
    [Invariant.Answers, "the answer of another request", [answer("y")]],
    [Invariant.Answers, "an incomplete answer", [answer("x", false)]],
    [Invariant.Refusals, "a refused write ran", [executed("1", 1), write("1", 2, "notRun")]],
    [Invariant.Refusals, "a rolled back write is committed", [sent("1"), committed("1"), write("1", 2, "rolledBack")]],
    [Invariant.Repeats, "a write ran twice", [executed("1", 1), executed("1", 2, "b")]],
    [Invariant.Leaving, "late work", [leaves, workAt(2_001)]],
    [Invariant.Drain, "a cut request", [drain, cut, drained(0)]],
    [Invariant.Drain, "cut requests in the report", [drain, drained(1)]],
    [Invariant.Configuration, "a host goes back", [inForce("h", 2, 1), inForce("h", 1, 2)]],
    [Invariant.Configuration, "two contents under a number", [accepted(1, 1), inForce("h", 1, 2, "other")]],
    [Invariant.Configuration, "not in force in time", [accepted(1, 1), end([])]],
    [Invariant.Configuration, "in force too late", [accepted(1, 1), inForce("h", 1, 6_002), end([])]],
];

const kept: readonly [Invariant, string, readonly HistoryEvent[]][] = [
    [Invariant.ReadYourWrites, "the own write is seen", [write("1", 1), read(3, ["1"])]],
    [Invariant.ReadYourWrites, "a write within the age may be missing", [write("1", 150), read(200, [], 100)]],
    [Invariant.ReadYourWrites, "a told loss", [write("1", 1), { kind: "lossTold", at: 2, session: "s" }, read(4, [])]],
    [Invariant.OldPrimary, "acknowledged before the next term", [write("1", 4), termTwo, end(["1"])]],
    [Invariant.Transactions, "one transaction", [sent("1", "2"), committed("1", "2")]],
    [Invariant.Answers, "the own answer", [answer("x")]],
    [Invariant.Refusals, "an unknown outcome that ran", [executed("1", 1), write("1", 2, "unknown")]],
    [Invariant.Refusals, "a rolled back write ran", [executed("1", 1), write("1", 2, "rolledBack")]],
    [Invariant.Repeats, "two writes", [executed("1", 1), executed("2", 2)]],
    [Invariant.Leaving, "work within the bound", [leaves, workAt(2_000)]],
    [Invariant.Drain, "a request cut after the drain", [drain, drained(0), cut]],
    [Invariant.Configuration, "in force in time", [accepted(1, 1), inForce("h", 1, 6_001), end([])]],
    [Invariant.Configuration, "in force after healing", [
        accepted(1, 1),
        { kind: "healed", at: 2_000 },
        inForce("h", 1, 8_000),
        end([]),
    ]],
];

// A checker that cannot fail proves nothing: each invariant has at least one history that breaks it.
describe("InvariantChecker", () => {
    const checker = new InvariantChecker();

    it.each(broken)("%s: reports %s", (invariant, _name, history) => {
        expect(checker.check(history).map(violation => violation.invariant)).toEqual([invariant]);
    });

    it.each(kept)("%s: allows %s", (_invariant, _name, history) => {
        expect(checker.check(history)).toEqual([]);
    });

    it("covers every invariant with a history that breaks it and one that does not", () => {
        const all = Object.values(Invariant).sort();
        expect([...new Set(broken.map(([invariant]) => invariant))].sort()).toEqual(all);
        expect([...new Set(kept.map(([invariant]) => invariant))].sort()).toEqual(all);
    });
});
