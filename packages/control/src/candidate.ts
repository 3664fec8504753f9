import {
    type DatabaseView,
    type EndpointProbeResult,
    EndpointRole,
    EndpointState,
    type RegisteredEndpoint,
} from "@medlarledge/protocol";
import { presentEndpoints, startedTerm } from "./view.js";

export interface CandidateSelectionInput {
    readonly view: DatabaseView;
    /** Probe results since the completed revocation; undefined for an endpoint that did not answer. */
    readonly probeResults: ReadonlyMap<string, EndpointProbeResult | undefined>;
    readonly durability: "primary" | "replica";
    readonly promoteWithout: readonly string[];
    /** Endpoints whose promotion failed in this failover. */
    readonly failed: ReadonlySet<string>;
}

export type CandidateSelectionResult =
    | { readonly kind: "chosen"; readonly endpoint: string; }
    /** Nothing can be promoted safely; `missing` names the endpoints that must answer. */
    | { readonly kind: "wait"; readonly missing: readonly string[]; };

interface Candidate {
    readonly endpoint: RegisteredEndpoint;
    readonly reading: EndpointProbeResult;
}

/** Selects the eligible endpoint with the highest (timeline, position) for promotion. */
export function chooseCandidate(input: CandidateSelectionInput): CandidateSelectionResult {
    const { view, durability } = input;
    const former = startedTerm(view)?.primary;
    const begun = view.terms.at(-1);
    if (former === undefined) {
        return selectSolePrimary(input);
    }
    const present = presentEndpoints(view);
    const replicas = present.filter(({ id }) => id !== former);
    const candidates = replicas.flatMap((endpoint) => candidateOf(input, endpoint)).filter(({ endpoint, reading }) =>
        // A primary that is not the one of the begun term was promoted by a failover that later chose another endpoint.
        reading.role === EndpointRole.Replica || (begun?.start === undefined && begun?.primary === endpoint.id)
    );
    const missing = durability === "replica" ? unansweredReplicas(input, replicas) : [];
    const behind = replicasBehindLeavingPrimary(input, present, former, candidates);
    if (behind !== undefined) {
        return { kind: "wait", missing: behind };
    }
    const best = missing.length > 0 ? undefined : bestOf(candidates, durability, input.failed);
    if (best !== undefined) {
        return { kind: "chosen", endpoint: best.endpoint.id };
    }
    return selectFormerPrimary(input, present, former)
        ?? { kind: "wait", missing: missing.length > 0 ? missing : present.map(({ id }) => id) };
}

/**
 * A primary that leaves in order still answers, so none of its writes needs to be lost. Returns the replicas to wait
 * for while none of them has reached its position, otherwise undefined.
 */
function replicasBehindLeavingPrimary(
    input: CandidateSelectionInput,
    present: readonly RegisteredEndpoint[],
    former: string,
    candidates: readonly Candidate[],
): readonly string[] | undefined {
    const leaving = present.find(({ id, state }) => id === former && state === EndpointState.Leaving);
    const reading = leaving === undefined ? undefined : candidateOf(input, leaving)[0]?.reading;
    if (reading?.role !== EndpointRole.Primary) {
        return undefined;
    }
    const active = candidates.filter(({ endpoint }) => endpoint.state === EndpointState.Active);
    return active.some((candidate) => candidate.reading.position >= reading.position)
        ? undefined
        : active.map(({ endpoint }) => endpoint.id);
}

/** Before the first term has started the authoritative data is unknown, so only a sole primary can be selected. */
function selectSolePrimary(input: CandidateSelectionInput): CandidateSelectionResult {
    const { view } = input;
    const active = view.endpoints.filter(({ state }) => state === EndpointState.Active);
    const primaries = active.flatMap((endpoint) => candidateOf(input, endpoint))
        .filter(({ reading }) => reading.role === EndpointRole.Primary);
    const [only, ...others] = primaries;
    return only === undefined || others.length > 0
        ? { kind: "wait", missing: active.map(({ id }) => id) }
        : { kind: "chosen", endpoint: only.endpoint.id };
}

/** The former primary holds every acknowledged write; it continues under a new term when no replica can replace it. */
function selectFormerPrimary(
    input: CandidateSelectionInput,
    present: readonly RegisteredEndpoint[],
    former: string | undefined,
): CandidateSelectionResult | undefined {
    const endpoint = present.find(({ id, state }) => id === former && state === EndpointState.Active);
    const candidate = endpoint === undefined ? undefined : candidateOf(input, endpoint)[0];
    return candidate?.reading.role === EndpointRole.Primary
        ? { kind: "chosen", endpoint: candidate.endpoint.id }
        : undefined;
}

function candidateOf(input: CandidateSelectionInput, endpoint: RegisteredEndpoint): readonly Candidate[] {
    const reading = input.probeResults.get(endpoint.id);
    // Another system identifier means that another server answers at this address.
    return reading?.systemIdentifier === endpoint.systemIdentifier ? [{ endpoint, reading }] : [];
}

function unansweredReplicas(
    input: CandidateSelectionInput,
    replicas: readonly RegisteredEndpoint[],
): readonly string[] {
    return replicas
        .filter((endpoint) => candidateOf(input, endpoint).length === 0)
        .map(({ id }) => id)
        .filter((id) => !input.promoteWithout.includes(id));
}

function bestOf(
    candidates: readonly Candidate[],
    durability: "primary" | "replica",
    failed: ReadonlySet<string>,
): Candidate | undefined {
    const ordered = [...candidates].sort((left, right) => compare(right, left, failed));
    if (durability === "replica") {
        // Only the highest position is certain to hold every acknowledged write, whatever failed before and even if
        // that endpoint is about to leave.
        return ordered[0];
    }
    const active = ordered.filter(({ endpoint }) => endpoint.state === EndpointState.Active);
    return active.find(({ endpoint }) => !failed.has(endpoint.id)) ?? active[0];
}

function compare(left: Candidate, right: Candidate, failed: ReadonlySet<string>): number {
    return left.reading.timeline - right.reading.timeline
        || left.reading.position - right.reading.position
        || preference(left, failed) - preference(right, failed)
        || (left.endpoint.id < right.endpoint.id ? 1 : -1);
}

function preference({ endpoint }: Candidate, failed: ReadonlySet<string>): number {
    return (endpoint.state === EndpointState.Active ? 1 : 0) + (failed.has(endpoint.id) ? 0 : 2);
}
