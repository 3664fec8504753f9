import { expect, test } from "vitest";
import { BoundedLog, LineBudget, type Log, type LogFields } from "../src/index.js";

interface Line extends LogFields {
    readonly event: string;
}

function recorded(): { readonly log: Log; readonly lines: Line[]; } {
    const lines: Line[] = [];
    return { log: { event: (event, fields) => lines.push({ event, ...fields }) }, lines };
}

// Guards against a storm of refusals that hides the first one of another cause or group.
test("each cause and group has its own budget", () => {
    const { log, lines } = recorded();
    const bounded = new BoundedLog(log, () => 0, new LineBudget(2, 100));
    for (let index = 0; index < 50; index++) {
        bounded.event("requestRefused", { cause: "busy", group: "orders", requestId: `r${index}` });
    }
    bounded.event("requestRefused", { cause: "busy", group: "seats" });
    bounded.event("requestRefused", { cause: "lagging", group: "orders" });
    expect(lines.map(({ cause, group }) => [cause, group])).toEqual([
        ["busy", "orders"],
        ["busy", "orders"],
        ["busy", "seats"],
        ["lagging", "orders"],
    ]);
});

// Guards against lines that are missing without anybody being told.
test("what was left out is counted and told once", () => {
    const { log, lines } = recorded();
    const bounded = new BoundedLog(log, () => 0, new LineBudget(1, 100));
    for (let index = 0; index < 10; index++) {
        bounded.event("requestRefused", { cause: "busy" });
    }
    bounded.report();
    bounded.report();
    expect(lines.filter(({ event }) => event === "linesDropped")).toEqual([
        { event: "linesDropped", kind: "requestRefused/busy", lines: 9 },
    ]);
    expect(bounded.dropped).toBe(9);
});

// Guards against many kinds at once, each within its own budget, that together take the processor.
test("all kinds together are bounded, but for the first line of each", () => {
    const budget = new LineBudget(10, 15);
    const taken = (kind: string): number =>
        Array.from({ length: 10 }, () => budget.take(kind, 0)).filter(isTaken => isTaken).length;
    expect(["a", "b", "c", "d"].map(taken)).toEqual([10, 5, 1, 1]);
});
