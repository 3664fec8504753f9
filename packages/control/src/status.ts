import {
    type EndpointProbeResult,
    EndpointRole,
    type EndpointState,
    type Position,
    type Term,
} from "@medlarledge/protocol";
import type { EndpointPoll } from "./endpoint-poll.js";
import type { FailoverStep } from "./failover-step.js";
import type { Failover } from "./failover.js";
import type { HostRecord } from "./host-table.js";
import type { LeaderContext } from "./leader-context.js";
import { findProblems, type Problem } from "./problems.js";
import { presentEndpoints, startedTerm } from "./view.js";

/** A host that has not renewed its lease for this long is listed as silent; the time covers five renewals. */
export const SILENT_HOST_MS = 500;

export interface EndpointStatus {
    readonly id: string;
    readonly dataCentre: string;
    readonly state: EndpointState;
    /** Role reported at the last poll; undefined when the endpoint did not answer or has not been polled. */
    readonly role: EndpointRole | undefined;
    /** True when it did not answer the last poll. */
    readonly silent: boolean;
    readonly position: Position | undefined;
    /** Bytes of log behind the primary at the last poll. */
    readonly lagBytes: number | undefined;
}

export interface FailoverStatus {
    readonly step: "suspected" | FailoverStep;
    readonly reason: string;
    /** Time since the failover, or the suspicion, began, and time in this step, in ms. */
    readonly sinceMs: number;
    readonly stepMs: number;
    readonly candidate: string | undefined;
    readonly waitsForHosts: readonly string[];
    readonly waitsForEndpoints: readonly string[];
}

export interface DatabaseStatus {
    readonly database: string;
    /** Current primary; undefined while no term has started. */
    readonly primary: string | undefined;
    readonly term: Term | undefined;
    /** Term begun but not started. */
    readonly pendingTerm: Term | undefined;
    readonly replicas: readonly EndpointStatus[];
    readonly endpoints: readonly EndpointStatus[];
    /** Endpoints in the primary role other than the chosen primary; they are never used. */
    readonly unusedPrimaries: readonly string[];
    readonly failover: FailoverStatus | undefined;
}

export interface HostStatus {
    readonly id: string;
    readonly dataCentre: string;
    readonly control: boolean;
    readonly connected: boolean;
    readonly draining: boolean;
    /** Time left of the lease granted by this leader, in ms; 0 without a lease. */
    readonly leaseMs: number;
    /** Time since the last renewal, in ms. */
    readonly heardMs: number;
    readonly configurationNumber: number | undefined;
}

export interface ConfigurationStatus {
    readonly number: number;
    readonly digest: string;
    readonly operator: string;
    /** Wall-clock times in ms. */
    readonly acceptedAt: number;
    /** Time from which it is in force on all connected hosts; undefined while it is not on one of them. */
    readonly inForceEverywhereSince: number | undefined;
    readonly missingAt: readonly string[];
}

/** Status of the whole system for operators, as JSON-compatible data. */
export interface Status {
    readonly leader: string;
    /** Time since this leader was elected, in ms. */
    readonly leadingMs: number;
    /** False until the entries of earlier leaders are applied, and while the quorum does not answer. */
    readonly deciding: boolean;
    readonly databases: readonly DatabaseStatus[];
    readonly hosts: readonly HostStatus[];
    readonly silentHosts: readonly string[];
    readonly configuration: ConfigurationStatus | undefined;
    readonly problems: readonly Problem[];
}

export interface StatusSource {
    readonly electedAt: number;
    readonly deciding: boolean;
    readonly failovers: ReadonlyMap<string, Failover>;
    readonly suspected: ReadonlyMap<string, { readonly endpoint: string; readonly since: number; }>;
    readonly endpointPoll: EndpointPoll;
}

export function buildStatus(context: LeaderContext, source: StatusSource): Status {
    const hosts = context.state.hosts().map((host) => {
        const record = context.hosts.all().find((known) =>
            known.host.id === host.id && known.host.incarnation === host.incarnation
        );
        return hostStatus(context, host, record);
    });
    const status = {
        leader: context.options.hostId,
        leadingMs: context.now - source.electedAt,
        deciding: source.deciding,
        databases: context.state.databases().map(({ database }) => databaseStatus(context, source, database)),
        hosts,
        silentHosts: hosts.filter(({ connected, heardMs }) => !connected || heardMs > SILENT_HOST_MS).map(({ id }) =>
            id
        ),
        configuration: configurationStatus(context, hosts),
    };
    return { ...status, problems: findProblems(status) };
}

