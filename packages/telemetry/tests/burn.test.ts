import { describe, expect, it } from "vitest";
import {
    burnReport,
    EMPTY_COUNT,
    HOUR_MS,
    MINUTE_MS,
    renderBurnPage,
    renderBurnText,
    type ServiceCount,
    ServiceHistory,
} from "../src/index.js";

const NOW = 40 * 24 * HOUR_MS;
const objectives = { withinDeadline: 0.99, freshReads: 0.99, failoverGapMs: 8_000 };

function requests(worth: number, worthInTime: number): ServiceCount {
    return {
        ...EMPTY_COUNT,
        requests: worth,
        worth,
        worthInTime,
        reads: worth,
        freshReads: worth,
        replicaReads: worth / 2,
    };
}

describe("burnReport", () => {
    it("raises the fast alert when long and short window burn, and only the slow one once the short window has recovered", () => {
        const history = new ServiceHistory();
        for (let minute = 0; minute < 60; minute++) {
            history.add("orders", NOW - minute * MINUTE_MS, requests(100, 80));
        }
        const burning = burnReport(history, () => objectives, NOW).databases[0]?.objectives[0];
        expect(burning?.alert).toBe("fast");
        for (let minute = 1; minute <= 10; minute++) {
            history.add("orders", NOW + minute * MINUTE_MS, requests(100, 100));
        }
        const recovered = burnReport(history, () => objectives, NOW + 10 * MINUTE_MS).databases[0]?.objectives[0];
        expect(recovered?.windows[0]?.burn).toBeLessThan(14.4);
        expect(recovered?.alert).toBe("slow");
    });

    it("weighs by worth, so that losing the one worthy request shows although most requests were carried", () => {
        const history = new ServiceHistory();
        history.add("orders", NOW, requests(99, 99));
        history.add("orders", NOW, { ...EMPTY_COUNT, requests: 1, worth: 99 });
        const objective = burnReport(history, () => objectives, NOW).databases[0]?.objectives[0];
        expect(objective?.windows[0]?.share).toBeCloseTo(0.5);
    });

    it("keeps the sums of every window through save and restore, as a restarted host needs", () => {
        const history = new ServiceHistory();
        history.add("orders", NOW - 20 * 24 * HOUR_MS, requests(10, 5));
        history.add("orders", NOW, requests(10, 10));
        history.prune(NOW);
        const saved = JSON.parse(JSON.stringify(history.save())) as ReturnType<ServiceHistory["save"]>;
        const restored = ServiceHistory.restore(saved);
        const windows = (source: ServiceHistory): unknown =>
            burnReport(source, () => objectives, NOW).databases[0]?.totals;
        expect(windows(restored)).toEqual(windows(history));
        expect(restored.sum("orders", 30 * 24 * HOUR_MS, NOW).worth).toBe(20);
    });

    it("escapes names in the page and renders without requests", () => {
        const history = new ServiceHistory();
        expect(renderBurnPage(burnReport(history, () => objectives, NOW))).toContain("No requests");
        history.add("<script>", NOW, requests(1, 1));
        const report = burnReport(history, () => objectives, NOW);
        expect(renderBurnPage(report)).not.toContain("<script>");
        expect(renderBurnText(report)).toContain("reads by replicas 50.00 %");
    });
});
