import { describe, expect, it } from "vitest";
import { createLog } from "../src/index.js";

describe("createLog", () => {
    it("writes one JSON object for each line and drops events below the level", () => {
        const lines: string[] = [];
        const log = createLog("a1", "warn", line => lines.push(line));
        log.event("hostStarted");
        log.event("peerRefused", { reason: "line\nbreak", size: 7 });
        expect(lines).toHaveLength(1);
        expect(lines[0]?.trimEnd()).not.toContain("\n");
        expect(JSON.parse(lines[0] ?? "")).toMatchObject({
            level: "warn",
            host: "a1",
            event: "peerRefused",
            reason: "line\nbreak",
            size: 7,
        });
    });
});
