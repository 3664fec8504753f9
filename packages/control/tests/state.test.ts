import { ChangeOutcome, type ConfigurationChange, EndpointState } from "@medlarledge/protocol";

import * as fc from "fast-check";
import { describe, expect, test } from "vitest";
import {
    type ControlCommand,
    ControlState,
    decodeCommand,
    encodeCommand,
    MAX_HISTORY,
    MAX_TERMS,
} from "../src/index.js";
import { announcement, host } from "./fixtures.js";

const DATABASE = "orders";

function announced(...ids: readonly string[]): ControlState {
    const state = new ControlState();
    ids.forEach((id) => state.apply({ kind: "announceEndpoint", endpoint: announcement(DATABASE, id, 1) }));
    return state;
}

function begin(term: number, primary: string): ControlCommand {
    return { kind: "beginTerm", database: DATABASE, term, primary, reason: "test", at: 1_000 + term };
}

function start(term: number, position = 100, timeline = 1): ControlCommand {
    return { kind: "startTerm", database: DATABASE, term, timeline, start: position };
}

function change(number: number, digest = `${number}`, operator = "an"): ControlCommand {
    const configuration: ConfigurationChange = { number, digest, operator, files: [{ name: "a.jsonc", text: "{}" }] };
    return { kind: "changeConfiguration", change: configuration, at: number };
}

function outcome(state: ControlState, command: ControlCommand): string {
    const result = state.apply(command);
    if (result.kind === "changeConfiguration") {
        return result.result.outcome;
    }
    if (result.kind === "openLeadership") {
        return "";
    }
    return result.outcome === "refused" ? result.reason : result.outcome;
}

function stateOf(state: ControlState, id: string): string | undefined {
    return state.database(DATABASE)?.endpoints.find((endpoint) => endpoint.id === id)?.state;
}

describe("terms", () => {
    test("two leaders' proposals for one term: the first one is accepted, its repetition changes nothing", () => {
        const state = announced("a", "b");
        expect(outcome(state, begin(1, "a"))).toBe("accepted");
        expect(outcome(state, begin(1, "b"))).toBe("termNotNext");
        expect(outcome(state, begin(1, "a"))).toBe("unchanged");
        expect(outcome(state, begin(3, "b"))).toBe("termNotNext");
        expect(state.database(DATABASE)?.terms).toHaveLength(1);
    });

    test("a term starts once, at a known position, and only while it is the current one", () => {
        const state = announced("a", "b");
        state.apply(begin(1, "a"));
        expect(outcome(state, start(1, Number.NaN))).toBe("startUnknown");
        expect(outcome(state, start(1, -1))).toBe("startUnknown");
        expect(outcome(state, start(1))).toBe("accepted");
        expect(outcome(state, start(1))).toBe("unchanged");
        expect(outcome(state, start(1, 101))).toBe("termStarted");
        state.apply(begin(2, "b"));
        expect(outcome(state, start(1))).toBe("termNotCurrent");
    });

    test("a primary must be announced and must not have left", () => {
        const state = announced("a");
        state.apply({ kind: "endpointLeft", database: DATABASE, id: "a", sequence: 1 });
        expect(outcome(state, begin(1, "a"))).toBe("unknownEndpoint");
        expect(outcome(state, begin(1, "z"))).toBe("unknownEndpoint");
    });

    test("the list of terms is bounded; superseded terms that never started go first", () => {
        const state = announced("a", "b");
        state.apply(begin(1, "a"));
        state.apply(start(1));
        for (let term = 2; term <= MAX_TERMS + 10; term++) {
            state.apply(begin(term, "b"));
        }
        const terms = state.database(DATABASE)!.terms;
        expect(terms).toHaveLength(MAX_TERMS);
        expect(terms[0]).toMatchObject({ term: 1, start: 100 });
        expect(terms.at(-1)!.term).toBe(MAX_TERMS + 10);
    });
});

describe("endpoints", () => {
    test("an announcement that is not newer is ignored, also after the endpoint left", () => {
        const state = announced("a");
        const leave = {
            kind: "endpointLeaves",
            database: DATABASE,
            id: "a",
            systemIdentifier: "a",
            sequence: 5,
        } as const;
        expect(outcome(state, leave)).toBe("accepted");
        expect(outcome(state, leave)).toBe("unchanged");
        const late = { kind: "announceEndpoint", endpoint: announcement(DATABASE, "a", 5) } as const;
        expect(outcome(state, late)).toBe("stale");
        expect(stateOf(state, "a")).toBe(EndpointState.Leaving);
        expect(outcome(state, { ...late, endpoint: announcement(DATABASE, "a", 6) })).toBe("accepted");
        expect(outcome(state, { kind: "endpointLeft", database: DATABASE, id: "a", sequence: 5 })).toBe("stale");
        expect(stateOf(state, "a")).toBe(EndpointState.Active);
    });

    test("an address with another system identifier is another endpoint; the old one has left", () => {
        const state = announced("a", "b");
        const renamed = { ...announcement(DATABASE, "a", 1), id: "d", systemIdentifier: "new" };
        expect(state.apply({ kind: "announceEndpoint", endpoint: renamed })).toMatchObject({ replaced: ["a"] });
        expect([stateOf(state, "a"), stateOf(state, "d")]).toEqual(["left", "active"]);
    });

    test("the current primary's id cannot be taken over; a late announcement of the old folder stays stale", () => {
        const state = announced("a", "b");
        state.apply(begin(1, "a"));
        state.apply(start(1));
        const foreign = { ...announcement(DATABASE, "a", 1), systemIdentifier: "new" };
        expect(outcome(state, { kind: "announceEndpoint", endpoint: foreign })).toBe("idInUse");
        expect(stateOf(state, "a")).toBe(EndpointState.Left);
        state.apply(begin(2, "b"));
        expect(outcome(state, { kind: "announceEndpoint", endpoint: foreign })).toBe("accepted");
        const old = { kind: "announceEndpoint", endpoint: announcement(DATABASE, "a", 1) } as const;
        expect(outcome(state, old)).toBe("stale");
    });
});

