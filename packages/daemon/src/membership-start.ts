import type { ConsensusStore, RecoveredState, StoreError } from "@medlarledge/agreement";
import { replacementMemberId } from "@medlarledge/control";
import type { LeaderReply, LeaderRequest } from "@medlarledge/protocol";

/** What a control host knows of its own membership; exchanged among control hosts before the first election. */
export const MemberPhase = {
    /** The data folder is empty. */
    Fresh: "fresh",
    /** Initialized, but has never voted nor followed a leader. */
    New: "new",
    /** Has voted or holds entries: the group exists. */
    Established: "established",
} as const;
export type MemberPhase = (typeof MemberPhase)[keyof typeof MemberPhase];

/** Classifies what a store found on opening. */
export function phaseOf(recovered: RecoveredState): MemberPhase {
    if (recovered.fresh) {
        return MemberPhase.Fresh;
    }
    const untouched = recovered.hardState.term === 0 && recovered.entries.length === 0;
    return untouched ? MemberPhase.New : MemberPhase.Established;
}

export type StartDecision =
    | { readonly kind: "wait"; readonly missing: readonly string[]; }
    /** First start of the group: every listed host takes its own id as member id. */
    | { readonly kind: "found"; }
    /** The group exists already, so this host's former vote may be part of it. */
    | { readonly kind: "join"; };

/**
 * Decides how a host with an empty data folder starts. A group is founded only when every other listed control host
 * says that it has never voted; a wiped host therefore never takes an id that may have voted.
 */
export function decideStart(others: readonly string[], phases: ReadonlyMap<string, MemberPhase>): StartDecision {
    if ([...phases.values()].includes(MemberPhase.Established)) {
        return { kind: "join" };
    }
    const missing = others.filter(id => !phases.has(id));
    return missing.length > 0 ? { kind: "wait", missing } : { kind: "found" };
}

/** Takes a fresh data folder according to the decision. Returns the member id, or the store's error. */
export async function initializeStore(
    store: ConsensusStore,
    decision: Exclude<StartDecision, { kind: "wait"; }>,
    host: { readonly id: string; readonly incarnation: string; readonly listed: readonly string[]; },
): Promise<{ readonly memberId: string; readonly error: StoreError | undefined; }> {
    if (decision.kind === "found") {
        const members = { voters: [...host.listed].sort(), learners: [] };
        return { memberId: host.id, error: await store.initialize(host.id, members) };
    }
    const memberId = replacementMemberId(host.id, host.incarnation);
    return { memberId, error: await store.initialize(memberId) };
}

/** Name of the request by which control hosts ask each other for their phase. */
export const MEMBER_PHASE_REQUEST = "memberPhase";

/** Interval at which unanswered control hosts are asked again. */
const ASK_MS = 100;

/** Asks the other control hosts for their phase until a host with an empty data folder knows how to start. */
export class MembershipStart {
    readonly #others: readonly string[];
    readonly #send: (to: string, request: LeaderRequest) => void;
    readonly #phases = new Map<string, MemberPhase>();

    constructor(others: readonly string[], send: (to: string, request: LeaderRequest) => void) {
        this.#others = others;
        this.#send = send;
    }

    /** Takes an answer of another control host. */
    replied(from: string, reply: LeaderReply): void {
        const phase = Object.values(MemberPhase).find(known => known === reply.body);
        if (phase !== undefined) {
            this.#phases.set(from, phase);
        }
    }

    /** Waits for a decision; `waiting` is told once whose answers are missing. */
    async decide(waiting: (missing: readonly string[]) => void): Promise<Exclude<StartDecision, { kind: "wait"; }>> {
        let told = false;
        for (;;) {
            const decision = decideStart(this.#others, this.#phases);
            if (decision.kind !== "wait") {
                return decision;
            }
            this.#others.forEach(id =>
                this.#send(id, {
                    kind: "leaderRequest",
                    id: MEMBER_PHASE_REQUEST,
                    name: MEMBER_PHASE_REQUEST,
                    body: undefined,
                })
            );
            await new Promise(resolve => setTimeout(resolve, ASK_MS));
            if (!told && this.#phases.size < this.#others.length) {
                told = true;
                waiting(decision.missing);
            }
        }
    }
}
