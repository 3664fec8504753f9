import type { EndpointProbeResult } from "@medlarledge/protocol";
import type { ApplyResult } from "./apply-result.js";
import { commandKey, type ControlCommand } from "./command.js";
import type { LeaderContext, ProbeCallback, ProposalCallback } from "./leader-context.js";

interface Proposal {
    readonly key: string;
    readonly done: ProposalCallback;
}

/** Tracks pending proposals and probes and passes each result to its callback. */
export class PendingRequests {
    readonly #proposals = new Map<number, Proposal>();
    readonly #probes = new Map<number, ProbeCallback>();
    /** Never reset, so that a result from an earlier leadership matches no request of the current one. */
    #lastRequestId = 0;

    propose(context: LeaderContext, command: ControlCommand, done: ProposalCallback): void {
        const requestId = ++this.#lastRequestId;
        this.#proposals.set(requestId, { key: commandKey(command), done });
        context.emit({ kind: "propose", requestId, command });
    }

    /** Equal commands have equal outcomes, so all proposals of this command are answered. */
    applied(context: LeaderContext, command: ControlCommand, result: ApplyResult): void {
        if (this.#proposals.size === 0) {
            return;
        }
        const key = commandKey(command);
        for (const [requestId, proposal] of [...this.#proposals]) {
            if (proposal.key === key) {
                this.#proposals.delete(requestId);
                proposal.done(context, { kind: "applied", result });
            }
        }
    }

    proposalFailed(context: LeaderContext, requestId: number, reason: string): void {
        const proposal = this.#proposals.get(requestId);
        this.#proposals.delete(requestId);
        proposal?.done(context, { kind: "failed", reason });
    }

    /** Requests a probe of an endpoint; `done` receives its result. */
    read(context: LeaderContext, database: string, endpoint: string, done: ProbeCallback): void {
        const requestId = ++this.#lastRequestId;
        this.#probes.set(requestId, done);
        context.emit({ kind: "readEndpoint", requestId, database, endpoint });
    }

    /** Passes the result of a probe to its callback; ignores unknown request ids. */
    reading(context: LeaderContext, requestId: number, reading: EndpointProbeResult | undefined): void {
        const done = this.#probes.get(requestId);
        this.#probes.delete(requestId);
        done?.(context, reading);
    }

    clear(): void {
        this.#proposals.clear();
        this.#probes.clear();
    }
}
