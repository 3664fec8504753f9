/** Load of one endpoint as one host observes it; it rides on answers that the host sends to other hosts anyway. */
export interface LoadReport {
    /** Typical duration of the orders that ran over its connections, in ms. */
    readonly typicalMs: number;
    /** Share of recent orders that failed or were left unanswered, from 0 to 1. */
    readonly failureShare: number;
    /** Time since the last answer that the report includes, in ms. */
    readonly ageMs: number;
}
