/** One file of a configuration folder, as read. */
export interface ConfigurationFile {
    readonly name: string;
    readonly text: string;
}

/** A change of the configuration: the whole folder under a number that operators raise. */
export interface ConfigurationChange {
    readonly number: number;
    /** SHA-256 of the names and texts of the files, in hexadecimal. */
    readonly digest: string;
    readonly operator: string;
    readonly files: readonly ConfigurationFile[];
}

export const ChangeOutcome = {
    Accepted: "accepted",
    /** The same content already holds this number: the answer to a repeated request. */
    AlreadyAccepted: "alreadyAccepted",
    /** Other content holds this number. */
    NumberTaken: "numberTaken",
    NumberTooLow: "numberTooLow",
    Invalid: "invalid",
    Unavailable: "unavailable",
} as const;
export type ChangeOutcome = (typeof ChangeOutcome)[keyof typeof ChangeOutcome];

export interface ChangeResult {
    readonly outcome: ChangeOutcome;
    /** The number, digest and operator in force after this answer. */
    readonly number: number;
    readonly digest: string;
    readonly operator: string;
    /** Findings as `FILE:LINE:COLUMN: text` when the change was invalid. */
    readonly findings: readonly string[];
}
