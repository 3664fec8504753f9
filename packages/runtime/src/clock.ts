/** The two clocks of a process. Decisions use the monotonic clock; times shown to people use the wall clock. */
export interface Clock {
    /** Monotonic time in ms. */
    readonly now: () => number;
    /** Wall-clock time in ms since 1970. */
    readonly wallClock: () => number;
}

export const SYSTEM_CLOCK: Clock = {
    now: () => performance.now(),
    wallClock: () => Date.now(),
};
