import type { HostList } from "@medlarledge/protocol";
import { expect, test } from "vitest";
import { HostListSchedule } from "../src/host-list-schedule.js";

function list(entries: number, leader = "c1"): HostList {
    const placements = Array.from({ length: entries }, (_, index) => ({ id: `h${index}`, dataCentre: "d1" }));
    return { kind: "hostList", term: 1, index: 1, leader, control: ["c1", "c2"], entries: placements };
}

// Pattern: 38 hosts join one after the other. Guards against a list to all hosts for each of them.
test("hosts that join within half a second are announced together", () => {
    const schedule = new HostListSchedule();
    expect(schedule.isDue(list(195), 1_000)).toBe(true);
    const sent = Array.from({ length: 38 }, (_, index) => schedule.isDue(list(196 + index), 1_050 + index * 50));
    expect(sent.filter(Boolean).length).toBeLessThanOrEqual(4);
    expect(schedule.isDue(list(233), 4_000)).toBe(true);
});

// Guards against hosts that ask a former leader for leases.
test("a new leader is announced at once, and an unchanged list is not sent again", () => {
    const schedule = new HostListSchedule();
    expect(schedule.isDue(list(195), 1_000)).toBe(true);
    expect(schedule.isDue(list(195, "c2"), 1_010)).toBe(true);
    expect(schedule.isDue(list(195, "c2"), 9_000)).toBe(false);
});
