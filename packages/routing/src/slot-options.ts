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
 * A grant outlives two lost renewals. The handover covers one lease of 400 ms and its margins. In a quantum of 50 ms
 * a slot serves some 15 statements; passing it on takes about one round trip.
 */
export const SLOT_OPTIONS: SlotOptions = {
    durationMs: 1_000,
    driftMs: 20,
    overrunMs: 250,
    handoverMs: 500,
    quantumMs: 50,
    renewMs: 300,
    retryMs: 100,
    lingerMs: 2_000,
};
