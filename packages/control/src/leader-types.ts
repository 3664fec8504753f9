import type {
    ConfigurationFile,
    ControlMessage,
    EndpointObservation,
    EndpointProbeResult,
    Host,
    RenewLease,
    Revoked,
    Term,
} from "@medlarledge/protocol";
import type { ApplyResult } from "./apply-result.js";
import type { ControlCommand } from "./command.js";
import type { RequestName } from "./requests.js";

export interface LeaderOptions {
    /** Id of the host that this leader runs on; marks its own `openLeadership` entries. */
    readonly hostId: string;
    readonly leaseMs: number;
    readonly driftMarginMs: number;
    /** Maximum time that a leader acts after its last quorum contact; equal to `electionMs` of the consensus group. */
    readonly stepDownMs: number;
    /** Time to collect the reports of the other observers. */
    readonly confirmMs: number;
    readonly promoteTimeoutMs: number;
    readonly readingTimeoutMs: number;
    /** Interval of the endpoint polls for the status and the first term of a database; 5,000 when undefined. */
    readonly surveyMs?: number;
    /** Findings of a configuration; an empty list means that it is valid. */
    readonly validate: (files: readonly ConfigurationFile[]) => readonly string[];
    readonly durability: (database: string) => "primary" | "replica";
    /** Replicas that a failover may skip, by an operator's permission, although they do not answer. */
    readonly promoteWithout?: (database: string) => readonly string[];
}

export type LeaderEvent =
    | { readonly kind: "elected"; }
    | { readonly kind: "deposed"; }
    | { readonly kind: "tick"; }
    | { readonly kind: "hostConnected"; readonly host: Host; }
    | { readonly kind: "hostDisconnected"; readonly id: string; readonly incarnation: string; }
    | {
        readonly kind: "message";
        readonly from: string;
        readonly message: RenewLease | Revoked | EndpointObservation;
    }
    | { readonly kind: "request"; readonly requestId: number; readonly name: RequestName; readonly body: unknown; }
    | { readonly kind: "applied"; readonly command: ControlCommand; readonly result: ApplyResult; }
    | { readonly kind: "proposalFailed"; readonly requestId: number; readonly reason: string; }
    | {
        readonly kind: "reading";
        /** Id of the `readEndpoint` effect; distinguishes its result from those of earlier probes. */
        readonly requestId: number;
        readonly database: string;
        readonly endpoint: string;
        readonly reading: EndpointProbeResult | undefined;
    }
    | {
        readonly kind: "promoted";
        readonly database: string;
        readonly endpoint: string;
        readonly term: Term;
        readonly reading: EndpointProbeResult | undefined;
    };

export type LeaderEffect =
    | { readonly kind: "send"; readonly to: string; readonly message: ControlMessage; }
    | { readonly kind: "propose"; readonly requestId: number; readonly command: ControlCommand; }
    | {
        readonly kind: "readEndpoint";
        readonly requestId: number;
        readonly database: string;
        readonly endpoint: string;
    }
    | { readonly kind: "promoteEndpoint"; readonly database: string; readonly endpoint: string; readonly term: Term; }
    /** Orders a replica to replicate from the primary. */
    | {
        readonly kind: "followPrimary";
        readonly database: string;
        readonly endpoint: string;
        readonly primary: string;
    }
    | { readonly kind: "fenceEndpoint"; readonly database: string; readonly endpoint: string; }
    | { readonly kind: "reply"; readonly requestId: number; readonly ok: boolean; readonly body: unknown; }
    /** Written as one log line. */
    | { readonly kind: "event"; readonly name: string; readonly fields: Readonly<Record<string, unknown>>; };
