import { expect, test } from "vitest";
import { EndpointObserver, HostLease } from "../src/index.js";

function leased(): HostLease {
    const lease = new HostLease({ leaseMs: 400, driftMarginMs: 20, renewMs: 100 });
    lease.applyView([{
        database: "orders",
        terms: [{ term: 1, primary: "a", start: 0, timeline: 1 }],
        endpoints: [],
    }]);
    const { sequence } = lease.nextRenewal(1_000)!;
    lease.granted({ kind: "leaseGranted", sequence, durationMs: 400 }, 1_090);
    return lease;
}

test("the lease starts at the renewal and ends a margin early, and the check subtracts the margin once more", () => {
    const lease = leased();
    expect(lease.validUntil()).toBe(1_380);
    expect(lease.mayAcknowledge("orders", 1, 1_360)).toBe(true);
    expect(lease.mayAcknowledge("orders", 1, 1_361)).toBe(false);
});

test("a grant for an unknown renewal, or a longer one than the settings say, does not extend the lease", () => {
    const lease = leased();
    lease.granted({ kind: "leaseGranted", sequence: 77, durationMs: 400 }, 1_100);
    const { sequence } = lease.nextRenewal(1_100)!;
    lease.granted({ kind: "leaseGranted", sequence, durationMs: 60_000 }, 1_110);
    expect(lease.validUntil()).toBe(1_480);
});

test("a revoked term stays revoked under a new lease and after a late revocation of an older term", () => {
    const lease = leased();
    lease.revoke("orders", 1);
    lease.revoke("orders", 0);
    const { sequence } = lease.nextRenewal(1_100)!;
    lease.granted({ kind: "leaseGranted", sequence, durationMs: 400 }, 1_110);
    expect(lease.mayAcknowledge("orders", 1, 1_120)).toBe(false);
});

test("a term that no view shows as started is not acknowledged", () => {
    const lease = leased();
    expect(lease.mayAcknowledge("orders", 2, 1_100)).toBe(false);
    lease.applyView([{
        database: "orders",
        terms: [{ term: 2, primary: "b", start: undefined, timeline: undefined }],
        endpoints: [],
    }]);
    expect([1, 2].map((term) => lease.mayAcknowledge("orders", term, 1_100))).toEqual([false, false]);
});

test("a suspended machine loses its lease and its pending renewals", () => {
    const lease = leased();
    const { sequence } = lease.nextRenewal(1_100)!;
    expect(lease.mayAcknowledge("orders", 1, 1_100, 50_000)).toBe(true);
    // The wall clock advanced by an hour, the monotonic clock by 5 ms.
    expect(lease.mayAcknowledge("orders", 1, 1_105, 3_650_000)).toBe(false);
    lease.granted({ kind: "leaseGranted", sequence, durationMs: 400 }, 1_106);
    expect(lease.mayAcknowledge("orders", 1, 1_110, 3_650_005)).toBe(false);
});

test("a closed connection counts at once, silence after three probes, and a lasting suspicion is repeated", () => {
    const observer = new EndpointObserver();
    expect(observer.recordOutcome("a", "closed", 0)).toBe("closed");
    expect(observer.recordOutcome("a", "closed", 100)).toBeUndefined();
    expect(observer.recordOutcome("a", "closed", 300)).toBe("closed");
    expect(observer.recordOutcome("a", "ok", 400)).toBe("reachable");
    const silence = [500, 600, 700].map((now) => observer.recordOutcome("a", "timeout", now));
    expect(silence).toEqual([undefined, undefined, "silent"]);
    const interrupted = ["timeout", "timeout", "ok", "timeout", "timeout"] as const;
    expect(interrupted.map((outcome, index) => observer.recordOutcome("b", outcome, index * 100)))
        .toEqual(Array<undefined>(5).fill(undefined));
});
