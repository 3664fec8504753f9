import { type Message, NO_ENDPOINT } from "@medlarledge/protocol";
import { expect, test } from "vitest";
import { LeaseHolder } from "../src/lease-holder.js";
import { HOST_LEASE } from "../src/lease-timing.js";
import { isLeasedGroup } from "../src/leased-groups.js";

const self = {
    id: "e1",
    incarnation: "1",
    dataCentre: "ams",
    peerAddress: "e1",
    httpAddress: "",
    callerAddress: "",
    control: false,
};

/** A holder where only the group "orders" needs a lease, with what it sent to the leader. */
function createHolder({ isNeeded = true } = {}) {
    let now = 1_000;
    const sent: Message[] = [];
    const holder = new LeaseHolder({
        self,
        clock: { now: () => now, wallClock: () => now },
        sendToLeader: message => sent.push(message) > 0,
        sendToOthers: () => undefined,
        isLeased: group => group === "orders",
        isNeeded: () => isNeeded,
    });
    const grant = (): void => {
        now += HOST_LEASE.renewMs;
        holder.tick();
        const renewal = sent.findLast(message => message.kind === "renewLease");
        holder.granted({ kind: "leaseGranted", sequence: renewal?.sequence ?? 0, durationMs: HOST_LEASE.leaseMs });
    };
    return { holder, sent, grant };
}

// Guards against commits that are acknowledged while control reads the replicas' positions (LOST;
// docs/incidents/review-14-commits-after-the-choice.md).
test("a suspended primary is neither used nor are its answers passed on, until an order names it again", () => {
    const { holder, sent, grant } = createHolder();
    expect(holder.mayUse("orders", "a")).toBe(false);
    grant();
    expect(holder.mayUse("orders", "a")).toBe(true);
    holder.started("orders");
    holder.ordered([{ group: "orders", endpoint: NO_ENDPOINT, fence: 7 }]);
    expect(holder.mayUse("orders", "a")).toBe(false);
    expect(holder.mayAcknowledge("orders", "a"), "an answer that is outstanding").toBe(true);
    expect(sent.some(({ kind }) => kind === "revoked")).toBe(false);
    holder.ended("orders");
    expect(sent.at(-1)).toEqual({ kind: "revoked", database: "orders", term: 7 });
    expect(holder.mayAcknowledge("orders", "a")).toBe(false);
    holder.ordered([{ group: "orders", endpoint: "a", fence: 8 }]);
    expect(holder.mayUse("orders", "a")).toBe(true);
});

// Guards against groups that pay for leases, or depend on control, although nothing of theirs needs them.
test("a group that needs no lease is used without one, whatever orders say, and without one nothing is sent", () => {
    const { holder, sent } = createHolder({ isNeeded: false });
    holder.tick();
    holder.ordered([{ group: "stock", endpoint: "b", fence: 7 }]);
    expect(holder.mayUse("stock", "a")).toBe(true);
    expect(holder.mayAcknowledge("stock", "a")).toBe(true);
    expect(holder.isSuperseded("stock", "a")).toBe(false);
    expect(holder.lapsedMs).toBe(0);
    expect(sent).toEqual([]);
});

test("leases are needed where former primaries go on committing, and where replicas acknowledge commits", () => {
    const settings = (syncReplicas: number) => ({ connections: 16, syncReplicas });
    expect(isLeasedGroup(settings(0), true)).toBe(false);
    expect(isLeasedGroup(settings(1), true)).toBe(true);
    expect(isLeasedGroup(settings(0), false)).toBe(true);
    expect(isLeasedGroup(undefined, true)).toBe(false);
});
