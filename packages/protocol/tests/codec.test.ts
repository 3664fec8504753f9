import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
    compressMessage,
    decodeMessage,
    encodeMessage,
    formatPosition,
    type Message,
    parsePosition,
} from "../src/index.js";

const SEED = 20_261_204;

describe("codec", () => {
    it("returns an error value for arbitrary bytes instead of throwing", () => {
        fc.assert(
            fc.property(fc.uint8Array({ maxLength: 200 }), bytes => {
                const decoded = decodeMessage(bytes);
                return decoded.ok || decoded.error.kind !== "tooLarge";
            }),
            { seed: SEED, numRuns: 5_000 },
        );
    });

    it("preserves undefined, large numbers and bytes, which a lossy codec would change", () => {
        const messages: readonly Message[] = [
            { kind: "leaseRefused", sequence: 2 ** 40, leader: undefined },
            {
                kind: "agreement",
                from: "a1",
                to: "b1",
                message: {
                    kind: "append",
                    term: 1,
                    previousIndex: 0,
                    previousTerm: 0,
                    commitIndex: 0,
                    sentAt: 1.5,
                    entries: [{ index: 1, term: 1, payload: new Uint8Array([0, 255]) }],
                },
            },
        ];
        for (const message of messages) {
            const decoded = decodeMessage(encodeMessage(message));
            expect(decoded.ok).toBe(true);
            if (decoded.ok) {
                expect(comparable(decoded.message)).toEqual(comparable(message));
            }
        }
    });

    it("reports an unknown message id, so that a newer peer is distinguished from a malformed message", () => {
        const known = encodeMessage({ kind: "revoked", database: "orders", term: 1 });
        const unknown = Uint8Array.from(known);
        unknown[1] = 99;
        expect(decodeMessage(unknown)).toEqual({ ok: false, error: { kind: "unknownMessage", id: 99 } });
    });
});

describe("position", () => {
    it("round-trips positions beyond 32 bits, where bitwise arithmetic would overflow", () => {
        fc.assert(
            fc.property(fc.maxSafeNat(), position => parsePosition(formatPosition(position)) === position),
            { seed: SEED, numRuns: 2_000 },
        );
        expect(parsePosition("16/B374D848")).toBe(0x16_B374_D848);
        expect(parsePosition("nonsense")).toBeUndefined();
    });

    // Guards against links of 2 Mbit/s that a configuration with many routes occupies for more than a second.
    it("compresses a configuration of 1,400 routes to less than a fifth", () => {
        const routes = Array.from({ length: 1_400 }, (_, index) => ({
            name: `r-${(index * 7_919).toString(36)}`,
            host: `host${(index * 104_729).toString(36)}`,
            timeoutMs: 800,
            group: `s${index % 14}`,
            maxStalenessMs: 2_500,
        }));
        const files = [{ name: "configuration", text: JSON.stringify({ version: 7, routes }) }];
        const change = { number: 7, digest: "d", operator: "o", files };
        const message: Message = { kind: "configurationUpdate", change };
        const encoded = encodeMessage(message);
        const compressed = compressMessage(encoded);
        expect(compressed.byteLength).toBeLessThan(encoded.byteLength / 5);
        expect(decodeMessage(compressed)).toEqual({ ok: true, message });
    });

    // Guards against compressed bytes that expand without a limit or do not expand at all.
    it("returns an error value for compressed bytes that are invalid or too large", () => {
        const bomb = compressMessage(new Uint8Array(17 * 1024 * 1024));
        expect(decodeMessage(bomb).ok).toBe(false);
        expect(decodeMessage(Uint8Array.of(0xc1, 1, 2, 3)).ok).toBe(false);
    });
});

/** Replaces undefined and byte arrays by values that a deep comparison distinguishes. */
function comparable(value: unknown): unknown {
    if (value instanceof Uint8Array) {
        return { bytes: [...value] };
    }
    if (Array.isArray(value)) {
        return value.map(comparable);
    }
    if (typeof value === "object" && value !== null) {
        return Object.fromEntries(Object.entries(value).map(([key, field]) => [key, comparable(field)]));
    }
    return value === undefined ? "undefined" : value;
}
