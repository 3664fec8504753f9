import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { digestOf, formatFinding, mergeFolder } from "../src/index.js";

const SEED = 20_261_204;
const base = { name: "00-number.jsonc", text: `{ "number": 7 }` };

describe("mergeFolder", () => {
    it("applies files in the order of their names, whatever order they are given in", () => {
        const first = {
            name: "10-a.jsonc",
            text: `{ "databases": { "orders": { "replicaWaitMs": 1, "roaming": "token" } } }`,
        };
        const second = {
            name: "20-b.jsonc",
            text: `{ "databases": { "orders": { "replicaWaitMs": 9 } } } // later file decides`,
        };
        const merged = mergeFolder([second, base, first]);
        expect(merged.ok).toBe(true);
        if (merged.ok) {
            expect(merged.configuration.databases["orders"]).toMatchObject({ replicaWaitMs: 9, roaming: "token" });
            expect(merged.origins.get("databases.orders.replicaWaitMs")).toBe("20-b.jsonc");
            expect(merged.origins.get("databases.orders.roaming")).toBe("10-a.jsonc");
        }
    });

    it("gives the same answer again and keeps what only earlier files say, since files merge into one object", () => {
        const files = [
            { name: "00.jsonc", text: `{ "number": 1, "databases": { "orders": { "replicaWaitMs": 7 } } }` },
            { name: "10.jsonc", text: `{ "databases": { "orders": { "roaming": "token" }, "seats": {} } }` },
            { name: "20.jsonc", text: `{ "databases": { "orders": { "replicaWaitMs": 9 } } }` },
        ];
        const first = mergeFolder(files);
        const partly = mergeFolder(files.slice(0, 2));
        expect(mergeFolder(files)).toEqual(first);
        expect(first.ok && first.configuration.databases["orders"]).toMatchObject({
            replicaWaitMs: 9,
            roaming: "token",
        });
        expect(partly.ok && partly.configuration.databases["orders"]).toMatchObject({ replicaWaitMs: 7 });
        expect(first.ok && Object.keys(first.configuration.databases)).toEqual(["orders", "seats"]);
    });

    it("names file, line and column of an unknown key, so that a typing error is not silently ignored", () => {
        const merged = mergeFolder([base, {
            name: "10-a.jsonc",
            text: `{\n    "databases": {\n        "orders": { "acknowlege": "replica" }\n    }\n}`,
        }]);
        expect(merged.ok).toBe(false);
        if (!merged.ok) {
            expect(merged.findings.map(formatFinding)).toEqual([`10-a.jsonc:3:21: unknown key "acknowlege"`]);
        }
    });

    it("points at the file whose value decides when a later file breaks a rule", () => {
        const merged = mergeFolder([
            { name: "10-a.jsonc", text: `{ "number": 1, "classes": { "seat": { "worth": 5 } } }` },
            { name: "20-b.jsonc", text: `{\n "classes": { "seat": { "worth": -1 } } }` },
        ]);
        expect(merged.ok).toBe(false);
        if (!merged.ok) {
            expect(merged.findings[0]).toMatchObject({ file: "20-b.jsonc", line: 2 });
        }
    });

    it.each([
        ["a half-saved file", `{ "databases": { "orders": `],
        ["a key given twice", `{ "number": 1, "number": 2 }`],
        ["a list in place of an object", `[]`],
        ["an empty file", ``],
        ["an undeclared database in a class", `{ "classes": { "a": { "match": { "databases": ["nowhere"] } } } }`],
        ["an undeclared default class", `{ "databases": { "orders": { "defaultClass": "nowhere" } } }`],
    ])("refuses %s", (_name, text) => {
        const merged = mergeFolder([base, { name: "10-a.jsonc", text }]);
        expect(merged.ok).toBe(false);
        if (!merged.ok) {
            expect(merged.findings[0]?.file).toBe("10-a.jsonc");
        }
    });

    it("returns findings for arbitrary text and never throws, prototype keys included", () => {
        const text = fc.oneof(fc.string(), fc.json(), fc.constant(`{"__proto__": {"number": 1}}`));
        fc.assert(
            fc.property(text, value => {
                const merged = mergeFolder([{ name: "a.json", text: value }]);
                return merged.ok || merged.findings.length > 0;
            }),
            { seed: SEED, numRuns: 2_000 },
        );
    });
});

describe("digestOf", () => {
    it("differs when text moves from one file to the next, which plain concatenation would hide", () => {
        const left = digestOf([{ name: "a", text: "12" }, { name: "b", text: "3" }]);
        const right = digestOf([{ name: "a", text: "1" }, { name: "b", text: "23" }]);
        expect(left).not.toBe(right);
    });
});
