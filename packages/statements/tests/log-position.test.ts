import { expect, test } from "vitest";
import { compareLogPositions, laterLogPosition } from "../src/index.js";

// Guards against a floor of a former term with a higher number taking precedence over a position of the present term.
test("a position of a later term is later whatever the numbers", () => {
    const old = { term: 3, number: 1_207 };
    const present = { term: 4, number: 1_205 };
    expect(compareLogPositions(old, present)).toBeLessThan(0);
    expect(laterLogPosition(old, present)).toBe(present);
    expect(laterLogPosition(present, undefined)).toBe(present);
    expect(laterLogPosition(undefined, undefined)).toBeUndefined();
});
