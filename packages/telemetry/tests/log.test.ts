import { describe, expect, it } from "vitest";
import { createLog, type LogFields } from "../src/index.js";

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

    // Guards against lines that name another host and sequence than their own, which no reader could put in order.
    it("lets no field replace the head of a line", () => {
        const lines: string[] = [];
        const log = createLog("a1", "info", line => lines.push(line));
        const fields = { host: "10.0.0.1", sequence: 40 } as unknown as LogFields;
        log.event("hostStarted", fields);
        expect(JSON.parse(lines[0] ?? "")).toMatchObject({ host: "a1", sequence: 1 });
    });
});
