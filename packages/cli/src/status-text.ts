import type { DatabaseStatus, HostStatus, Status } from "@medlarledge/control";
import { formatPosition } from "@medlarledge/protocol";
import { table } from "./output.js";

/** Renders the status of the whole system for a terminal. */
export function renderStatus(status: Status): string {
    const parts = [
        `Leader ${status.leader}, for ${seconds(status.leadingMs)}${status.deciding ? "" : ", not deciding yet"}`,
        renderConfiguration(status),
        `Databases\n${table([DATABASE_HEADING, ...status.databases.flatMap(databaseRows)])}`,
        `Entry hosts\n${table([HOST_HEADING, ...[...status.hosts].sort(byPlace).map(hostRow)])}`,
        renderProblems(status),
    ];
    return `${parts.join("\n\n")}\n`;
}

const DATABASE_HEADING = ["database", "term", "endpoint", "role", "data centre", "state", "position", "lag (bytes)"];
const HOST_HEADING = ["host", "data centre", "control", "connected", "lease (ms)", "heard (ms)", "configuration"];

function renderConfiguration(status: Status): string {
    const { configuration } = status;
    if (configuration === undefined) {
        return "No configuration has been accepted yet; run `medlarledge apply FOLDER`.";
    }
    const since = configuration.inForceEverywhereSince;
    const force = since === undefined
        ? `not yet in force at ${configuration.missingAt.join(", ")}`
        : `in force everywhere since ${new Date(since).toISOString()}`;
    return `Configuration ${configuration.number} by "${configuration.operator}", ${force}`;
}

function databaseRows(database: DatabaseStatus): readonly (readonly string[])[] {
    return database.endpoints.map(endpoint => [
        database.database,
        String(database.term ?? "–"),
        endpoint.id,
        endpoint.id === database.primary ? "primary" : endpoint.role ?? "silent",
        endpoint.dataCentre,
        endpoint.state,
        endpoint.position === undefined ? "–" : formatPosition(endpoint.position),
        endpoint.lagBytes === undefined ? "–" : String(endpoint.lagBytes),
    ]);
}

function hostRow(host: HostStatus): readonly string[] {
    return [
        host.id,
        host.dataCentre,
        host.control ? "yes" : "no",
        host.connected ? "yes" : "no",
        String(Math.round(host.leaseMs)),
        host.heardMs > 86_400_000 ? "never" : String(Math.round(host.heardMs)),
        String(host.configurationNumber ?? "–"),
    ];
}

function renderProblems(status: Status): string {
    if (status.problems.length === 0) {
        return "No problems.";
    }
    const lines = status.problems.map(problem => `- ${problem.text}\n  see ${problem.page}`);
    return `Problems\n${lines.join("\n")}`;
}

function byPlace(left: HostStatus, right: HostStatus): number {
    return left.dataCentre.localeCompare(right.dataCentre) || left.id.localeCompare(right.id);
}

function seconds(milliseconds: number): string {
    return `${(milliseconds / 1_000).toFixed(1)} s`;
}
