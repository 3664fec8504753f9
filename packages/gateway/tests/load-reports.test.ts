import type { RelayMessage } from "@medlarledge/protocol";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import type { Gateway } from "../src/index.js";
import { FakeEndpoints } from "./fake-endpoints.js";
import { advanceTime, createTestGateway, IDS, read, type TestGateway } from "./test-gateway.js";

beforeEach(() => vi.useFakeTimers());
afterEach(() => vi.useRealTimers());

/** Runs reads over a relay, and returns the messages between the hosts and the probes at the endpoints. */
async function relayedReads(usesLoadReports: boolean): Promise<readonly RelayMessage[]> {
    const endpoints = new FakeEndpoints(IDS);
    const peers = new Map<string, Gateway>();
    const messages: RelayMessage[] = [];
    const common = { endpoints, peers, usesLoadReports, sent: (message: RelayMessage) => messages.push(message) };
    const holder: TestGateway = createTestGateway({ ...common, host: "holder" });
    const other: TestGateway = createTestGateway({ ...common, host: "other", share: 0 });
    const caller = other.connect("stock");
    for (let count = 0; count < 20; count++) {
        await caller.execute(read(String(count)));
        await advanceTime(20);
    }
    holder.gateway.close("the test ends");
    other.gateway.close("the test ends");
    vi.clearAllTimers();
    return messages;
}

// Guards against load reports that cost messages of their own.
test("load reports ride on the results of relayed orders and add no message", async () => {
    const without = await relayedReads(false);
    const messages = await relayedReads(true);
    expect(messages.length).toBe(without.length);
    const results = messages.filter(message => message.kind === "relayResult");
    expect(results.length).toBeGreaterThan(0);
    expect(results.every(result => result.load !== undefined)).toBe(true);
    expect(without.every(message => message.kind !== "relayResult" || message.load === undefined)).toBe(true);
});
