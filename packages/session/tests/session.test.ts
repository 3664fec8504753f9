import type { Floor, TermRecord } from "@medlarledge/protocol";
import fc from "fast-check";
import { describe, expect, test } from "vitest";
import { checkFloor, isOnLineage, SessionState, TokenCodec } from "../src/index.js";

const SEED = 1_809;
const OLD_KEY = Buffer.alloc(32, 1);
const NEW_KEY = Buffer.alloc(32, 2);

describe("tokens", () => {
    test("any floor and database name can be decoded again, and the token needs no quoting", () => {
        const codec = new TokenCodec([NEW_KEY]);
        const property = fc.property(fc.string(), fc.maxSafeNat(), fc.maxSafeNat(), (database, term, position) => {
            const text = codec.encode(database, { term, position });
            expect(text).toMatch(/^[A-Za-z0-9._-]+$/);
            expect(codec.decode(text, database)).toEqual({ ok: true, floor: { term, position } });
        });
        fc.assert(property, { seed: SEED, numRuns: 1_000 });
    });

    test("a token with a changed character never decodes to another floor", () => {
        const codec = new TokenCodec([NEW_KEY]);
        const text = codec.encode("seats", { term: 3, position: 12_345 });
        const property = fc.property(
            fc.nat(text.length - 1),
            fc.constantFrom("a", "z", "0", "9", ".", "_", "-"),
            (index, letter) => {
                const changed = text.slice(0, index) + letter + text.slice(index + 1);
                const decoded = codec.decode(changed, "seats");
                if (decoded.ok) {
                    expect(decoded.floor).toEqual({ term: 3, position: 12_345 });
                }
                else {
                    expect(["forged", "malformed"]).toContain(decoded.error.kind);
                }
            },
        );
        fc.assert(property, { seed: SEED, numRuns: 2_000 });
    });

    // Guards against a cached token that is returned for another database, term or position.
    test("each floor gets its own token, whatever was encoded before", () => {
        const codec = new TokenCodec([NEW_KEY]);
        const small = fc.record({ database: fc.constantFrom("a", "b"), term: fc.nat(1), position: fc.nat(1) });
        const property = fc.property(fc.array(small, { maxLength: 20 }), floors => {
            for (const { database, term, position } of floors) {
                const expected = new TokenCodec([NEW_KEY]).encode(database, { term, position });
                expect(codec.encode(database, { term, position })).toBe(expected);
            }
        });
        fc.assert(property, { seed: SEED, numRuns: 500 });
    });

    test("tokens remain valid during key rotation, and tokens of a removed key are refused", () => {
        const old = new TokenCodec([OLD_KEY]).encode("a", { term: 1, position: 1 });
        expect(new TokenCodec([NEW_KEY, OLD_KEY]).decode(old, "a").ok).toBe(true);
        expect(new TokenCodec([NEW_KEY]).decode(old, "a")).toEqual({ ok: false, error: { kind: "forged" } });
    });

    test("a token of another database is reported with its name, other text is malformed", () => {
        const codec = new TokenCodec([NEW_KEY]);
        const text = codec.encode("a", { term: 1, position: 1 });
        expect(codec.decode(text, "b")).toEqual({ ok: false, error: { kind: "otherDatabase", database: "a" } });
        expect(codec.decode("x".repeat(10_000), "a")).toEqual({ ok: false, error: { kind: "malformed" } });
    });
});

function term(number: number, start: number | undefined, primary = `e${number}`, timeline = number): TermRecord {
    return { term: number, primary, start, timeline: start === undefined ? undefined : timeline };
}

