import type { EndpointRecord, PromotionOrder } from "@medlarledge/protocol";
import type { OrderOutcome } from "./open-orders.js";
import type { MonitorProbeResult } from "./primary-check.js";
import type { MonitorReport } from "./primary-reports.js";

export type MonitorEvent =
    | { readonly kind: "tick"; }
    /** An entry host reported on the primary that it uses. */
    | { readonly kind: "report"; readonly from: string; readonly report: MonitorReport; }
    | {
        readonly kind: "reading";
        readonly endpoint: string;
        readonly reading: MonitorProbeResult | undefined;
        /** The round of the effect that caused the probe. */
        readonly round?: number | undefined;
    }
    /** The order is sent to the platform now; before, it was announced to the hosts. */
    | { readonly kind: "sent"; readonly order: PromotionOrder; }
    | { readonly kind: "ordered"; readonly fence: number; readonly outcome: OrderOutcome; }
    /** The announcement of a suspension ended; `isConfirmed` if no host acknowledges commits of the group any more. */
    | { readonly kind: "suspended"; readonly fence: number; readonly isConfirmed: boolean; };

export type MonitorEffect =
    /** Requests a report on the endpoint from all entry hosts. */
    | { readonly kind: "check"; readonly endpoint: string; }
    /** Probes an endpoint. `round` is set for a check of a primary that answers. */
    | { readonly kind: "read"; readonly endpoint: string; readonly round?: number; }
    /**
     * Gives an order to the platform. `isAnnounced` if all hosts are told before that they use the endpoint; otherwise they
     * go on using none.
     */
    | { readonly kind: "promote"; readonly order: PromotionOrder; readonly isAnnounced: boolean; }
    /** Announces to all hosts that they use no endpoint as the primary until the next order. */
    | { readonly kind: "suspend"; readonly order: PromotionOrder; }
    /** Orders the present primary again, which changes nothing but makes earlier orders void. */
    | { readonly kind: "confirm"; readonly order: PromotionOrder; }
    | {
        readonly kind: "event";
        readonly name:
            | "promotionChoosing"
            | "primarySuspended"
            | "promotionWaits"
            | "promotionOrdered"
            | "promotionDone";
        readonly fields: Readonly<Record<string, unknown>>;
    };

/** State of the group that the monitor reads when it handles an event. */
export interface MonitorView {
    /** Endpoints of the group that have not left. */
    readonly endpoints: readonly EndpointRecord[];
    /** Endpoints of the group that have left and have no successor at their address. */
    readonly departed: readonly EndpointRecord[];
    /** Entry hosts that are connected. */
    readonly entries: readonly string[];
    /**
     * The endpoint of the newest promotion order, which alone is used as the primary, or `NO_ENDPOINT`; undefined before
     * the first order, or where the endpoints alone decide which one is the primary.
     */
    readonly orderedPrimary: string | undefined;
    /** Whether a newer order makes earlier ones void that the platform has not carried out yet. */
    readonly newerOrdersVoidEarlier: boolean;
    /** Number of replicas that receive a commit before it is acknowledged. */
    readonly syncReplicas: number;
    /** Returns the next fencing token; each call returns a higher one. */
    readonly nextFencingToken: () => number;
    /** Returns true if a primary that answers may be probed now, which limits these probes over all groups. */
    readonly takePrimaryCheck: () => boolean;
}
