import type { EndpointProbeResult } from "@medlarledge/protocol";
import type { ApplyResult } from "./apply-result.js";
import type { ControlCommand } from "./command.js";
import type { HostTable } from "./host-table.js";
import type { LeaderEffect, LeaderOptions } from "./leader-types.js";
import type { ControlState } from "./state.js";

export type ProposalOutcome =
    | { readonly kind: "applied"; readonly result: ApplyResult; }
    /** The command was not committed as far as known. It may still be, so a repeat must be harmless. */
    | { readonly kind: "failed"; readonly reason: string; };

export type ProposalCallback = (context: LeaderContext, outcome: ProposalOutcome) => void;
export type ProbeCallback = (context: LeaderContext, reading: EndpointProbeResult | undefined) => void;

/** Dependencies and clocks that the parts of the leader share while one event is handled. */
export interface LeaderContext {
    readonly state: ControlState;
    readonly options: LeaderOptions;
    readonly hosts: HostTable;
    readonly now: number;
    readonly wallClock: number;
    emit(effect: LeaderEffect): void;
    propose(command: ControlCommand, done: ProposalCallback): void;
    /** Probes an endpoint; `done` receives the result of this probe, undefined when there was no answer. */
    read(database: string, endpoint: string, done: ProbeCallback): void;
}
