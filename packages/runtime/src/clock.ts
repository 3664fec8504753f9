/** The two clocks of a process. Decisions use the monotonic one; reports to people use the wall clock. */
export interface Clock {
    /** Milliseconds of a clock that never goes back. */
    readonly now: () => number;
    /** Milliseconds since 1970. */
    readonly wallClock: () => number;
}

export const SYSTEM_CLOCK: Clock = {
    now: () => performance.now(),
    wallClock: () => Date.now(),
};
