import { expect, test } from "vitest";
import { MetricsPage } from "../src/index.js";

test("counters, gauges and durations stand on the page", async () => {
    const page = new MetricsPage();
    page.count("statement.refused", 1, { group: "orders", statement: "read", cause: "busy" });
    page.count("statement.refused", 2, { group: "orders", statement: "read", cause: "busy" });
    page.gauge("callers.open", 7);
    page.timing("statement.latency", 30, { group: "orders", statement: "read" });
    const text = await page.text();
    expect(text).toContain(
        'medlarledge_statement_refused_total{group="orders",statement="read",cause="busy"} 3',
    );
    expect(text).toContain("medlarledge_callers_open 7");
    expect(text).toContain('medlarledge_statement_latency_ms_bucket{le="50",group="orders",statement="read"} 1');
    expect(text).toContain('medlarledge_statement_latency_ms_bucket{le="20",group="orders",statement="read"} 0');
});

// Guards against endpoints that left long ago and still show as reachable.
test("a cleared gauge keeps no values", async () => {
    const page = new MetricsPage();
    page.gauge("endpoint.reachable", 1, { group: "orders", endpoint: "a" });
    page.clear("endpoint.reachable");
    page.gauge("endpoint.reachable", 1, { group: "orders", endpoint: "b" });
    const text = await page.text();
    expect(text).not.toContain('endpoint="a"');
    expect(text).toContain('endpoint="b"');
});

// Guards against memory that grows with names from a configuration.
test("label sets are bounded", async () => {
    const page = new MetricsPage();
    for (let index = 0; index < 3_000; index++) {
        page.count("statement.retried", 1, { group: `group ${index}`, cause: "busy" });
    }
    const lines = (await page.text()).split("\n").filter(line => line.startsWith("medlarledge_statement_retried"));
    expect(lines).toHaveLength(1_000);
});
