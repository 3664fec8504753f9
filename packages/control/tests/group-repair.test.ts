import type { Members } from "@medlarledge/protocol";
import { describe, expect, it } from "vitest";
import {
    DEFAULT_TOLERATED_LOSSES,
    type GroupCondition,
    LeaveState,
    leaveState,
    MEMBER_SILENCE_MS,
    repairedMembers,
    requiredVoters,
    SUCCESSION_SILENCE_MS,
} from "../src/group-repair.js";

function condition(changes: Partial<GroupCondition> = {}): GroupCondition {
    return {
        joining: [],
        caughtUp: [],
        suspected: [],
        leaving: [],
        silentMs: new Map(),
        toleratedLosses: 0,
        ...changes,
    };
}

const three: Members = { voters: ["a", "b", "c"], learners: [] };

describe("repairedMembers", () => {
    // Guards against changes of a complete group.
    it("does not change a group whose members all answer", () => {
        expect(repairedMembers(three, condition())).toBeUndefined();
    });

    // Guards against a group that does not grow: of six control hosts, only the first three form the initial group.
    it("adds every host that asks to join, as a learner first, and promotes those that have caught up", () => {
        const joined = repairedMembers(three, condition({ joining: ["d"] }));
        expect(joined).toEqual({ voters: ["a", "b", "c"], learners: ["d"] });
        expect(repairedMembers({ voters: ["a", "b", "c"], learners: ["d"] }, condition({ caughtUp: [] })))
            .toBeUndefined();
        const caughtUp = ["d", "e", "f"];
        const fourth = repairedMembers({ voters: ["a", "b", "c"], learners: caughtUp }, condition({ caughtUp }));
        expect(fourth).toEqual({ voters: ["a", "b", "c", "d"], learners: ["e", "f"] });
        const fifth = repairedMembers(fourth ?? three, condition({ caughtUp }));
        expect(fifth).toEqual({ voters: ["a", "b", "c", "d", "e"], learners: ["f"] });
        expect(repairedMembers(fifth ?? three, condition({ caughtUp }))).toBeUndefined();
    });

    // Guards against a group that does not tolerate a second loss right after a replacement (replace_core).
    it("promotes the successor of a lost voter before that one is removed", () => {
        const members: Members = { voters: ["a", "b", "c"], learners: ["d"] };
        const lost = (silentMs: number) =>
            condition({ caughtUp: ["d"], suspected: ["c"], silentMs: new Map([["c", silentMs]]) });
        expect(repairedMembers(members, lost(SUCCESSION_SILENCE_MS - 1))).toBeUndefined();
        const first = repairedMembers(members, lost(SUCCESSION_SILENCE_MS));
        expect(first).toEqual({ voters: ["a", "b", "c", "d"], learners: [] });
        expect(repairedMembers(first ?? three, lost(SUCCESSION_SILENCE_MS - 1))).toBeUndefined();
        expect(repairedMembers(first ?? three, lost(SUCCESSION_SILENCE_MS))?.voters).toEqual(["a", "b", "d"]);
    });

    // Guards against entries that only the replaced voter and the next one to lose its disk have (CONFIG;
    // docs/incidents/review-12-gone-control-host.md).
    it("has one voter more than the tolerated losses need, and promotes beyond that to an odd number", () => {
        const caughtUp = ["d", "e", "f", "g"];
        const grown = (voters: readonly string[], toleratedLosses: number) =>
            repairedMembers(
                { voters, learners: caughtUp.filter(id => !voters.includes(id)).slice(0, 1) },
                condition({ caughtUp, toleratedLosses }),
            )?.voters.length;
        expect(grown(["a", "b", "c"], 1)).toBe(4);
        expect(grown(["a", "b", "c", "d"], 1)).toBe(5);
        expect(grown(["a", "b", "c", "d", "e"], 1)).toBeUndefined();
        expect(grown(["a", "b", "c", "d", "e"], 2)).toBe(6);
        expect(grown(["a", "b", "c", "d", "e", "f"], 2)).toBe(7);
    });

    // Guards against a group that shrinks until the losses to be borne take its majority (CONFIG;
    // docs/incidents/review-11-shrunk-control-group.md).
    it("keeps as many silent voters as the tolerated losses need", () => {
        const six = ["a", "b", "c", "d", "e", "f"];
        const twoSilent = condition({ silentMs: new Map([["e", 60_000], ["f", 60_000]]), toleratedLosses: 2 });
        const first = repairedMembers({ voters: six, learners: [] }, twoSilent);
        expect(first?.voters).toEqual(["a", "b", "c", "d", "f"]);
        expect(repairedMembers(first ?? three, twoSilent)).toBeUndefined();
        const leaving = condition({ leaving: ["a"], toleratedLosses: 2 });
        expect(repairedMembers({ voters: six, learners: [] }, leaving)?.voters.length).toBe(5);
        expect(
            repairedMembers({ voters: six.slice(1), learners: [] }, condition({ leaving: ["b"], toleratedLosses: 2 })),
        )
            .toBeUndefined();
    });

    it("keeps three voters where the settings name no losses", () => {
        expect(requiredVoters(DEFAULT_TOLERATED_LOSSES)).toBe(3);
    });

    // Guards against a wiped host that stays without a vote for as long as another one is down.
    it("promotes a learner to an odd number of voters although a voter may be lost", () => {
        const four: Members = { voters: ["a", "b", "c", "d"], learners: ["e"] };
        const next = repairedMembers(four, condition({ caughtUp: ["e"], suspected: ["d"], toleratedLosses: 2 }));
        expect(next?.voters).toEqual(["a", "b", "c", "d", "e"]);
    });

    // Guards against a group that lacks a voter, and does not bear the next loss, after a planned replacement (LOST;
    // docs/incidents/review-8-planned-replacement.md).
    it("replaces a voter that is about to stop by a learner that has caught up, which is promoted first", () => {
        const members: Members = { voters: ["a", "b", "c"], learners: ["d"] };
        expect(repairedMembers(members, condition({ leaving: ["b"] }))).toBeUndefined();
        const leaving = condition({ caughtUp: ["d"], leaving: ["b"] });
        const first = repairedMembers(members, leaving);
        expect(first).toEqual({ voters: ["a", "b", "c", "d"], learners: [] });
        const second = repairedMembers(first ?? three, leaving);
        expect(second).toEqual({ voters: ["a", "c", "d"], learners: [] });
        expect(repairedMembers(second ?? three, leaving)).toBeUndefined();
    });

    it("keeps a voter that is about to stop when nobody can replace it, or another one may be lost", () => {
        expect(repairedMembers(three, condition({ leaving: ["b"] }))).toBeUndefined();
        const members: Members = { voters: ["a", "b", "c"], learners: ["d"] };
        const isLosing = condition({ caughtUp: ["d"], suspected: ["c"], leaving: ["b"] });
        expect(repairedMembers(members, isLosing)).toBeUndefined();
        const twoLeave = condition({ caughtUp: ["d"], leaving: ["b", "d"] });
        expect(repairedMembers(members, twoLeave)).toEqual({ voters: ["a", "b", "c"], learners: [] });
    });

    it("tells a member that leaves whether to wait for its successor", () => {
        const requests = { joining: [], leaving: ["b"], toleratedLosses: 1 };
        expect(leaveState(three, true, "b", requests)).toBe(LeaveState.Unneeded);
        expect(leaveState(three, true, "b", { ...requests, joining: ["d"] })).toBe(LeaveState.Pending);
        const withLearner: Members = { voters: ["a", "b", "c"], learners: ["d"] };
        expect(leaveState(withLearner, true, "b", requests)).toBe(LeaveState.Pending);
        expect(leaveState(withLearner, true, "b", { ...requests, leaving: ["b", "d"] })).toBe(LeaveState.Unneeded);
        expect(leaveState({ voters: ["a", "b", "c", "d"], learners: [] }, true, "b", requests)).toBe(
            LeaveState.Pending,
        );
        const without: Members = { voters: ["a", "c", "d"], learners: [] };
        expect(leaveState(without, false, "b", requests)).toBe(LeaveState.Pending);
        expect(leaveState(without, true, "b", requests)).toBe(LeaveState.Left);
    });

    // Guards against a group that loses a host for good because it stood still for a moment and nobody can replace it.
    it("waits longer for a voter that no learner can replace", () => {
        const five: Members = { voters: ["a", "b", "c", "d", "e"], learners: [] };
        expect(repairedMembers(five, condition({ silentMs: new Map([["e", MEMBER_SILENCE_MS - 1]]) }))).toBeUndefined();
        expect(repairedMembers(five, condition({ silentMs: new Map([["e", MEMBER_SILENCE_MS]]) }))?.voters)
            .toEqual(["a", "b", "c", "d"]);
    });

    // Guards against a group of four that needs all three others because the fourth is lost but not yet removed.
    it("promotes no learner while a voter may be lost", () => {
        const members: Members = { voters: ["a", "b", "c"], learners: ["d"] };
        expect(repairedMembers(members, condition({ caughtUp: ["d"], suspected: ["c"] }))).toBeUndefined();
    });

    // Guards against a group of three that shrinks to two because one voter is temporarily isolated.
    it("removes no voter from a small group without a successor", () => {
        expect(repairedMembers(three, condition({ silentMs: new Map([["c", 60_000]]) }))).toBeUndefined();
    });

    // Guards against a larger group that tolerates fewer and fewer losses because lost hosts stay voters.
    it("removes silent voters of a larger group, as long as a majority of the rest answers", () => {
        const six: Members = { voters: ["a", "b", "c", "d", "e", "f"], learners: [] };
        const silentMs = new Map([["e", 4_000], ["f", 4_000]]);
        expect(repairedMembers(six, condition({ silentMs }))?.voters).toEqual(["a", "b", "c", "d", "f"]);
        const half = new Map([["d", 4_000], ["e", 4_000], ["f", 4_000]]);
        expect(repairedMembers(six, condition({ silentMs: half }))?.voters).toEqual(["a", "b", "c", "e", "f"]);
        const most = new Map([["c", 4_000], ["d", 4_000], ["e", 4_000], ["f", 4_000]]);
        expect(repairedMembers(six, condition({ silentMs: most }))).toBeUndefined();
    });

    // Guards against a wiped host that votes under its previous member id.
    it("removes the former member of a host that came back without its disk", () => {
        const wiped: Members = { voters: ["a", "b", "c"], learners: ["c#2"] };
        expect(repairedMembers(wiped, condition())).toEqual({ voters: ["a", "b"], learners: ["c#2"] });
    });
});
