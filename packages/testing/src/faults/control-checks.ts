import { eventsOf, type HistoryEvent } from "./history.js";

/** Invariant 7: no host sends work to an endpoint later than `leavingMs` after it announced that it leaves. */
export function checkLeaving(history: readonly HistoryEvent[], leavingMs: number): readonly string[] {
    const leaves = new Map(eventsOf(history, "endpointLeaves").map(({ endpoint, at }) => [endpoint, at]));
    return eventsOf(history, "workSent").flatMap(({ host, endpoint, at }) => {
        const leftAt = leaves.get(endpoint);
        return leftAt === undefined || at <= leftAt + leavingMs
            ? []
            : [`${host} sent work to ${endpoint} at ${at}, which leaves since ${leftAt}`];
    });
}

/** Invariant 8: between the begin and the end of a host's drain no request of its callers is cut. */
export function checkDrain(history: readonly HistoryEvent[]): readonly string[] {
    const draining = new Set<string>();
    const found: string[] = [];
    for (const event of history) {
        if (event.kind === "drainBegun") {
            draining.add(event.host);
        }
        else if (event.kind === "drainEnded") {
            draining.delete(event.host);
            if (event.cut > 0) {
                found.push(`${event.host} cut ${event.cut} requests by ${event.at}`);
            }
        }
        else if (event.kind === "requestCut" && draining.has(event.host)) {
            found.push(`${event.host} cut a request of ${event.session} at ${event.at} while it drained`);
        }
    }
    return found;
}

/** Invariant 9: one content per number, no host goes back, and every host that runs has it within the bound. */
export function checkConfiguration(history: readonly HistoryEvent[], withinMs: number): readonly string[] {
    const found: string[] = [];
    const digests = new Map<number, string>();
    const numbers = new Map<string, number>();
    for (const event of history) {
        if (event.kind === "configurationAccepted" || event.kind === "configurationInForce") {
            const known = digests.get(event.number) ?? event.digest;
            digests.set(event.number, known);
            if (known !== event.digest) {
                found.push(`number ${event.number} has two contents, ${known} and ${event.digest}, at ${event.at}`);
            }
        }
        if (event.kind === "configurationInForce") {
            const former = numbers.get(event.host) ?? 0;
            if (event.number < former) {
                found.push(`${event.host} went back from ${former} to ${event.number} at ${event.at}`);
            }
            numbers.set(event.host, event.number);
        }
        else if (event.kind === "hostEnded") {
            numbers.delete(event.host);
        }
    }
    return [...found, ...notInForce(history, withinMs)];
}

function notInForce(history: readonly HistoryEvent[], withinMs: number): readonly string[] {
    const end = eventsOf(history, "end").at(-1);
    if (end === undefined) {
        return [];
    }
    const inForce = eventsOf(history, "configurationInForce");
    const healedAt = eventsOf(history, "healed").at(-1)?.at ?? 0;
    return eventsOf(history, "configurationAccepted").flatMap(({ number, at }) => {
        const due = Math.max(at, healedAt) + withinMs;
        const late = end.hosts.filter(host =>
            end.at >= due && !inForce.some(event => event.host === host && event.number >= number && event.at <= due)
        );
        return late.map(host => `${number}, accepted at ${at}, is not in force at ${host} by ${due}`);
    });
}
