import { explain, type LogFile, renderExplanation, type Subject } from "@medlarledge/explain";
import { readFile } from "node:fs/promises";
import { ExitCode } from "./exit-code.js";
import type { Output } from "./output.js";

export interface ExplainOptions {
    /** Words of the command line: the id of a request before the files, unless something else is to be explained. */
    readonly words: readonly string[];
    readonly endpoint: string | undefined;
    readonly configuration: string | undefined;
    readonly json: boolean;
}

/** Explains a request, an endpoint or a configuration from log files. */
export async function explainFromLogs(options: ExplainOptions, output: Output): Promise<ExitCode> {
    const selected = select(options);
    if (typeof selected === "string") {
        output.error(`medlarledge: ${selected}`);
        return ExitCode.Usage;
    }
    const files: LogFile[] = [];
    for (const name of selected.files) {
        try {
            files.push({ name, text: await readFile(name, "utf8") });
        }
        catch (error) {
            output.error(`${name}: ${error instanceof Error ? error.message : String(error)}`);
            return ExitCode.Usage;
        }
    }
    const explanation = explain(selected.subject, files);
    for (const { file, number, problem } of explanation.findings) {
        output.error(`${file}:${number}: ${problem}; the other lines are used`);
    }
    output.out(options.json ? JSON.stringify(explanation, undefined, 4) : renderExplanation(explanation));
    return explanation.lines.length === 0 ? ExitCode.Failed : ExitCode.Done;
}

/** Returns what is wrong with the options when they select nothing. */
function select(
    { words, endpoint, configuration }: ExplainOptions,
): { readonly subject: Subject; readonly files: readonly string[]; } | string {
    if (endpoint !== undefined && configuration !== undefined) {
        return "--endpoint and --configuration exclude each other";
    }
    if (configuration !== undefined && !/^\d+$/.test(configuration)) {
        return "--configuration needs a number";
    }
    const [first = "", ...rest] = words;
    const other: Subject | undefined = endpoint !== undefined
        ? { kind: "endpoint", id: endpoint }
        : configuration !== undefined
        ? { kind: "configuration", number: Number(configuration) }
        : undefined;
    const files = other === undefined ? rest : words;
    return files.length === 0
        ? "explain needs at least one log file"
        : { subject: other ?? { kind: "request", id: first }, files };
}
