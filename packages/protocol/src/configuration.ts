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

/** Returns true when a value has the form of a change; it may come from a file or from another version of a host. */
export function isConfigurationChange(value: unknown): value is ConfigurationChange {
    if (typeof value !== "object" || value === null) {
        return false;
    }
    const { number, digest, operator, files } = value as Readonly<Partial<Record<keyof ConfigurationChange, unknown>>>;
    return Number.isSafeInteger(number) && typeof digest === "string" && typeof operator === "string"
        && Array.isArray(files) && files.every(isConfigurationFile);
}

function isConfigurationFile(value: unknown): value is ConfigurationFile {
    return typeof value === "object" && value !== null && "name" in value && typeof value.name === "string"
        && "text" in value && typeof value.text === "string";
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
