/** Timing of the slot protocol; must be equal on all hosts. */
export interface SlotOptions {
    /** Validity of a grant. */
    readonly durationMs: number;
    /** Maximum drift between two hosts' monotonic clocks over the duration of one grant. */
    readonly driftMs: number;
    /** How long a statement may continue after its grant expired; then it must be cancelled. */
    readonly overrunMs: number;
    /** Maximum time for which a former manager may still grant after another was authorised. */
    readonly handoverMs: number;
    /** Time after which a holder yields its slots to waiting hosts. */
    readonly quantumMs: number;
    /** Interval between renewals of a grant. */
    readonly renewMs: number;
    /** Time after which an unanswered request is resent. */
    readonly retryMs: number;
    /** Time for which a holder keeps idle slots. */
    readonly lingerMs: number;
}

/**
 * A grant remains valid when two renewals are lost. The handover covers the time in which a change of the view reaches
 * all hosts. In a quantum of 50 ms a slot serves some 15 statements; moving it to another host takes about one round
 * trip. The sum of duration, handover and overrun is the time without grants after the loss of a manager, so it is kept
 * below a second.
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
