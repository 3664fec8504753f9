import { ControlLeader, ControlState } from "@medlarledge/control";
import { decodeMessage, type Host, type Message } from "@medlarledge/protocol";
import { expect, test } from "vitest";
import { encodeShared } from "../src/shared-encoding.js";

function host(id: string): Host {
    const address = "127.0.0.1:1";
    const addresses = { peerAddress: address, httpAddress: address, callerAddress: address };
    return { id, incarnation: "1", dataCentre: "mechelen", ...addresses, control: false };
}

// Guards against sending the bytes of an earlier message for a later one.
test("each message has its own bytes, and the same object is encoded only once", () => {
    const first: Message = { kind: "revoke", database: "orders", term: 3 };
    const second: Message = { kind: "revoke", database: "orders", term: 4 };
    const bytes = encodeShared(first);
    expect(encodeShared(first)).toBe(bytes);
    expect(decodeMessage(encodeShared(second))).toEqual({ ok: true, message: second });
    expect(decodeMessage(encodeShared(first))).toEqual({ ok: true, message: first });
});

// Guards against encoding the configuration for each host separately: 550 times took longer than a lease.
test("the leader sends the same configuration message to every host", () => {
    const state = new ControlState();
    const leader = new ControlLeader(state, {
        hostId: "mechelen-1",
        leaseMs: 400,
        driftMarginMs: 20,
        stepDownMs: 300,
        confirmMs: 150,
        promoteTimeoutMs: 2_000,
        readingTimeoutMs: 150,
        validate: () => [],
        durability: () => "primary",
    });
    leader.handle({ kind: "elected" }, 0, 0, 0);
    const open = { kind: "openLeadership", host: "mechelen-1", at: 0 } as const;
    leader.handle({ kind: "applied", command: open, result: state.apply(open) }, 0, 0, 0);
    for (const id of ["a", "b", "c"]) {
        leader.handle({ kind: "hostConnected", host: host(id) }, 0, 0, 0);
    }
    const files = [{ name: "00.jsonc", text: '{ "number": 1 }' }];
    const change = { number: 1, digest: "0".repeat(64), operator: "test", files };
    const command = { kind: "changeConfiguration", change, at: 0 } as const;
    const effects = leader.handle({ kind: "applied", command, result: state.apply(command) }, 1, 1, 1);
    const sent = effects.flatMap(effect => effect.kind === "send" ? [effect.message] : []);
    expect(sent).toHaveLength(3);
    expect(new Set(sent).size).toBe(1);
});
