import { folderEvent } from "@medlarledge/daemon";
import { ChangeOutcome, type ChangeResult } from "@medlarledge/protocol";
import { type Finding, formatFinding, mergeFolder, type Origins, readFolder } from "@medlarledge/settings";
import { ExitCode } from "./exit-code.js";
import { callHost, type HostAccess, reportFailure } from "./host-client.js";
import type { Output } from "./output.js";

/** Checks a configuration folder without applying it. */
export async function checkSettings(folder: string, output: Output): Promise<ExitCode> {
    const read = await readFolder(folder);
    const merged = read.ok ? mergeFolder(read.files) : read;
    if (!merged.ok) {
        return refuse(merged.findings, output);
    }
    output.out(`${folder}: valid`);
    return ExitCode.Done;
}

/** Prints the merged configuration with the file that each value came from. */
export async function showSettings(folder: string, output: Output): Promise<ExitCode> {
    const read = await readFolder(folder);
    if (!read.ok) {
        return refuse(read.findings, output);
    }
    const merged = mergeFolder(read.files);
    if (!merged.ok) {
        return refuse(merged.findings, output);
    }
    output.out(renderValues(merged.configuration, [], merged.origins).join("\n"));
    return ExitCode.Done;
}

/** Proposes a folder to the system and waits for the answer. */
export async function applyFolder(
    folder: string,
    operator: string,
    access: HostAccess,
    output: Output,
): Promise<ExitCode> {
    const read = await readFolder(folder);
    if (!read.ok) {
        return refuse(read.findings, output);
    }
    const event = folderEvent(read.files, operator);
    if (event.kind === "invalid") {
        return refuse(event.findings, output);
    }
    const answer = await callHost(access, "POST", "/v1/configuration", event.change);
    const result = answer.kind === "answered" ? answer.body as Partial<ChangeResult> | undefined : undefined;
    if (result?.outcome === undefined) {
        reportFailure(access, answer, output);
        return ExitCode.Failed;
    }
    return reportResult(event.change.number, result as ChangeResult, output);
}

type ResultText = (number: number, result: ChangeResult) => string;

const RESULT_TEXTS: Readonly<Record<ChangeOutcome, ResultText>> = {
    [ChangeOutcome.Accepted]: number => `configuration ${number} accepted`,
    [ChangeOutcome.AlreadyAccepted]: number => `configuration ${number} was accepted earlier with the same content`,
    [ChangeOutcome.NumberTaken]: (number, result) =>
        `number ${number} is held by other content of operator "${result.operator}" (digest ${result.digest}); `
        + "raise the number and apply again",
    [ChangeOutcome.NumberTooLow]: (number, result) =>
        `number ${number} is below ${result.number}, which operator "${result.operator}" set`,
    [ChangeOutcome.Invalid]: (_number, result) => result.findings.join("\n"),
    [ChangeOutcome.Unavailable]: () => "no leader could decide; nothing is known to have changed, apply again",
};

const REFUSED: readonly ChangeOutcome[] = [
    ChangeOutcome.NumberTaken,
    ChangeOutcome.NumberTooLow,
    ChangeOutcome.Invalid,
];

function reportResult(number: number, result: ChangeResult, output: Output): ExitCode {
    const text = RESULT_TEXTS[result.outcome](number, result);
    if (result.outcome === ChangeOutcome.Accepted || result.outcome === ChangeOutcome.AlreadyAccepted) {
        output.out(text);
        return ExitCode.Done;
    }
    output.error(text);
    return REFUSED.includes(result.outcome) ? ExitCode.Usage : ExitCode.Failed;
}

function refuse(findings: readonly Finding[], output: Output): ExitCode {
    findings.forEach(finding => output.error(formatFinding(finding)));
    return ExitCode.Usage;
}

function renderValues(value: unknown, path: readonly string[], origins: Origins): readonly string[] {
    if (typeof value === "object" && value !== null && !Array.isArray(value)) {
        return Object.entries(value).flatMap(([key, field]) => renderValues(field, [...path, key], origins));
    }
    if (value === undefined) {
        return [];
    }
    const name = path.join(".");
    return [`${name} = ${JSON.stringify(value)}  // ${origins.get(name) ?? "default"}`];
}
