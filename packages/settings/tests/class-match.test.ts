import { describe, expect, it } from "vitest";
import { ClassMatcher, mergeFolder } from "../src/index.js";

function matcher(classes: unknown): ClassMatcher {
    const merged = mergeFolder([{
        name: "a.json",
        text: JSON.stringify({ number: 1, databases: { seats: {}, fees: { defaultClass: "charge" } }, classes }),
    }]);
    if (!merged.ok) {
        throw new Error(merged.findings.map(finding => finding.text).join());
    }
    return new ClassMatcher(merged.configuration);
}

describe("ClassMatcher", () => {
    const classes = {
        browse: { worth: 2, ageMs: 5_000, match: { databases: ["seats"] } },
        claim: { worth: 50, match: { databases: ["seats"], comment: { action: "claim" } } },
        charge: { worth: 80 },
    };

    it("takes the most specific class that matches, so that a claim is not shed as mere browsing", () => {
        const found = matcher(classes).classFor("seats", "web", "site", { action: "claim" });
        expect(found.name).toBe("claim");
        expect(matcher(classes).classFor("seats", "web", "site", {}).name).toBe("browse");
    });

    it("falls back to the database's default class and never applies a class without conditions by itself", () => {
        expect(matcher(classes).classFor("fees", "web", "", {}).name).toBe("charge");
        expect(matcher({ charge: {} }).classFor("seats", "web", "", {}).name).toBe("default");
    });
});
