/** Where commands write; replaced in tests. */
export interface Output {
    out(text: string): void;
    error(text: string): void;
}

/** Writes to the process's standard streams. */
export const STANDARD_OUTPUT: Output = {
    out: text => void process.stdout.write(`${text}\n`),
    error: text => void process.stderr.write(`${text}\n`),
};

/** Lays out rows as columns; the first row is the heading. */
export function table(rows: readonly (readonly string[])[]): string {
    const widths = (rows[0] ?? []).map((_cell, column) => Math.max(...rows.map(row => row[column]?.length ?? 0)));
    return rows
        .map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ").trimEnd())
        .join("\n");
}
