import type { GatewayEvent } from "@medlarledge/gateway";
import { MetricsPage } from "@medlarledge/telemetry";
import { expect, test } from "vitest";
import { GatewayReporter } from "../src/gateway-reporter.js";

type Served = Extract<GatewayEvent, { kind: "served"; }>;
type NotServed = Extract<GatewayEvent, { kind: "notServed"; }>;

const REQUEST: Served["request"] = {
    requestId: "r1",
    database: "stock",
    customer: undefined,
    group: "orders",
    statement: "read",
    endpoint: "a",
    transaction: undefined,
    latencyMs: 20,
    waitedMs: 0,
    attempts: 1,
    configuration: 7,
};

const REFUSED: NotServed = {
    kind: "notServed",
    failure: "refused",
    request: { ...REQUEST, waitedMs: 480, attempts: 2 },
    code: "busy",
    cause: "noConnection",
    condition: {
        primary: { endpoint: "a", term: 3, ageMs: 40 },
        leaderlessMs: undefined,
        orderedMs: undefined,
        endpoints: [],
    },
};

function reporter(now = () => 0) {
    const lines: Readonly<Record<string, unknown>>[] = [];
    const page = new MetricsPage();
    const log = { event: (event: string, fields = {}) => void lines.push({ event, ...fields }) };
    return { lines, page, report: new GatewayReporter(log, page, now).listener };
}

function served(changes: Partial<Served["request"]>): Served {
    return { kind: "served", onPrimary: false, targetMs: 100, request: { ...REQUEST, ...changes } };
}

// Guards against a log in which routine lines outnumber the failures of interest.
test("routine successes are sampled; late and retried ones are always logged", () => {
    const { lines, report } = reporter();
    for (let index = 0; index < 20; index++) {
        report(served({ requestId: `routine ${index}` }));
    }
    report(served({ requestId: "late", latencyMs: 140 }));
    report(served({ requestId: "repeated", attempts: 2 }));
    expect(lines.map(({ requestId, cause }) => [requestId, cause])).toEqual([
        ["routine 0", "routine"],
        ["late", "late"],
        ["repeated", "repeated"],
    ]);
});

// Guards against refusals whose reason cannot be found in the log.
test("a refusal is logged with its cause, the configuration number, and the condition of the group", () => {
    const { lines, report } = reporter();
    report(REFUSED);
    expect(lines).toMatchObject([{
        event: "requestRefused",
        requestId: "r1",
        cause: "noConnection",
        configuration: 7,
        waitedMs: 480,
        primary: { endpoint: "a", term: 3, ageMs: 40 },
    }]);
});

// Guards against a label set per request, which is too much for a metrics collector.
test("a cause that contains a request id is not used as a label", async () => {
    const { page, report } = reporter();
    report({ ...REFUSED, code: "aborted", cause: "rolled back after r0: its caller was idle for too long" });
    const text = await page.text();
    expect(text).toContain('cause="aborted"');
    expect(text).not.toContain("r0");
});

// Guards against a host that serves an older configuration while its log does not show whom it refuses by which one.
test("callers of unknown databases are logged with the number of the configuration, at most five a second", () => {
    const { lines, report } = reporter();
    for (let caller = 0; caller < 8; caller += 1) {
        report({ kind: "unknownDatabase", database: `d${caller}`, configuration: 7 });
    }
    expect(lines).toHaveLength(5);
    expect(lines[0]).toMatchObject({ event: "databaseUnknown", database: "d0", configuration: 7 });
});
