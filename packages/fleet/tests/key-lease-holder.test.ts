import type { FreshnessRequest, Host, Message } from "@medlarledge/protocol";
import { beforeEach, expect, test } from "vitest";
import { KeyLeaseHolder } from "../src/key-lease-holder.js";

const SELF: Host = {
    id: "entry",
    incarnation: "2",
    dataCentre: "antwerp",
    peerAddress: "",
    httpAddress: "",
    callerAddress: "",
    control: false,
};

let now: number;
let wallClock: number;
let sent: (readonly [string, Message])[];
let linked: Set<string>;
let holder: KeyLeaseHolder;

beforeEach(() => {
    [now, wallClock, sent, linked] = [0, 0, [], new Set(["leader", "follower"])];
    holder = new KeyLeaseHolder({
        self: SELF,
        clock: { now: () => now, wallClock: () => wallClock },
        revocationMs: 5_000,
        leader: () => "leader",
        control: () => [...linked].map(id => ({ ...SELF, id, control: true })),
        send: (host, message) => linked.has(host) && sent.push([host, message]) > 0,
        sendToOthers: message => sent.push(["others", message]),
    });
});

/** Answers the latest question as the leader does. */
function answer(incarnation = SELF.incarnation): void {
    const { sequence } = sent.at(-1)?.[1] as FreshnessRequest;
    holder.answered({ kind: "freshnessAnswer", host: SELF.id, incarnation, sequence, number: 1 });
}

function pass(ms: number): void {
    now += ms;
    wallClock += ms;
    holder.tick();
}

// Guards against messages, and refused callers, in a deployment without customers.
test("nothing is asked or refused while the configuration has no customers", () => {
    holder.configured(1, false);
    pass(10_000);
    expect(sent).toEqual([]);
    expect([holder.acceptsKeys(), holder.endsWithin(2_300)]).toEqual([true, false]);
});

// Guards against a lease that ends because the link to the leader is lost or carries messages in one direction only.
test("the leader is asked first, other hosts if it is not linked or has not answered", () => {
    holder.configured(1, true);
    expect(sent.map(([host]) => host)).toEqual(["leader"]);
    pass(500);
    expect(sent.slice(1).map(([host]) => host)).toEqual(["leader", "follower", "others"]);
    answer();
    linked.delete("leader");
    pass(500);
    expect(sent.slice(4).map(([host]) => host)).toEqual(["follower"]);
});

// Guards against a restarted host that takes an answer to a question of its former process.
test("an answer to another process is not used", () => {
    holder.configured(1, true);
    answer("1");
    expect(holder.acceptsKeys()).toBe(false);
    answer();
    expect(holder.acceptsKeys()).toBe(true);
});

// Guards against a lease that outlasts a suspension, during which the steady clock stops.
test("the lease ends during a suspension, and the host is not ready before that", () => {
    holder.configured(1, true);
    answer();
    wallClock += 2_400;
    expect([holder.acceptsKeys(), holder.endsWithin(2_300)]).toEqual([true, false]);
    wallClock += 200;
    expect([holder.acceptsKeys(), holder.endsWithin(2_300)]).toEqual([true, true]);
    wallClock += 2_200;
    expect(holder.acceptsKeys()).toBe(false);
});
