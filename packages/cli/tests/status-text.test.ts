import { OPERATOR_PAGES } from "@medlarledge/control";
import { describe, expect, it } from "vitest";
import { renderStatus } from "../src/status-text.js";

describe("renderStatus", () => {
    it("prints a problem's page as the path that exists, not with the folder and the ending twice", () => {
        const text = renderStatus({
            leader: "a1",
            leadingMs: 0,
            deciding: false,
            databases: [],
            hosts: [],
            silentHosts: [],
            configuration: undefined,
            problems: [{ text: "No leader decides.", page: OPERATOR_PAGES.Control }],
        });
        expect(text).toContain("- No leader decides.\n  see docs/operators/control-unavailable.md\n");
    });
});
