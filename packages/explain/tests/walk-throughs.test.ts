import { readFileSync } from "node:fs";
import { join } from "node:path";
import { expect, test } from "vitest";
import { explain, renderExplanation } from "../src/index.js";

const ROOT = join(import.meta.dirname, "../../..");
const PAGE = readFileSync(join(ROOT, "docs/OPERATIONS.md"), "utf8");
const BLOCK = /```console\n\$ medlarledge explain (\w+) (\S+)\n([\s\S]*?)```/g;
const WALK_THROUGHS = [...PAGE.matchAll(BLOCK)].map(([, id = "", file = "", shown = ""]) => ({ id, file, shown }));

test("the operators' page walks through three kinds of failed request at least", () => {
    expect(WALK_THROUGHS.length).toBeGreaterThanOrEqual(3);
});

// Guards against an operators' page that shows what explain no longer prints.
test.each(WALK_THROUGHS)("explain prints of $id what the page shows", ({ id, file, shown }) => {
    const text = readFileSync(join(ROOT, file), "utf8");
    const explanation = explain({ kind: "request", id }, [{ name: file, text }]);
    expect(explanation.findings).toEqual([]);
    expect(renderExplanation(explanation).split("\n").slice(0, 2).join("\n")).toBe(shown.trimEnd());
});
