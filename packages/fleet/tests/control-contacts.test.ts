import type { HostList } from "@medlarledge/protocol";
import { expect, test } from "vitest";
import { ControlContacts } from "../src/control-contacts.js";

const SEEDS = ["s1", "s2"];
const FOUR = ["c1", "c2", "c3", "c4"];
const TICK_MS = 50;

function list(term: number, index: number, control: readonly string[], isFromLeader = false): HostList {
    return { kind: "hostList", term, index, leader: control[0], control, entries: isFromLeader ? [] : undefined };
}

function wanted(contacts: ControlContacts, linked: readonly string[] = []): readonly string[] {
    return [...contacts.wanted(new Set(linked), SEEDS)].sort();
}

/** Returns the hosts that are tried at a time; none unless a search has to go on then. */
function searched(contacts: ControlContacts, now: number, linked: readonly string[] = []): readonly string[] {
    return contacts.mustSearch(now) ? [...contacts.searched(new Set(linked), SEEDS)].sort() : [];
}

function confirm(contacts: ControlContacts, now: number): void {
    contacts.tick(now);
    contacts.heard(now);
    contacts.newestInForce();
}

// Guards against an entry host that dials only control hosts that are gone, for ever (CONFIG).
test("without a confirmation for 1.5 s all listed control hosts and the seeds are tried", () => {
    const contacts = new ControlContacts(() => 0);
    expect(wanted(contacts)).toEqual(["s1", "s2"]);
    contacts.listed(list(1, 1, FOUR), 0);
    expect(wanted(contacts, ["c4"])).toEqual(["c1", "c2", "c4"]);
    expect(searched(contacts, 1_499)).toEqual([]);
    expect(searched(contacts, 1_500, ["c4"])).toEqual(["c1", "c2", "c3", "s1", "s2"]);
    confirm(contacts, 1_600);
    expect(searched(contacts, 3_099)).toEqual([]);
    expect(searched(contacts, 3_100)).toEqual([...FOUR, "s1", "s2"]);
});

// Guards against a host that stays behind although it has heard of a newer configuration (CONFIG).
test("nothing is confirmed until the newest configuration is in force", () => {
    const contacts = new ControlContacts(() => 0);
    contacts.tick(0);
    contacts.heard(0);
    expect(contacts.isConfirmed(0)).toBe(false);
    contacts.newestInForce();
    expect(contacts.isConfirmed(0)).toBe(true);
});

// Guards against a host that was frozen and takes confirmations that waited for it for present ones (CONFIG).
test("confirmations that are read just after a stall do not count", () => {
    const contacts = new ControlContacts(() => 0);
    confirm(contacts, 0);
    contacts.heard(20_000);
    contacts.newestInForce();
    expect(contacts.isConfirmed(20_000)).toBe(false);
    confirm(contacts, 20_050);
    expect(contacts.isConfirmed(20_050)).toBe(false);
    for (let now = 20_100; now < 20_600; now += TICK_MS) {
        confirm(contacts, now);
    }
    expect(contacts.isConfirmed(20_600)).toBe(true);
});

// Guards against the list of a member that is behind, which names replaced control hosts in the term of the leader.
test("older members replace newer ones only if the leader names them", () => {
    const contacts = new ControlContacts(() => 0);
    expect(contacts.listed(list(3, 20, ["c1", "c2"]), 0)).toBe(true);
    expect(contacts.listed(list(3, 20, ["c1", "c2"]), 0)).toBe(false);
    expect(contacts.listed({ ...list(3, 10, ["old1", "old2"]), leader: "c1" }, 0)).toBe(false);
    expect(contacts.listed(list(3, 30, []), 0)).toBe(false);
    expect(wanted(contacts)).toEqual(["c1", "c2"]);
    expect(contacts.listed(list(3, 15, ["c1", "c3"], true), 0)).toBe(true);
    expect(contacts.listed(list(2, 30, ["c9"], true), 0)).toBe(false);
    expect(wanted(contacts)).toEqual(["c1", "c3"]);
});

// Guards against a host that goes on asking a former leader because a new one is named with an older index.
test("the leader of a newer term is taken from a list with older members", () => {
    const contacts = new ControlContacts(() => 0);
    contacts.listed(list(5, 1_000, ["c1", "c2"]), 0);
    expect(contacts.listed(list(6, 20, ["c2", "c3"]), 0)).toBe(true);
    expect(contacts).toMatchObject({ leader: "c2", term: 6, hosts: ["c1", "c2"] });
    expect(wanted(contacts)).toEqual(["c1", "c2"]);
});

// Guards against links to all control hosts that stay open after each time without a leader.
test("links that were needed for a search only are closed after 10 s of confirmations", () => {
    const contacts = new ControlContacts(() => 0);
    contacts.listed(list(1, 1, FOUR), 0);
    const surplus = Array.from({ length: 205 }, (_, step) => {
        confirm(contacts, step * TICK_MS);
        return contacts.surplus(new Set([...FOUR, "s1"]), step * TICK_MS);
    });
    expect(surplus.slice(0, 200).flat()).toEqual([]);
    expect(surplus.at(-1)).toEqual(["c4", "s1"]);
});

// Guards against a flood of attempts while the control group is down, and against lists of hosts that are left behind.
test("a search makes two attempts a second, and a list is sent only while confirmed", () => {
    const contacts = new ControlContacts(() => 0);
    expect(contacts.mustSearch(0)).toBe(false);
    contacts.listed(list(1, 1, ["c1"], true), 0);
    expect(contacts.listToForward(0)).toBeUndefined();
    confirm(contacts, 0);
    expect(contacts.listToForward(0)).toEqual(list(1, 1, ["c1"]));
    expect(contacts.mustSearch(1_499)).toBe(false);
    const attempts = Array.from({ length: 41 }, (_, step) => contacts.mustSearch(1_500 + step * TICK_MS));
    expect(attempts.filter(Boolean)).toHaveLength(5);
    expect(contacts.listToForward(1_500)).toBeUndefined();
});
