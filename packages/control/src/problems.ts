import type { DatabaseStatus, Status } from "./status.js";

/** Description of a problem and the operators' page that explains how to resolve it. */
export interface Problem {
    readonly text: string;
    readonly page: string;
}

/** Operators' pages by subject, relative to the root of the repository. */
export const OPERATOR_PAGES = {
    Control: "docs/operators/control-unavailable.md",
    NoPrimary: "docs/operators/no-primary.md",
    Failover: "docs/operators/failover-waits.md",
    UnusedPrimary: "docs/operators/unused-primary.md",
    SilentHost: "docs/operators/silent-host.md",
    Configuration: "docs/operators/configuration-behind.md",
    FewReplicas: "docs/operators/no-replica.md",
} as const;

/** A failover step that takes longer is reported: the whole failover gap is at most 900 ms at p99. */
const LONG_STEP_MS = 1_000;

/** Lists the problems that need an operator's attention, most urgent first. */
export function findProblems(status: Omit<Status, "problems">): readonly Problem[] {
    return [...controlProblems(status), ...status.databases.flatMap(databaseProblems), ...hostProblems(status)];
}

function controlProblems(status: Omit<Status, "problems">): readonly Problem[] {
    if (status.deciding) {
        return [];
    }
    const text = `The control host ${status.leader} leads, but has not reached a majority of the control hosts yet. `
        + "Until it does, no writes are confirmed and no changes are accepted.";
    return [{ text, page: OPERATOR_PAGES.Control }];
}

function databaseProblems(status: DatabaseStatus): readonly Problem[] {
    const { database, term, pendingTerm, failover, unusedPrimaries } = status;
    const problems: Problem[] = [];
    if (term === undefined && pendingTerm === undefined) {
        problems.push({ text: noPrimaryText(status), page: OPERATOR_PAGES.NoPrimary });
    }
    else {
        for (const id of unusedPrimaries) {
            const text =
                `Database ${database}: endpoint ${id} is a primary, but ${status.primary ?? "another endpoint"} `
                + `was chosen. ${id} is not used; rebuild it as a replica.`;
            problems.push({ text, page: OPERATOR_PAGES.UnusedPrimary });
        }
    }
    if (failover !== undefined && failover.step !== "suspected" && failover.stepMs > LONG_STEP_MS) {
        problems.push({ text: failoverText(database, failover), page: OPERATOR_PAGES.Failover });
    }
    for (const { id } of status.replicas.filter((replica) => replica.silent && failover === undefined)) {
        const text = `Database ${database}: endpoint ${id} does not answer. Reads go to the others; `
            + "it is used again as soon as it answers.";
        problems.push({ text, page: OPERATOR_PAGES.FewReplicas });
    }
    if (term !== undefined && failover === undefined && !status.replicas.some(({ state }) => state === "active")) {
        const text = `Database ${database} has no replica, so nothing can replace its primary ${status.primary ?? ""}.`;
        problems.push({ text, page: OPERATOR_PAGES.FewReplicas });
    }
    return problems;
}

function noPrimaryText({ database, unusedPrimaries }: DatabaseStatus): string {
    return unusedPrimaries.length > 1
        ? `Database ${database} has no primary yet, because ${unusedPrimaries.length} endpoints say that they are `
            + `primaries: ${unusedPrimaries.join(", ")}. Stop all but the right one.`
        : `Database ${database} has no primary yet: no announced endpoint has answered as a primary.`;
}

function failoverText(database: string, failover: NonNullable<DatabaseStatus["failover"]>): string {
    const { step, stepMs, waitsForHosts, waitsForEndpoints } = failover;
    const seconds = (stepMs / 1_000).toFixed(1);
    const waits = [
        waitsForHosts.length > 0 ? `entry hosts ${waitsForHosts.join(", ")} to confirm or lose their lease` : "",
        waitsForEndpoints.length > 0 ? `endpoints ${waitsForEndpoints.join(", ")} to answer` : "",
    ].filter((text) => text !== "");
    const waitsText = waits.length === 0 ? "the control group" : waits.join(" and ");
    return `Database ${database} accepts no writes: its failover has been in the step "${step}" for ${seconds} s and `
        + `waits for ${waitsText}.`;
}

function hostProblems(status: Omit<Status, "problems">): readonly Problem[] {
    const problems = status.silentHosts.map((id): Problem => ({
        text: `Entry host ${id} has not been heard from; it confirms no writes, and its share of the connections stays `
            + "reserved for 2 hours.",
        page: OPERATOR_PAGES.SilentHost,
    }));
    const { configuration } = status;
    if (configuration !== undefined && configuration.missingAt.length > 0) {
        const text = `Configuration ${configuration.number} is not yet in force at: ${
            configuration.missingAt.join(", ")
        }.`;
        problems.push({ text, page: OPERATOR_PAGES.Configuration });
    }
    return problems;
}
