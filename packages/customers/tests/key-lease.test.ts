import { beforeEach, expect, test } from "vitest";
import { KeyLease } from "../src/index.js";

let lease: KeyLease;

beforeEach(() => {
    lease = new KeyLease(5_000);
    lease.configured(7);
});

/** Sends a question at `now` and returns its sequence. */
function ask(now: number): number {
    return lease.nextRequest(now)?.sequence ?? 0;
}

// Guards against keys that a restarted host accepts before it knows the newest configuration.
test("no key is accepted before the first proof", () => {
    expect(lease.acceptsKeys(0)).toBe(false);
    lease.answered(99, 7);
    expect(lease.acceptsKeys(0)).toBe(false);
});

// Guards against a lease that counts from the arrival of an answer that was long under way, or a frozen host.
test("the lease counts from the sending of the question", () => {
    lease.answered(ask(1_000), 7);
    expect(lease.acceptsKeys(5_799)).toBe(true);
    expect(lease.acceptsKeys(5_800)).toBe(false);
});

// Guards against accepting keys of a configuration that is known to be outdated.
test("a proof for a newer configuration counts once that configuration is in force", () => {
    lease.answered(ask(0), 7);
    lease.answered(ask(1_000), 9);
    lease.answered(ask(2_000), 9);
    expect(lease.remainingMs(3_000)).toBe(1_800);
    lease.configured(8);
    expect(lease.remainingMs(3_000)).toBe(1_800);
    lease.configured(9);
    expect(lease.remainingMs(3_000)).toBe(3_800);
});

// Guards against an answer that arrives late, over another host, and shortens the lease.
test("the answer to an earlier question does not shorten the lease", () => {
    const [first, second] = [ask(0), ask(1_000)];
    lease.answered(second, 7);
    lease.answered(first, 9);
    expect(lease.remainingMs(1_000)).toBe(4_800);
});

// Guards against a stampede on the control hosts, and against one-way links on which each question is lost.
test("questions are sent at intervals, and one after an unanswered one is marked as repeated", () => {
    expect(lease.nextRequest(0)).toEqual({ sequence: 1, isRepeated: false });
    expect(lease.nextRequest(499)).toBeUndefined();
    expect(lease.nextRequest(500)).toEqual({ sequence: 2, isRepeated: true });
    lease.answered(2, 7);
    expect(lease.nextRequest(1_000)).toMatchObject({ isRepeated: false });
});
