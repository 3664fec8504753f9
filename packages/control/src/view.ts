import { type DatabaseView, EndpointState, type RegisteredEndpoint, type TermRecord } from "@medlarledge/protocol";
import type { ControlState } from "./state.js";

/** The view of a database; empty when nothing was announced for it. */
export function viewOf(state: ControlState, database: string): DatabaseView {
    return state.database(database) ?? { database, terms: [], endpoints: [] };
}

/** The last term under which writes were accepted. */
export function startedTerm(view: DatabaseView): TermRecord | undefined {
    return view.terms.findLast((record) => record.start !== undefined);
}

/** Endpoints that have not left. */
export function presentEndpoints(view: DatabaseView): readonly RegisteredEndpoint[] {
    return view.endpoints.filter(({ state }) => state !== EndpointState.Left);
}
