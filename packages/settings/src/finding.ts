/** A problem in a settings file, with a one-based line and column. */
export interface Finding {
    readonly file: string;
    readonly line: number;
    readonly column: number;
    readonly text: string;
}

/** Formats a finding as `FILE:LINE:COLUMN: what is wrong`. */
export function formatFinding(finding: Finding): string {
    return `${finding.file}:${finding.line}:${finding.column}: ${finding.text}`;
}
