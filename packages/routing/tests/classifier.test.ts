import fc from "fast-check";
import { beforeAll, describe, expect, test } from "vitest";
import { Classifier } from "../src/index.js";
import { LruCache } from "../src/lru-cache.js";
import { CORPUS } from "./statement-corpus.js";

const SEED = 4_711;
const FLAGS = ["pins", "resets", "readOnly", "transactionOnly"] as const;

let classifier: Classifier;
beforeAll(async () => {
    classifier = await Classifier.load();
});

function describeStatement(sql: string): string {
    const found = classifier.classify(sql);
    return [found.kind, ...FLAGS.filter(flag => found[flag])].join("+");
}

describe("a misclassified statement would run on a replica or leak session state to another caller", () => {
    for (const [expected, statements] of Object.entries(CORPUS)) {
        test.each(statements)(`${expected}: %s`, sql => {
            expect(describeStatement(sql)).toBe(expected);
        });
    }

    test("the corpus has at least 120 statements", () => {
        expect(Object.values(CORPUS).flat().length).toBeGreaterThanOrEqual(120);
    });

    test("a read combined with another kind of statement is never a read, in either order", () => {
        const others = Object.entries(CORPUS).filter(([kind]) => kind !== "read").flatMap(([, texts]) => texts);
        const property = fc.property(
            fc.constantFrom(...(CORPUS["read"] ?? [])),
            fc.constantFrom(...others),
            fc.boolean(),
            (read, other, first) => {
                const sql = first ? `${other}\n;${read}` : `${read}\n;${other}`;
                expect(classifier.classify(sql).kind).not.toBe("read");
            },
        );
        fc.assert(property, { seed: SEED, numRuns: 2_000 });
    });
});

describe("proxy settings", () => {
    test("are classified with name, value and action", () => {
        expect(classifier.classify("SET medlarledge.session = '1.a-_'").set)
            .toEqual({ action: "set", name: "medlarledge.session", value: "1.a-_" });
        expect(classifier.classify("RESET medlarledge.session").set?.action).toBe("reset");
        expect(classifier.classify("SHOW medlarledge.session").set?.action).toBe("show");
    });
});

describe("comments", () => {
    test.each([
        ["SELECT 1 /*a='b%20c',d%3D='it\\'s'*/", { a: "b c", "d=": "it's" }],
        ["/*class='map'*/ SELECT 1", { class: "map" }],
        ["SELECT 1 -- class='map'", { class: "map" }],
        ["SELECT '/*class=''map''*/'", {}],
        ["SELECT $$/*class='map'*/$$", {}],
        ["SELECT \"/*class='map'*/\" FROM t", {}],
        ["SELECT '/*class='map'*/", {}],
        ["SELECT 1 /*a='%zz'*/", { a: "%zz" }],
    ])("only a real comment sets a class: %s", (sql, expected) => {
        expect(classifier.classify(sql).comment).toEqual(expected);
    });

    test("a trailing comment changes no other part of the classification", () => {
        for (const sql of Object.values(CORPUS).flat()) {
            const plain = classifier.classify(sql);
            if (sql.trim() !== "" && !sql.includes("--") && !sql.includes("'unterminated")) {
                expect({ ...classifier.classify(`${sql} /*trace='7'*/`), comment: {} }).toEqual(plain);
            }
        }
    });
});

describe("bounds", () => {
    test("any text is classified, and text that cannot be parsed is a write", () => {
        const property = fc.property(fc.string({ maxLength: 200, unit: "binary" }), sql => {
            expect(classifier.classify(sql).statements).toBeGreaterThanOrEqual(0);
        });
        fc.assert(property, { seed: SEED, numRuns: 5_000 });
        expect(classifier.classify("SELECT 1\0; DELETE FROM t").kind).toBe("write");
    });

    test("deep nesting and long operator chains neither throw nor break the parser", () => {
        expect(classifier.classify(`SELECT ${"(".repeat(20_000)}1${")".repeat(20_000)}`).kind).toBe("write");
        expect(classifier.classify(`SELECT ${"1+".repeat(50_000)}1`).kind).toBe("write");
        expect(classifier.classify("SELECT 1 + 2").kind).toBe("read");
    });

    test("text too long to parse is a write that pins its connection", () => {
        const found = classifier.classify(`SELECT '${"x".repeat(300_000)}'`);
        expect([found.kind, found.pins]).toEqual(["write", true]);
    });

    test("the cache stays within its limits and evicts the least recently used entry", () => {
        const cache = new LruCache<number>({ entries: 3, characters: 20, keyCharacters: 10 });
        for (const key of ["a", "b", "c"]) {
            cache.set(key, 1);
        }
        cache.get("a");
        cache.set("d", 1);
        expect([cache.get("a"), cache.get("b"), cache.size]).toEqual([1, undefined, 3]);
        cache.set("x".repeat(11), 1);
        expect(cache.get("x".repeat(11))).toBeUndefined();
        cache.set("y".repeat(10), 1);
        cache.set("z".repeat(10), 1);
        expect(cache.characters).toBeLessThanOrEqual(20);
    });
});
