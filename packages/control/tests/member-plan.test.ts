import type { Members } from "@medlarledge/protocol";
import { describe, expect, it } from "vitest";
import { nextMembers } from "../src/member-plan.js";

const listed = ["a1", "b1", "c1"];

describe("nextMembers", () => {
    it("replaces a wiped voter in single steps that never leave a host with a vote it may have given before", () => {
        let members: Members = { voters: ["a1", "b1", "c1"], learners: [] };
        const steps: Members[] = [];
        for (let step = 0; step < 10; step++) {
            const caughtUp = members.learners;
            const next = nextMembers(members, { joining: ["b1#2"], caughtUp, listed });
            if (next === undefined) {
                break;
            }
            steps.push(next);
            members = next;
        }
        expect(steps).toEqual([
            { voters: ["a1", "b1", "c1"], learners: ["b1#2"] },
            { voters: ["a1", "c1"], learners: ["b1#2"] },
            { voters: ["a1", "c1", "b1#2"], learners: [] },
        ]);
    });

    it("does not promote a learner that has not caught up", () => {
        const members: Members = { voters: ["a1", "c1"], learners: ["b1#2"] };
        expect(nextMembers(members, { joining: ["b1#2"], caughtUp: [], listed })).toBeUndefined();
    });

    it("drops the learner of a host that was wiped a second time", () => {
        const members: Members = { voters: ["a1", "c1"], learners: ["b1#2"] };
        const next = nextMembers(members, { joining: ["b1#3"], caughtUp: [], listed });
        expect(next).toEqual({ voters: ["a1", "c1"], learners: ["b1#3"] });
    });

    // A group of four with one lost voter needs all three others; a second loss of the same disk would end its quorum.
    it("never has more voters than control hosts while a voter is replaced", () => {
        const members: Members = { voters: listed, learners: ["b1#2"] };
        const next = nextMembers(members, { joining: ["b1#2"], caughtUp: ["b1#2"], listed });
        expect(next).toEqual({ voters: ["a1", "c1"], learners: ["b1#2"] });
    });

    it("ignores a host that is not listed and never removes the last voter", () => {
        expect(nextMembers({ voters: ["a1"], learners: [] }, { joining: ["x1"], caughtUp: [], listed }))
            .toBeUndefined();
        expect(nextMembers({ voters: ["x1"], learners: [] }, { joining: [], caughtUp: [], listed })).toBeUndefined();
    });
});
