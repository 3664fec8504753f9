import { type DatabaseView, type EndpointProbeResult, EndpointRole } from "@medlarledge/protocol";
import type { LeaderContext } from "./leader-context.js";
import { presentEndpoints, startedTerm } from "./view.js";

/** Orders every other endpoint of a database to replicate from the primary of the term that has just started. */
export function orderAllToFollow(context: LeaderContext, view: DatabaseView): void {
    const primary = startedTerm(view)?.primary;
    for (const { id } of presentEndpoints(view)) {
        if (primary !== undefined && id !== primary) {
            context.emit({ kind: "followPrimary", database: view.database, endpoint: id, primary });
        }
    }
}

/**
 * Repeats the order to replicas on an older timeline: either it was lost, or the replica was unreachable when the term
 * started. The order has no effect on a replica that already follows the primary.
 */
export function orderLateReplicasToFollow(
    context: LeaderContext,
    view: DatabaseView,
    probeResults: ReadonlyMap<string, EndpointProbeResult | undefined>,
): void {
    const term = startedTerm(view);
    const timeline = term?.timeline;
    if (term === undefined || timeline === undefined || view.terms.at(-1) !== term) {
        return;
    }
    for (const { id } of presentEndpoints(view)) {
        const reading = probeResults.get(id);
        if (id !== term.primary && reading?.role === EndpointRole.Replica && reading.timeline < timeline) {
            context.emit({ kind: "followPrimary", database: view.database, endpoint: id, primary: term.primary });
        }
    }
}
