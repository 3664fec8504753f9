import type { HostList } from "@medlarledge/protocol";
import { expect, test } from "vitest";
import { ControlContacts } from "../src/control-contacts.js";

const SEEDS = ["s1", "s2"];

function list(term: number, index: number, control: readonly string[], isFromLeader = false): HostList {
    return { kind: "hostList", term, index, leader: control[0], control, entries: isFromLeader ? [] : undefined };
}

function wanted(contacts: ControlContacts): readonly string[] {
    return [...contacts.wanted(new Set(), SEEDS)].sort();
}

// Guards against the list of a member that is behind, which names replaced control hosts in the term of the leader.
test("a list with older members replaces a newer one only if the leader sent it", () => {
    const contacts = new ControlContacts(() => 0);
    expect(contacts.listed(list(3, 20, ["c1", "c2"]))).toBe(true);
    expect(contacts.listed(list(3, 10, ["old1", "old2"]))).toBe(false);
    expect(contacts.listed(list(4, 10, ["old1", "old2"]))).toBe(false);
    expect(contacts.listed(list(3, 20, []))).toBe(false);
    expect(wanted(contacts)).toEqual(["c1", "c2"]);
    expect(contacts.listed(list(3, 15, ["c1", "c3"], true))).toBe(true);
    expect(contacts.listed(list(2, 30, ["c9"], true))).toBe(false);
    expect(wanted(contacts)).toEqual(["c1", "c3"]);
});