describe("configuration", () => {
    test("equal numbers: the same content gets the same reply, the reply to other content names the holder", () => {
        const state = new ControlState();
        expect(outcome(state, change(3, "x", "an"))).toBe(ChangeOutcome.Accepted);
        expect(outcome(state, change(3, "x", "an"))).toBe(ChangeOutcome.AlreadyAccepted);
        expect(state.apply(change(3, "y", "bo"))).toMatchObject({
            result: { outcome: ChangeOutcome.NumberTaken, number: 3, digest: "x", operator: "an" },
        });
        expect(outcome(state, change(2))).toBe(ChangeOutcome.NumberTooLow);
        expect(outcome(state, change(0))).toBe(ChangeOutcome.Invalid);
    });

    test("a change repeated after a later one is answered as already accepted and does not revert that one", () => {
        const state = new ControlState();
        state.apply(change(3));
        state.apply(change(4));
        expect(outcome(state, change(3))).toBe(ChangeOutcome.AlreadyAccepted);
        expect(state.configuration()?.number).toBe(4);
    });

    test("the history is bounded", () => {
        const state = new ControlState();
        for (let number = 1; number <= MAX_HISTORY + 5; number++) {
            state.apply(change(number));
        }
        expect(state.history()).toHaveLength(MAX_HISTORY);
        expect(state.history()[0]?.what).toContain("configuration 6 ");
    });
});

describe("generated commands", () => {
    const ids = fc.constantFrom("a", "b", "c");
    const small = fc.integer({ min: 0, max: 4 });
    const endpoint = fc.tuple(ids, small, ids).map(([id, sequence, systemIdentifier]) => ({
        ...announcement(DATABASE, id, sequence),
        systemIdentifier,
    }));
    const command = fc.oneof(
        endpoint.map((announcedEndpoint): ControlCommand => ({
            kind: "announceEndpoint",
            endpoint: announcedEndpoint,
        })),
        fc.tuple(ids, ids, small).map(([id, systemIdentifier, sequence]): ControlCommand => ({
            kind: "endpointLeaves",
            database: DATABASE,
            id,
            systemIdentifier,
            sequence,
        })),
        fc.tuple(ids, small).map(([id, sequence]): ControlCommand => ({
            kind: "endpointLeft",
            database: DATABASE,
            id,
            sequence,
        })),
        fc.tuple(small, ids).map(([term, id]) => begin(term, id)),
        fc.tuple(small, small).map(([term, position]) => start(term, position)),
        fc.tuple(small, ids).map(([number, digest]) => change(number, digest)),
        fc.tuple(ids, ids).map(([id, incarnation]): ControlCommand => ({
            kind: "registerHost",
            host: host(id, incarnation),
        })),
        fc.tuple(ids, ids).map(([id, incarnation]): ControlCommand => ({ kind: "removeHost", id, incarnation })),
    );

    test("a restored replica stays equal, terms rise by one and the configuration never reverts", () => {
        fc.assert(
            fc.property(fc.array(command, { maxLength: 60 }), fc.nat(60), (commands, cut) => {
                const state = new ControlState();
                let copy = new ControlState();
                commands.forEach((next, index) => {
                    const before = state.configuration()?.number ?? 0;
                    const result = state.apply(next);
                    expect(copy.apply(decodeCommand(encodeCommand(next))!)).toEqual(result);
                    expect(state.configuration()?.number ?? 0).toBeGreaterThanOrEqual(before);
                    if (index === cut) {
                        copy = ControlState.restore(copy.snapshot());
                    }
                });
                const terms = state.database(DATABASE)?.terms.map(({ term }) => term) ?? [];
                expect(terms).toEqual(terms.map((_, index) => index + 1));
                expect(Buffer.from(copy.snapshot()).equals(Buffer.from(state.snapshot()))).toBe(true);
            }),
            { seed: 31, numRuns: 2_000 },
        );
    });
});

test("bytes that are not a command are rejected without an exception", () => {
    expect(decodeCommand(new Uint8Array())).toBeUndefined();
    expect(decodeCommand(new Uint8Array([0xc1]))).toBeUndefined();
    expect(decodeCommand(encodeCommand({ kind: "constructor" } as unknown as ControlCommand))).toBeUndefined();
});
