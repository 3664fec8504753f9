import type { HostLeaseOptions } from "@medlarledge/control";

/**
 * Timing of entry hosts' leases. A promotion waits this long for a host that cannot confirm it; without a leader of the
 * control group, answers to writes are held back after this time.
 */
export const HOST_LEASE: HostLeaseOptions = { leaseMs: 1_500, driftMarginMs: 20, renewMs: 250 };

/** A leader of the control group that has had no contact with a quorum for this long grants no leases. */
export const STEP_DOWN_MS = 300;
