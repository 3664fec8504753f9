import { type ControlMessage, encodeMessage } from "@medlarledge/protocol";
import { expect, test } from "vitest";
import { ServiceReporter } from "../src/service-reporter.js";

const CONTROL = ["control-1", "control-2", "control-3"];
const LIMIT_BYTES_PER_SECOND = 13_000;

interface Sent {
    readonly to: string;
    readonly message: Extract<ControlMessage, { kind: "serviceCounts"; }>;
}

/** Serves every database each second; every batch is acknowledged at once unless `answers` is false. */
function serve(databases: number, seconds: number, answers = true): readonly Sent[] {
    const sent: Sent[] = [];
    const reporter = new ServiceReporter(CONTROL, (to, message) => {
        if (message.kind === "serviceCounts") {
            sent.push({ to, message });
        }
        return true;
    });
    for (let second = 1; second <= seconds; second++) {
        for (let index = 0; index < databases; index++) {
            reporter.add(`database-${String(index).padStart(3, "0")}`, { requests: 5, worth: 5, worthInTime: 5 });
        }
        reporter.tick(second * 1_000, second * 1_000);
        if (answers) {
            sent.forEach(({ to, message }) => reporter.acknowledged(to, message.sequence));
        }
    }
    return sent;
}

// Guards against counts that take more than the whole share of bytes that a node may spend on control.
test("counts of 640 databases stay below the limit for control", () => {
    const seconds = 300;
    const bytes = serve(640, seconds).reduce((sum, { message }) => sum + encodeMessage(message).byteLength, 0);
    expect(bytes).toBeGreaterThan(0);
    expect(bytes / seconds).toBeLessThan(LIMIT_BYTES_PER_SECOND);
});

// Guards against the longer interval for a small installation, whose burn report follows the traffic within 10 s.
test("counts of a few databases leave every 10 s", () => {
    expect(serve(3, 60).filter(({ to }) => to === "control-1")).toHaveLength(6);
});

// Guards against a backlog without end for a control host that never acknowledges, and against one that forgets early.
test("unacknowledged batches are kept for an hour", () => {
    const hour = 3_600;
    const sent = serve(1, 2 * hour, false).filter(({ to }) => to === "control-1");
    const last = sent.slice(sent.findLastIndex(({ message }) => message.sequence === 720) - 359);
    expect(last).toHaveLength(360);
    expect(last[0]?.message.at).toBe((hour + 10) * 1_000);
});
