import { EndpointState } from "@medlarledge/protocol";
import { ErrorCode } from "@medlarledge/statements";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import type { Gateway } from "../src/index.js";
import { FakeEndpoints } from "./fake-endpoints.js";
import { advanceTime, begin, commit, createTestGateway, IDS, read, type TestGateway, write } from "./test-gateway.js";

const DRAIN_MS = 7_000;

let fixture: TestGateway;

beforeEach(() => {
    vi.useFakeTimers();
    fixture = createTestGateway({ drainMs: DRAIN_MS });
});

afterEach(() => {
    fixture.gateway.close("the test ends");
    vi.useRealTimers();
});

function leaving(leavingMs: number | undefined) {
    return { state: EndpointState.Leaving, leavingMs };
}

/** Sends a write every 100 ms for `forMs`. Returns how many ms after the call the last one ran. */
async function lastWriteMs(forMs: number): Promise<number> {
    const startedAt = performance.now();
    const caller = fixture.connect("confirm");
    let lastAt = startedAt;
    while (performance.now() - startedAt < forMs) {
        const { completion } = await caller.execute(write("1"));
        if (completion.kind === "done") {
            lastAt = performance.now();
        }
        await advanceTime(100);
    }
    return lastAt - startedAt;
}

// Guards against statements that reach a leaving primary until it ends because nothing replaces it (DRAIN;
// docs/incidents/leaving-primary-without-successor.md).
test("a primary that leaves is used until its time to serve ends, and no longer", async () => {
    await fixture.connect("confirm").execute(write("0"));
    fixture.announce({ a: leaving(0) });
    const lastMs = await lastWriteMs(DRAIN_MS + 2_000);
    expect(lastMs).toBeLessThan(DRAIN_MS);
    expect(lastMs).toBeGreaterThan(DRAIN_MS / 2);
});

// Guards against a host that starts while an endpoint leaves and gives it the whole time once more.
test("the time for which an endpoint had been leaving when a host learned of it counts", async () => {
    await fixture.connect("confirm").execute(write("0"));
    fixture.announce({ a: leaving(DRAIN_MS - 1_500) });
    expect(await lastWriteMs(3_000)).toBeLessThan(1_500);
});

// Guards against callers that wait until their deadline for a primary that has left without a successor.
test("a request for a primary whose time to serve has ended is refused at once", async () => {
    const caller = fixture.connect("confirm");
    await caller.execute(write("0"));
    fixture.announce({ a: leaving(DRAIN_MS) });
    await advanceTime(2_000);
    const startedAt = performance.now();
    const { completion } = await caller.execute(write("1"));
    expect(completion).toMatchObject({ kind: "error", code: ErrorCode.Busy });
    expect(performance.now() - startedAt).toBeLessThan(100);
    expect(fixture.endpoints.ran.filter(({ text }) => text === "WRITE 1 data")).toEqual([]);
});

// Guards against a primary that is given up for good because it once announced that it leaves.
test("the successor of a leaving primary is used as soon as it is the primary", async () => {
    const caller = fixture.connect("confirm");
    await caller.execute(write("0"));
    fixture.announce({ a: leaving(DRAIN_MS) });
    await advanceTime(1_000);
    fixture.gateway.ordered({ group: "orders", endpoint: "b", fence: 1 });
    fixture.endpoints.promote("b");
    fixture.announce({ a: leaving(DRAIN_MS + 1_000) });
    await advanceTime(200);
    expect((await caller.execute(write("1"))).completion).toEqual({ kind: "done", signature: "signed by b" });
});

// Guards against an order that waits for a connection and is sent although the endpoint's time has ended meanwhile.
test("an order that waits when the time to serve ends is not sent", async () => {
    fixture.gateway.close("replaced");
    fixture = createTestGateway({ drainMs: DRAIN_MS, share: 1 });
    const callers = [fixture.connect("confirm"), fixture.connect("confirm")];
    await callers[0]?.execute(write("0"));
    fixture.announce({ a: leaving(DRAIN_MS - 1_100) });
    fixture.endpoints.get("a").serviceMs = 300;
    const running = callers[0]?.send(write("running"));
    await advanceTime(10);
    const waiting = callers[1]?.send(write("waiting"));
    await advanceTime(2_000);
    expect((await running)?.completion.kind).toBe("done");
    expect((await waiting)?.completion).toMatchObject({ kind: "error", code: ErrorCode.Busy });
    expect(fixture.endpoints.ran.some(({ text }) => text.includes("waiting"))).toBe(false);
});

// Guards against a statement of an open transaction that is refused although its endpoint still serves it.
test("an open transaction on a leaving endpoint may end", async () => {
    const caller = fixture.connect("confirm");
    await caller.execute(begin);
    await caller.execute(write("1"));
    fixture.announce({ a: leaving(DRAIN_MS) });
    await advanceTime(100);
    await caller.execute(write("2"));
    expect((await caller.execute(commit)).completion.kind).toBe("done");
});

// Guards against work that a host which has not heard of the departure sends over the connections of another one.
test("a host with connections sends a leaving endpoint no relayed work after its time to serve", async () => {
    const endpoints = new FakeEndpoints(IDS);
    const peers = new Map<string, Gateway>();
    const holder = createTestGateway({ endpoints, peers, host: "holder", drainMs: DRAIN_MS });
    const other = createTestGateway({ endpoints, peers, host: "other", share: 0, drainMs: DRAIN_MS });
    const caller = other.connect("confirm");
    expect((await caller.execute(read("0"))).completion.kind).toBe("done");
    holder.announce({ a: leaving(DRAIN_MS) });
    const { completion } = await caller.execute(write("1"));
    expect(completion).toMatchObject({ kind: "error", code: ErrorCode.Busy });
    expect(endpoints.ran.map(({ text }) => text)).toEqual(["READ 0"]);
    holder.gateway.close("the test ends");
    other.gateway.close("the test ends");
});
