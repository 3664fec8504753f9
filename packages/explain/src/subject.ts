import { numberOf, textOf } from "./fields.js";
import type { TimedLine } from "./timeline.js";

/** What is to be explained. */
export type Subject =
    | { readonly kind: "request"; readonly id: string; }
    | { readonly kind: "endpoint"; readonly id: string; }
    | { readonly kind: "configuration"; readonly number: number; };

/** Time before a request's arrival that may hold its cause: an outage of a primary lasts a second or two. */
const BEFORE_MS = 3_000;

/** Time after a request's answer in which the end of its cause shows. */
const AFTER_MS = 2_000;

/** Events of a group that decide about its requests, whichever host wrote them. */
const GROUP_EVENTS: ReadonlySet<string> = new Set([
    "endpointReached",
    "endpointUnreachable",
    "endpointAnnounced",
    "primarySeen",
    "primaryDenied",
    "primaryOrdered",
    "promotionChoosing",
    "promotionOrdered",
    "promotionAnnounced",
    "promotionAnswered",
    "promotionDone",
]);

/** Of these every host writes one about the same fact; the request's own host and the first other one say enough. */
const REPEATED_EVENTS: ReadonlySet<string> = new Set([
    "endpointReached",
    "endpointUnreachable",
    "endpointAnnounced",
    "primarySeen",
    "primaryDenied",
    "primaryOrdered",
]);

/** Events of the host itself that decide about its requests. */
const HOST_EVENTS: ReadonlySet<string> = new Set([
    "hostStarted",
    "hostStopping",
    "hostStopped",
    "isolationChanged",
    "leaseChanged",
    "peerDisconnected",
    "linesDropped",
    "settingsChanged",
    "settingsInvalid",
    "unexpected",
]);

/** Selects the lines that tell about a subject, in the order given. */
export function linesAbout(subject: Subject, lines: readonly TimedLine[]): readonly TimedLine[] {
    switch (subject.kind) {
        case "request":
            return linesAboutRequest(subject.id, lines);
        case "endpoint":
            return lines.filter(line => names(line, subject.id));
        case "configuration":
            return lines.filter(line => isAboutConfiguration(line, subject.number));
    }
}

/** Lines that name a request, and those of the transaction that it belongs to. */
export function linesOfRequest(id: string, lines: readonly TimedLine[]): readonly TimedLine[] {
    const own = lines.filter(line => textOf(line, "requestId") === id);
    const transactions = new Set(own.map(line => textOf(line, "transaction")));
    transactions.delete(undefined);
    return lines.filter(line => own.includes(line) || transactions.has(textOf(line, "transaction")));
}

function linesAboutRequest(id: string, lines: readonly TimedLine[]): readonly TimedLine[] {
    const own = linesOfRequest(id, lines);
    const first = own[0];
    const last = own.at(-1);
    if (first === undefined || last === undefined) {
        return [];
    }
    const from = first.at - (numberOf(first, "latencyMs") ?? 0) - BEFORE_MS;
    const group = own.map(line => textOf(line, "group")).find(name => name !== undefined);
    const near = lines.filter(line => line.at >= from && line.at <= last.at + AFTER_MS);
    const told = new Set<string>();
    return near.filter(line => {
        if (own.includes(line)) {
            return true;
        }
        if (line.host === first.host && HOST_EVENTS.has(line.event)) {
            return true;
        }
        return GROUP_EVENTS.has(line.event) && textOf(line, "group") === group && isNews(line, first.host, told);
    });
}

function isNews(line: TimedLine, host: string, told: Set<string>): boolean {
    if (!REPEATED_EVENTS.has(line.event)) {
        return true;
    }
    const fact = [line.event, line.fields["endpoint"] ?? line.fields["id"], line.fields["term"], line.fields["reach"]];
    const key = fact.map(String).join(" ");
    const isFirst = !told.has(key);
    told.add(key);
    return isFirst || line.host === host;
}

function names(line: TimedLine, endpoint: string): boolean {
    const { fields } = line;
    return fields["endpoint"] === endpoint || fields["former"] === endpoint
        || (line.event === "endpointAnnounced" && fields["id"] === endpoint);
}

function isAboutConfiguration({ event, fields }: TimedLine, number: number): boolean {
    return (event === "configurationInForce" || event === "configurationAnswered") && fields["number"] === number;
}
