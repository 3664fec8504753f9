import type { RegisteredEndpoint, TermRecord } from "@medlarledge/protocol";
import { describe, expect, test } from "vitest";
import { type Candidate, PrimaryPositions, Router, type RouteRequest } from "../src/index.js";

const TERMS: readonly TermRecord[] = [
    { term: 1, primary: "old", start: 0, timeline: 1 },
    { term: 2, primary: "p", start: 100, timeline: 2 },
];

function candidate(
    id: string,
    change: Partial<Candidate> = {},
    state: RegisteredEndpoint["state"] = "active",
): Candidate {
    const endpoint = {
        id,
        database: "d",
        dataCentre: "a",
        host: "127.0.0.1",
        port: 1,
        systemIdentifier: "1",
        sequence: 1,
        slots: 2,
        connections: 16,
        state,
    };
    const role = id === "p" ? "primary" : "replica";
    const known = { timeline: 2, knownPosition: 500, knownAt: 0, lagMs: 0 };
    return { endpoint, role, sameDataCentre: true, ...known, inFlight: 0, health: "ok", ...change };
}

function choose(candidates: readonly Candidate[], change: Partial<RouteRequest> = {}): unknown {
    const request: RouteRequest = {
        write: false,
        floor: 400,
        ageMs: undefined,
        terms: TERMS,
        primaryPositions: new PrimaryPositions(),
        arrivedAt: 0,
        deadlineAt: 100,
        waitMs: 5,
        replicaReads: true,
        leaseValid: true,
        failedEndpoints: [],
        ...change,
    };
    const router = new Router({ strategy: "combined", spread: "twoChoices", ageMarginMs: 5, seed: 1 });
    const decision = router.choose(request, candidates, 10);
    return decision.kind === "send" ? `${decision.endpoint} ${decision.proof}` : decision;
}

describe("Router", () => {
    const primary = candidate("p");
    test.each<[string, unknown, unknown]>([
        ["a replica past the floor is used", choose([primary, candidate("r")]), "r known"],
        ["a leaving replica gets no new work", choose([primary, candidate("r", {}, "leaving")]), "p none"],
        ["a replica on the old timeline is not used", choose([primary, candidate("r", { timeline: 1 })]), "p none"],
        ["a replica set aside is not used", choose([primary, candidate("r", { health: "setAside" })]), "p none"],
        ["a slow replica is better than none", choose([candidate("r", { health: "setAside" })]), "r known"],
        [
            "a probed replica gets one trial",
            choose([primary, candidate("r"), candidate("q", { health: "probing" })]),
            "q known",
        ],
        ["a write runs on the primary", choose([primary, candidate("r")], { write: true }), "p none"],
        ["a write waits while no primary is in force", choose([candidate("r")], { write: true }), {
            kind: "wait",
            untilMs: 100,
        }],
        [
            "no write runs under a term that has not started",
            choose([primary], {
                write: true,
                terms: [{ term: 3, primary: "p", start: undefined, timeline: undefined }],
            }),
            { kind: "wait", untilMs: 100 },
        ],
        ["without a lease only reads with a maximum age run", choose([primary], { leaseValid: false }), {
            kind: "refuse",
            reason: "cutOff",
        }],
        ["an age that cannot be proved is refused", choose([candidate("r")], { leaseValid: false, ageMs: 50 }), {
            kind: "refuse",
            reason: "ageUnproved",
        }],
        ["a deadline that has passed is refused", choose([primary], { deadlineAt: 10 }), {
            kind: "refuse",
            reason: "deadline",
        }],
    ])("%s", (_name, decision, expected) => {
        expect(decision).toEqual(expected);
    });

    test("an age is proved by a sample queried within it, and by no older one", () => {
        const positions = new PrimaryPositions();
        positions.record(2, 450, 0, 1);
        expect(positions.positionWithin(50, 50)).toBe(450);
        expect(positions.positionWithin(50, 51)).toBeUndefined();
    });
});
