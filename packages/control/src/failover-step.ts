/** Steps of a failover; see section 4.3 of the design. */
export const FailoverStep = {
    Revoking: "revoking",
    Choosing: "choosing",
    Beginning: "beginning",
    Promoting: "promoting",
    Starting: "starting",
    Done: "done",
} as const;
export type FailoverStep = (typeof FailoverStep)[keyof typeof FailoverStep];
