import type { LogEntry } from "@medlarledge/protocol";
import { expect, test } from "vitest";
import { Checker, digestAfter } from "./checker.js";

// Each history violates a safety property, which shows that the checker detects it in the generated schedules.

function entry(index: number, term: number, text = `p${index}`): LogEntry {
    return { index, term, payload: new Uint8Array(Buffer.from(text)) };
}

function committed(...entries: readonly LogEntry[]): Checker {
    const checker = new Checker();
    checker.started("a");
    entries.forEach(item => checker.commits("a", item));
    return checker;
}

test("detects two leaders of one term", () => {
    const checker = new Checker();
    const log = { snapshot: undefined, entries: [] };
    checker.leads("a", 2, log);
    checker.leads("a", 2, log);
    expect(() => checker.leads("b", 2, log)).toThrow("lead in term 2");
});

test("detects a leader that lacks a committed entry or has another entry in its place", () => {
    const checker = committed(entry(1, 1), entry(2, 1));
    expect(() => checker.leads("b", 2, { snapshot: undefined, entries: [entry(1, 1)] })).toThrow("lacks");
    expect(() => checker.leads("b", 3, { snapshot: undefined, entries: [entry(1, 1), entry(2, 2)] })).toThrow("lacks");
    checker.leads("b", 4, { snapshot: undefined, entries: [entry(1, 1), entry(2, 1)] });
});

test("detects a committed entry that differs between members in its term or payload", () => {
    for (const other of [entry(1, 2), entry(1, 1, "other")]) {
        const checker = committed(entry(1, 1));
        checker.started("b");
        expect(() => checker.commits("b", other)).toThrow("commits another entry");
    }
});

test("detects an entry that a member commits twice, out of order or with a gap, until the member restarts", () => {
    const checker = committed(entry(1, 1), entry(2, 1));
    expect(() => checker.commits("a", entry(2, 1))).toThrow("commits 2 after 2");
    expect(() => checker.commits("a", entry(4, 1))).toThrow("commits 4 after 2");
    checker.started("a");
    expect(() => checker.commits("a", entry(2, 1))).toThrow("commits 2 after 0");
    checker.commits("a", entry(1, 1));
});

test("detects a restored snapshot of another state or of an earlier index", () => {
    const checker = committed(entry(1, 1), entry(2, 1));
    checker.started("b");
    expect(() => checker.restores("b", 2, 99)).toThrow("restores another state");
    expect(() => checker.restores("b", 3, 99)).toThrow("restores another state");
    const digest = digestAfter(digestAfter(0, entry(1, 1)), entry(2, 1));
    checker.restores("b", 2, digest);
    expect(() => checker.restores("b", 1, digest)).toThrow("goes back");
});

test("detects logs that agree at an entry but not before it", () => {
    const checker = new Checker();
    checker.writes(entry(3, 2), 1);
    checker.writes(entry(3, 2), 1);
    expect(() => checker.writes(entry(3, 2), 2)).toThrow("two entries");
    expect(() => checker.writes(entry(3, 2, "other"), 1)).toThrow("two entries");
});

test("detects outcomes of proposals that contradict the committed log", () => {
    const text = entry(1, 1).payload.toString();
    const lost = committed(entry(1, 1));
    lost.proposed(text, "lost");
    expect(() => lost.finish()).toThrow("lost proposal");
    const gone = committed(entry(1, 1));
    gone.proposed("absent", "committed");
    expect(() => gone.finish()).toThrow("is gone");
    const twice = committed(entry(1, 1), entry(2, 1, "p1"));
    twice.proposed(text, "committed");
    expect(() => twice.finish()).toThrow("2 times");
    expect(() => twice.proposed(text, "committed")).toThrow("two outcomes");
});
