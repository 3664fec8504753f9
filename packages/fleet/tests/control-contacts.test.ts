import type { HostList } from "@medlarledge/protocol";
import { expect, test } from "vitest";
import { ControlContacts } from "../src/control-contacts.js";

const SEEDS = ["s1", "s2"];

function list(term: number, index: number, control: readonly string[], isFromLeader = false): HostList {
    return { kind: "hostList", term, index, leader: control[0], control, entries: isFromLeader ? [] : undefined };
}

function wanted(contacts: ControlContacts, now: number, linked: readonly string[] = []): readonly string[] {
    return [...contacts.wanted(new Set(linked), SEEDS, now)].sort();
}

// Guards against an entry host that dials only control hosts that are gone, for ever (CONFIG).
test("without a confirmation for 1.5 s all listed control hosts and the seeds are wanted", () => {
    const contacts = new ControlContacts(() => 0);
    expect(wanted(contacts, 0)).toEqual(["s1", "s2"]);
    contacts.listed(list(1, 1, ["c1", "c2", "c3", "c4"]), 0);
    contacts.confirmed(100);
    expect(wanted(contacts, 1_599, ["c4"])).toEqual(["c1", "c2", "c4"]);
    expect(wanted(contacts, 1_600, ["c4"])).toEqual(["c1", "c2", "c3", "c4", "s1", "s2"]);
    contacts.confirmed(1_700);
    expect(wanted(contacts, 1_700, ["c4"])).toEqual(["c1", "c2", "c4"]);
});

// Guards against the list of a member that is behind, which names replaced control hosts in the term of the leader.
test("a list with older members replaces a newer one only if the leader sent it", () => {
    const contacts = new ControlContacts(() => 0);
    expect(contacts.listed(list(3, 20, ["c1", "c2"]), 0)).toBe(true);
    expect(contacts.listed(list(3, 10, ["old1", "old2"]), 0)).toBe(false);
    expect(contacts.listed(list(4, 10, ["old1", "old2"]), 0)).toBe(false);
    expect(contacts.listed(list(3, 20, []), 0)).toBe(false);
    expect(wanted(contacts, 0)).toEqual(["c1", "c2"]);
    expect(contacts.listed(list(3, 15, ["c1", "c3"], true), 0)).toBe(true);
    expect(contacts.listed(list(2, 30, ["c9"], true), 0)).toBe(false);
    expect(wanted(contacts, 0)).toEqual(["c1", "c3"]);
});

// Guards against a flood of requests while the control group is down, and against lists of hosts that are left behind.
test("lists are requested of other entry hosts twice a second while unconfirmed, and sent only while confirmed", () => {
    const contacts = new ControlContacts(() => 0);
    expect(contacts.mustRequestList(0)).toBe(false);
    contacts.listed(list(1, 1, ["c1"], true), 0);
    expect(contacts.listToForward(0)).toEqual(list(1, 1, ["c1"]));
    expect(contacts.mustRequestList(1_499)).toBe(false);
    const requests = Array.from({ length: 41 }, (_, step) => contacts.mustRequestList(1_500 + step * 50));
    expect(requests.filter(Boolean)).toHaveLength(5);
    expect(contacts.listToForward(1_500)).toBeUndefined();
});
