/** Renders a table of Markdown; cells may hold any text. */
export function markdownTable(heading: readonly string[], rows: readonly (readonly string[])[]): string {
    const lines = [heading, heading.map(() => "---"), ...rows.map(row => row.map(escapeCell))];
    return lines.map(row => `| ${row.join(" | ")} |`).join("\n");
}

/** Marks text as code. */
export function code(text: string): string {
    return `\`${text}\``;
}

function escapeCell(text: string): string {
    return text.replace(/\s+/g, " ").replaceAll("|", "\\|").trim();
}
