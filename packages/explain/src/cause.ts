import { endpointEntry, numberOf, textOf } from "./fields.js";
import type { TimedLine } from "./timeline.js";

type Reasoning = (line: TimedLine, lines: readonly TimedLine[]) => string;

/** What the cause that a host gave means, from the same line and those around it. */
const REASONINGS: Readonly<Record<string, Reasoning>> = {
    unreachable: explainUnreachable,
    noConnection: explainNoConnection,
    busy: line => `all slots of ${endpointOf(line)} were in use by other work; ${runningAt(line)}`,
    lagging: line => `the log of ${endpointOf(line)} had not reached the position that the read demanded`,
    follows: line => `${endpointOf(line)} answered that it does not lead its group`,
    misrouted: line => `another endpoint answers at the address of ${endpointOf(line)}`,
    transactionLost: (line, lines) => `the connection that held the transaction closed; ${reachOf(line, lines)}`,
    timeout: (line, lines) => `${endpointOf(line)} did not answer in time; ${reachOf(line, lines)}`,
    connectionLost: (line, lines) => `the connection closed before the answer; ${reachOf(line, lines)}`,
    answerLost: line => `${endpointOf(line)} answered a later command instead`,
    overdue: line => `${endpointOf(line)} did not answer in several times the usual time`,
    relayLost: line => `the link to the host that ran the statement on ${endpointOf(line)} was lost`,
    late: explainLate,
    repeated: line => `served at attempt ${String(line.fields["attempts"])}; the lines before tell why others failed`,
    routine: () => "served in time at the first attempt",
};

/** Events that end a request, the most telling first. */
const OUTCOMES = [
    "requestUnknown",
    "requestRefused",
    "requestFailed",
    "sessionCut",
    "transactionAborted",
    "requestServed",
];

/** The line that tells how a request ended; undefined when there is none. */
export function outcomeOf(id: string, lines: readonly TimedLine[]): TimedLine | undefined {
    const own = lines.filter(line => textOf(line, "requestId") === id);
    return OUTCOMES.map(event => own.findLast(line => line.event === event)).find(line => line !== undefined);
}

/** Why a request ended as it did. */
export function causeOfRequest(outcome: TimedLine, lines: readonly TimedLine[]): string {
    const cause = textOf(outcome, "cause") ?? "";
    if (cause.startsWith("rolled back after")) {
        return `its transaction was ${cause}`;
    }
    const reasoning = REASONINGS[cause];
    return reasoning === undefined ? cause : reasoning(outcome, lines);
}

function endpointOf(line: TimedLine): string {
    return `endpoint ${textOf(line, "endpoint") ?? "(none)"}`;
}

function runningAt(line: TimedLine): string {
    const entry = endpointEntry(line, textOf(line, "endpoint"));
    return entry === undefined
        ? "its load is not known"
        : `this host ran ${String(entry["running"])} statements there and ${String(entry["waiting"])} waited`;
}

function explainNoConnection(line: TimedLine): string {
    const entry = endpointEntry(line, textOf(line, "endpoint"));
    if (entry === undefined) {
        return `no connection to ${endpointOf(line)} became free in time`;
    }
    return `no connection to ${endpointOf(line)} became free in time: of ${String(entry["connections"])}, `
        + `${String(entry["transactions"])} were held by transactions; ${runningAt(line)}`;
}

function explainUnreachable(line: TimedLine, lines: readonly TimedLine[]): string {
    const leaderlessMs = numberOf(line, "leaderlessMs");
    const group = textOf(line, "group") ?? "";
    if (leaderlessMs === undefined) {
        return `no endpoint of group ${group} could take the statement; ${reachOf(line, lines)}`;
    }
    return [
        `no endpoint of group ${group} was known to lead for the last ${Math.round(leaderlessMs)} ms`,
        lossOfPrimary(line, lines),
        promotionAround(line, lines),
    ].filter(part => part !== undefined).join("; ");
}

/** Why the primary that was known last was given up. */
function lossOfPrimary(line: TimedLine, lines: readonly TimedLine[]): string | undefined {
    const primary = line.fields["primary"] as { readonly endpoint?: string; } | undefined;
    const lost = lines.findLast(other =>
        other.host === line.host && other.at <= line.at && other.fields["endpoint"] === primary?.endpoint
        && (other.event === "endpointUnreachable" || other.event === "primaryDenied")
    );
    if (primary?.endpoint === undefined || lost === undefined) {
        return undefined;
    }
    const what = lost.event === "primaryDenied"
        ? "answered that it no longer leads"
        : `became ${textOf(lost, "reach") ?? "unreachable"} (${textOf(lost, "cause") ?? ""})`;
    return `${primary.endpoint} ${what} ${Math.round(line.at - lost.at)} ms before the answer`;
}

/** What control did about it. */
function promotionAround(line: TimedLine, lines: readonly TimedLine[]): string {
    const ordered = lines.findLast(other => other.event === "promotionOrdered" && other.at <= line.at)
        ?? lines.find(other => other.event === "promotionOrdered");
    if (ordered === undefined) {
        return "no promotion was ordered in the lines given";
    }
    const endpoint = textOf(ordered, "endpoint") ?? "";
    const seen = lines.find(other =>
        other.event === "primarySeen" && other.at >= ordered.at && other.fields["endpoint"] === endpoint
    );
    const until = seen === undefined
        ? "it was not seen to lead"
        : `it led ${Math.round(seen.at - ordered.at)} ms later`;
    const side = ordered.at <= line.at ? "before" : "after";
    const distance = Math.abs(Math.round(line.at - ordered.at));
    return `the promotion of ${endpoint} was ordered ${distance} ms ${side} the answer, and ${until}`;
}

/** How the host of a line last saw the line's endpoint. */
function reachOf(line: TimedLine, lines: readonly TimedLine[]): string {
    const endpoint = textOf(line, "endpoint");
    const change = lines.findLast(other =>
        other.host === line.host && other.fields["endpoint"] === endpoint && other.at <= line.at
        && (other.event === "endpointUnreachable" || other.event === "endpointReached")
    );
    if (change === undefined) {
        return "this host saw no change of it shortly before";
    }
    const reach = textOf(change, "reach") ?? "";
    const agoMs = Math.round(line.at - change.at);
    return `this host saw it become ${reach} ${agoMs} ms before (${textOf(change, "cause") ?? ""})`;
}

function explainLate(line: TimedLine): string {
    const latencyMs = Math.round(numberOf(line, "latencyMs") ?? 0);
    const waitedMs = Math.round(numberOf(line, "waitedMs") ?? 0);
    const attempts = numberOf(line, "attempts") ?? 1;
    const parts = [`answered after ${latencyMs} ms`];
    if (waitedMs > 0) {
        parts.push(`${waitedMs} ms of it without an endpoint that could be chosen`);
    }
    parts.push(attempts > 1 ? `at attempt ${attempts}` : `in one attempt at ${endpointOf(line)}`);
    return parts.join(", ");
}