describe("checkFloor", () => {
    const terms = [term(1, 0), term(2, 100), term(3, 150), term(4, 120)];
    test.each<[string, readonly TermRecord[], Floor, unknown]>([
        ["the current term holds", terms, { term: 4, position: 500 }, { kind: "holds", position: 500 }],
        ["before every start holds", terms, { term: 1, position: 100 }, { kind: "holds", position: 100 }],
        ["past the first start is lost", terms, { term: 1, position: 101 }, {
            kind: "lost",
            term: 4,
            position: 120,
            survivedUpTo: 100,
        }],
        ["a later term with a lower start discards log as well", terms, { term: 2, position: 130 }, {
            kind: "lost",
            term: 4,
            position: 120,
            survivedUpTo: 120,
        }],
        ["a newer term is unknown", terms, { term: 5, position: 1 }, { kind: "unknownTerm", term: 5 }],
        ["no history is unknown", [], { term: 1, position: 1 }, { kind: "unknownTerm", term: 1 }],
        [
            "a term that has not started discards nothing yet",
            [term(1, 0), term(2, undefined)],
            { term: 1, position: 9 },
            {
                kind: "holds",
                position: 9,
            },
        ],
        ["a floor of a term that has not started in this host's view is unknown", [term(1, 0), term(2, undefined)], {
            term: 2,
            position: 9,
        }, {
            kind: "unknownTerm",
            term: 2,
        }],
        ["a term that never started is skipped", [term(1, 0), term(2, undefined), term(3, 50)], {
            term: 1,
            position: 51,
        }, { kind: "lost", term: 3, position: 50, survivedUpTo: 50 }],
        ["truncated history cannot prove survival", [term(5, 80), term(6, 90)], { term: 3, position: 10 }, {
            kind: "lost",
            term: 6,
            position: 90,
            survivedUpTo: 0,
        }],
        ["the term before the oldest one is still proved", [term(5, 80), term(6, 90)], { term: 4, position: 80 }, {
            kind: "holds",
            position: 80,
        }],
        ["a new term of the same primary discards nothing", [term(1, 0, "a", 1), term(2, 50, "a", 1)], {
            term: 1,
            position: 70,
        }, {
            kind: "holds",
            position: 70,
        }],
    ])("%s", (_name, history, floor, expected) => {
        expect(checkFloor(history, floor)).toEqual(expected);
    });

    test("a floor that holds is on the lineage of its own timeline, and a lost one is not", () => {
        const starts = fc.array(fc.nat(1_000), { minLength: 1, maxLength: 6 });
        const property = fc.property(starts, fc.nat(5), fc.nat(1_200), (positions, index, position) => {
            const history = positions.map((start, number) => term(number + 1, start));
            const floor = { term: Math.min(index + 1, history.length), position };
            const holds = checkFloor(history, floor).kind === "holds";
            expect(isOnLineage(history, floor.term, position)).toBe(holds);
        });
        fc.assert(property, { seed: SEED, numRuns: 5_000 });
    });
});

describe("isOnLineage", () => {
    test("log past the fork, unknown timelines and a number used twice are off the lineage", () => {
        const terms = [term(1, 0), term(2, 100)];
        expect([isOnLineage(terms, 1, 100), isOnLineage(terms, 1, 101)]).toEqual([true, false]);
        expect([isOnLineage(terms, 2, 9_999), isOnLineage(terms, 3, 1)]).toEqual([true, false]);
        const twice = [term(1, 0, "a", 1), term(2, 100, "b", 2), term(3, 90, "c", 2)];
        expect([isOnLineage(twice, 2, 90), isOnLineage(twice, 2, 95)]).toEqual([true, false]);
    });
});

describe("SessionState", () => {
    test("the floor never decreases, and one loss is reported exactly once", () => {
        const state = new SessionState();
        expect(state.raise({ term: 1, position: 10 })).toBe(true);
        expect(state.raise({ term: 1, position: 9 })).toBe(false);
        state.accept({ term: 1, position: 50 });
        const terms = [term(1, 0), term(2, 20)];
        const check = checkFloor(terms, { term: 1, position: 50 });
        expect([state.takeLoss(check), state.takeLoss(check)]).toEqual([true, false]);
        expect(state.floor()).toEqual({ term: 2, position: 20 });
        expect(checkFloor(terms, { term: 2, position: 20 }).kind).toBe("holds");
    });
});
