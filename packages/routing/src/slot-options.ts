/** Times of the slot protocol, equal on all hosts. */
export interface SlotOptions {
    /** Validity of a grant. */
    readonly durationMs: number;
    /** Difference of two monotonic clocks over one grant. */
    readonly driftMs: number;
    /** How long a statement may run on after its grant ended; then it must be cancelled. */
    readonly overrunMs: number;
    /** Longest time for which a former keeper may still grant after another was authorised. */
    readonly handoverMs: number;
    /** Time after which a holder makes room for hosts that wait. */
    readonly quantumMs: number;
    readonly renewMs: number;
    /** Time after which an unanswered request is sent again. */
    readonly retryMs: number;
    /** Time for which a holder keeps slots without work. */
    readonly lingerMs: number;
}

/**
 * A grant outlives two lost renewals. The handover covers the time in which a change of the view reaches all hosts. In
 * a quantum of 50 ms a slot serves some 15 statements; passing it on takes about one round trip. The sum of duration,
 * handover and overrun is the time without grants after a keeper was lost, so it is kept below a second.
 */
export const SLOT_OPTIONS: SlotOptions = {
    durationMs: 400,
    driftMs: 20,
    overrunMs: 100,
    handoverMs: 150,
    quantumMs: 50,
    renewMs: 120,
    retryMs: 50,
    lingerMs: 2_000,
};
