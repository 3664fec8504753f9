/** Name and content of one file of a configuration folder. */
export interface ConfigurationFile {
    readonly name: string;
    readonly text: string;
}

/** A new version of the configuration: all files of the folder, under a number that operators increase. */
export interface ConfigurationChange {
    readonly number: number;
    /** SHA-256 of the names and texts of the files, in hexadecimal. */
    readonly digest: string;
    readonly operator: string;
    readonly files: readonly ConfigurationFile[];
}

export const ChangeOutcome = {
    Accepted: "accepted",
    /** The number was accepted earlier with the same content, as after a repeated request. */
    AlreadyAccepted: "alreadyAccepted",
    /** The number was accepted earlier with other content. */
    NumberTaken: "numberTaken",
    NumberTooLow: "numberTooLow",
    Invalid: "invalid",
    Unavailable: "unavailable",
} as const;
export type ChangeOutcome = (typeof ChangeOutcome)[keyof typeof ChangeOutcome];

export interface ChangeResult {
    readonly outcome: ChangeOutcome;
    /** Number, digest and operator of the configuration in force when this result is sent. */
    readonly number: number;
    readonly digest: string;
    readonly operator: string;
    /** Errors as `FILE:LINE:COLUMN: text` if the configuration is invalid. */
    readonly findings: readonly string[];
}
