import { afterEach, beforeEach, expect, test, vi } from "vitest";
import type { Gateway } from "../src/index.js";
import { FakeEndpoints } from "./fake-endpoints.js";
import { advanceTime, createTestGateway, IDS, read, type TestGateway } from "./test-gateway.js";

const peers = new Map<string, Gateway>();
let holder: TestGateway;
let other: TestGateway;

beforeEach(() => {
    vi.useFakeTimers();
    const endpoints = new FakeEndpoints(IDS);
    holder = createTestGateway({ endpoints, peers, host: "holder", share: 1 });
    other = createTestGateway({ endpoints, peers, host: "other", share: 0 });
});

afterEach(() => {
    holder.gateway.close("the test ends");
    other.gateway.close("the test ends");
    peers.clear();
    vi.useRealTimers();
});

/** Lets a caller of `host` leave while its read waits behind another one. Returns the texts that the endpoints ran. */
async function runWithLeaver(host: TestGateway): Promise<readonly string[]> {
    await holder.connect("confirm").execute(read("0"));
    holder.endpoints.get("a").serviceMs = 100;
    void holder.connect("confirm").send(read("running"));
    await advanceTime(5);
    const leaver = host.connect("confirm");
    void leaver.send(read("left"));
    const stayer = host.connect("confirm").send(read("stays"));
    await advanceTime(20);
    leaver.leave();
    await advanceTime(400);
    await stayer;
    return holder.endpoints.ran.map(({ text }) => text);
}

// Guards against work for callers that have left (a fifth of them before half of their target), which takes the place
// of work for callers that wait.
test("the waiting read of a caller that has left does not run", async () => {
    const ran = await runWithLeaver(holder);
    expect(ran).not.toContain("READ left");
    expect(ran).toContain("READ stays");
    expect(holder.events.some(event => event.kind === "notServed" && event.cause === "callerLeft")).toBe(true);
});

// Guards against the same at the host with the connections, which does not see the caller leave.
test("the relayed read of a caller that has left is removed at the other host", async () => {
    const ran = await runWithLeaver(other);
    expect(ran).not.toContain("READ left");
    expect(ran).toContain("READ stays");
});