function databaseStatus(context: LeaderContext, source: StatusSource, database: string): DatabaseStatus {
    const view = context.state.database(database) ?? { database, terms: [], endpoints: [] };
    const readings = source.endpointPoll.probeResults(database);
    const started = startedTerm(view);
    const last = view.terms.at(-1);
    const primary = started === undefined ? undefined : readings.get(started.primary);
    const endpoints = presentEndpoints(view).map(({ id, dataCentre, state }): EndpointStatus => {
        const reading = readings.get(id);
        const lagBytes = lag(primary, reading);
        const silent = readings.has(id) && reading === undefined;
        return { id, dataCentre, state, role: reading?.role, silent, position: reading?.position, lagBytes };
    });
    return {
        database,
        primary: started?.primary,
        term: started?.term,
        pendingTerm: last !== undefined && last.start === undefined ? last.term : undefined,
        replicas: endpoints.filter(({ id, role }) => id !== started?.primary && role !== EndpointRole.Primary),
        endpoints,
        unusedPrimaries: source.endpointPoll.primaries(view).filter((id) => id !== last?.primary),
        failover: failoverStatus(context, source, database),
    };
}

function lag(primary: EndpointProbeResult | undefined, reading: EndpointProbeResult | undefined): number | undefined {
    return primary?.role === EndpointRole.Primary && reading?.role === EndpointRole.Replica
            && primary.timeline === reading.timeline
        ? Math.max(0, primary.position - reading.position)
        : undefined;
}

function failoverStatus(context: LeaderContext, source: StatusSource, database: string): FailoverStatus | undefined {
    const failover = source.failovers.get(database);
    if (failover !== undefined) {
        const { hosts, endpoints } = failover.waitsFor();
        return {
            step: failover.step(),
            reason: failover.reason,
            sinceMs: context.now - failover.startedAt,
            stepMs: context.now - failover.stepAt(),
            candidate: failover.candidate(),
            waitsForHosts: hosts,
            waitsForEndpoints: endpoints,
        };
    }
    const suspected = source.suspected.get(database);
    if (suspected === undefined) {
        return undefined;
    }
    const sinceMs = context.now - suspected.since;
    const reason = `hosts report ${suspected.endpoint} as unreachable`;
    const nothing = { candidate: undefined, waitsForHosts: [], waitsForEndpoints: [] };
    return { step: "suspected", reason, sinceMs, stepMs: sinceMs, ...nothing };
}

function hostStatus(
    context: LeaderContext,
    host: { readonly id: string; readonly dataCentre: string; readonly control: boolean; },
    record: HostRecord | undefined,
): HostStatus {
    return {
        id: host.id,
        dataCentre: host.dataCentre,
        control: host.control,
        connected: record?.connected ?? false,
        draining: record?.draining ?? false,
        leaseMs: Math.max(0, (record?.grantedUntil ?? context.now) - context.now),
        heardMs: record === undefined ? Number.MAX_SAFE_INTEGER : context.now - record.lastContactAt,
        configurationNumber: record?.configurationNumber,
    };
}

function configurationStatus(context: LeaderContext, hosts: readonly HostStatus[]): ConfigurationStatus | undefined {
    const change = context.state.configuration();
    if (change === undefined) {
        return undefined;
    }
    const acceptedAt = context.state.configurationState().acceptedAt() ?? 0;
    const connected = hosts.filter((host) => host.connected);
    const missingAt = connected.filter((host) => host.configurationNumber !== change.number).map(({ id }) => id);
    const since = context.hosts.allConnected().reduce(
        (latest, record) => Math.max(latest, record.configurationSince ?? 0),
        acceptedAt,
    );
    const inForceEverywhereSince = missingAt.length === 0 && connected.length > 0 ? since : undefined;
    const { number, digest, operator } = change;
    return { number, digest, operator, acceptedAt, inForceEverywhereSince, missingAt };
}
