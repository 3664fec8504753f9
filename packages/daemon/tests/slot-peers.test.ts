import type { Host } from "@medlarledge/protocol";
import { describe, expect, it } from "vitest";
import { SlotPeers } from "../src/slot-peers.js";

function host(id: string, incarnation = "1"): Host {
    const address = "127.0.0.1:1";
    const addresses = { peerAddress: address, httpAddress: address, callerAddress: address };
    return { id, incarnation, dataCentre: "a", control: false, ...addresses };
}

describe("SlotPeers", () => {
    it("is complete after a host left in order", () => {
        const peers = new SlotPeers();
        peers.changed([host("a"), host("b")], [host("b")], 1);
        expect(peers.complete()).toEqual(["b 1"]);
    });

    // Their statements may still run, so a keeper that counted only the present hosts could grant a slot twice.
    it("is not complete while a host is silent, or when one came back as another process", () => {
        const peers = new SlotPeers();
        peers.changed([host("a"), host("b")], [host("b")], 2);
        expect(peers.complete()).toBeUndefined();
        peers.changed([host("a"), host("b")], [host("a", "2"), host("b")], 2);
        expect(peers.complete()).toBeUndefined();
    });
});
