import { expect, test } from "vitest";
import { LineBudget } from "../src/line-budget.js";

// Guards against a log that grows with the load, and against causes that are drowned by a more frequent one.
test("a frequent kind is bounded and does not displace the first line of a rare one", () => {
    const budget = new LineBudget(20);
    const taken = Array.from({ length: 1_000 }, () => budget.take("refused busy", 5)).filter(isTaken => isTaken);
    expect(taken).toHaveLength(20);
    expect(budget.take("refused lagging", 5)).toBe(true);
    expect(budget.takeDropped()).toEqual([{ kind: "refused busy", lines: 980 }]);
    expect(budget.takeDropped()).toEqual([]);
});

// Guards against a kind that stays silent after a busy second.
test("each second has its own budget", () => {
    const budget = new LineBudget(1);
    expect(budget.take("a", 0)).toBe(true);
    expect(budget.take("a", 999)).toBe(false);
    expect(budget.take("a", 1_000)).toBe(true);
});

// Guards against memory that grows with kinds made of request ids by mistake.
test("the number of kinds is bounded", () => {
    const budget = new LineBudget(1);
    for (let index = 0; index < 10_000; index++) {
        budget.take(`kind ${index}`, 0);
    }
    expect(budget.takeDropped().length).toBeLessThanOrEqual(513);
});
