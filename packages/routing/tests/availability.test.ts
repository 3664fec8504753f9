import { expect, test } from "vitest";
import { Availability } from "../src/index.js";

// Guards against a failed trial that restarts the outage, so that requests wait for its end again and again
// (primary_cut with split on the grown deployments).
test("a failed trial does not restart an outage", () => {
    const availability = new Availability();
    availability.update(true, 0);
    availability.update(false, 1_000);
    for (let now = 1_500; now < 5_000; now += 500) {
        availability.update(true, now);
        expect(availability.lostAt).toBeUndefined();
        availability.update(false, now + 150);
        expect(availability.lostAt).toBe(1_000);
    }
});

// Guards against a new outage that is treated as part of an old one.
test("an outage after some time of service is a new one", () => {
    const availability = new Availability();
    expect(availability.lostAt).toBeUndefined();
    availability.update(true, 0);
    availability.update(false, 1_000);
    availability.update(true, 2_000);
    availability.update(false, 2_600);
    expect(availability.lostAt).toBe(2_600);
});
