import { type DatabaseView, EndpointState, type RegisteredEndpoint, type TermRecord } from "@medlarledge/protocol";
import type { ControlState } from "./state.js";

/** Returns the view of a database, which is empty if no endpoint was announced for it. */
export function viewOf(state: ControlState, database: string): DatabaseView {
    return state.database(database) ?? { database, terms: [], endpoints: [] };
}

/** Returns the last started term: the newest one under which writes were accepted. */
export function startedTerm(view: DatabaseView): TermRecord | undefined {
    return view.terms.findLast((record) => record.start !== undefined);
}

/** Returns the endpoints that have not left. */
export function presentEndpoints(view: DatabaseView): readonly RegisteredEndpoint[] {
    return view.endpoints.filter(({ state }) => state !== EndpointState.Left);
}
