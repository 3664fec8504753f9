import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { advanceTime, createTestGateway, read, type TestGateway } from "./test-gateway.js";

let fixture: TestGateway;

beforeEach(async () => {
    vi.useFakeTimers();
    fixture = createTestGateway({ share: 2 });
    await fixture.connect("confirm").execute(read("0"));
});

afterEach(() => {
    fixture.gateway.close("the test ends");
    vi.useRealTimers();
});

/** Probes an endpoint that has not answered for a while. */
async function probe(endpoint: string): Promise<void> {
    await advanceTime(1_000);
    void fixture.gateway.groups.get("orders")?.checkPrimary(endpoint);
    await advanceTime(400);
}

function primary(): string | undefined {
    return fixture.gateway.groups.get("orders")?.state.confirmedPrimary;
}

test("a probe that is refused as read-only shows that the endpoint is not the primary", async () => {
    expect(primary()).toBe("a");
    fixture.endpoints.promote("b");
    await probe("a");
    expect(primary()).not.toBe("a");
});

// Guards against a primary that counts as a replica since it failed one command: an error says nothing of its role.
test("a probe that fails for another reason changes nothing", async () => {
    fixture.endpoints.get("a").failingBegins = 1;
    await probe("a");
    expect(primary()).toBe("a");
});

// Guards against a replica that counts as the primary since the answer to the rollback is taken for that to the begin.
test("the answer to the end of a probe does not count as the answer to its beginning", async () => {
    fixture.endpoints.promote("b");
    await probe("a");
    fixture.endpoints.get("a").losesBegins = 1;
    await probe("a");
    expect(primary()).not.toBe("a");
});

// Guards against a primary that fails while all hosts restart and that nobody reports, so that it is never replaced
// (RECOVER; docs/incidents/review-7-primary-lost-with-restart.md).
test("a host reports an announced primary that it has never reached", async () => {
    const started = createTestGateway({ share: 2, host: "started-later", cut: ["a"] });
    const group = started.gateway.groups.get("orders");
    expect(group?.primaryState()).toBeUndefined();
    await advanceTime(2_000);
    expect(group?.primaryState()).toEqual({ endpoint: "a", term: 0, reachable: false });
    started.cut.clear();
    await advanceTime(2_000);
    expect(group?.primaryState()).toEqual({ endpoint: "a", term: 0, reachable: true });
    await started.connect("confirm").execute(read("1"));
    expect(group?.primaryState()).toMatchObject({ endpoint: "a", term: 1, reachable: true });
    started.gateway.close("the test ends");
});

test("a host does not report endpoints to which it has no connections of its own", async () => {
    const relaying = createTestGateway({ share: 0, host: "relaying", cut: ["a"] });
    await advanceTime(2_000);
    expect(relaying.gateway.groups.get("orders")?.primaryState()).toBeUndefined();
    relaying.gateway.close("the test ends");
});
