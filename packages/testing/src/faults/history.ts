/** Result of a request as its caller saw it. */
export type RequestOutcome = "done" | "notRun" | "rolledBack" | "unknown";

/** One recorded event. `at` is in simulated milliseconds; rows are identified by the write that inserted them. */
export type HistoryEvent =
    /** A term started: from `at` on, only `primary` may acknowledge writes. */
    | { readonly kind: "termStarted"; readonly at: number; readonly term: number; readonly primary: string; }
    | { readonly kind: "writeSent"; readonly at: number; readonly session: string; readonly row: string; }
    | {
        readonly kind: "writeAnswered";
        readonly at: number;
        readonly session: string;
        readonly row: string;
        readonly outcome: RequestOutcome;
        /** Term of the session token that came with the answer. */
        readonly term: number | undefined;
    }
    /** `ageMs` is set when the read accepts data of that age instead of the session's floor. */
    | {
        readonly kind: "readAnswered";
        readonly at: number;
        readonly sentAt: number;
        readonly session: string;
        readonly ageMs: number | undefined;
        readonly rows: readonly string[];
    }
    /** The session was told that a write was lost in a failover; its floor restarts. */
    | { readonly kind: "lossTold"; readonly at: number; readonly session: string; }
    /** An answer reached its caller; `expected` belongs to the caller's own oldest open request. */
    | {
        readonly kind: "answer";
        readonly at: number;
        readonly session: string;
        readonly expected: string;
        readonly received: string;
        readonly complete: boolean;
    }
    /** An endpoint ran the write, whether or not it committed. */
    | { readonly kind: "executed"; readonly at: number; readonly endpoint: string; readonly row: string; }
    /** An endpoint committed these rows in one transaction. */
    | { readonly kind: "committed"; readonly at: number; readonly endpoint: string; readonly rows: readonly string[]; }
    /** The caller sent these rows as one transaction and asked to commit it. */
    | { readonly kind: "transactionSent"; readonly at: number; readonly rows: readonly string[]; }
    | { readonly kind: "endpointLeaves"; readonly at: number; readonly endpoint: string; }
    | { readonly kind: "workSent"; readonly at: number; readonly host: string; readonly endpoint: string; }
    | { readonly kind: "drainBegun"; readonly at: number; readonly host: string; }
    | { readonly kind: "drainEnded"; readonly at: number; readonly host: string; readonly cut: number; }
    | { readonly kind: "requestCut"; readonly at: number; readonly host: string; readonly session: string; }
    | {
        readonly kind: "configurationAccepted";
        readonly at: number;
        readonly number: number;
        readonly digest: string;
    }
    | {
        readonly kind: "configurationInForce";
        readonly at: number;
        readonly host: string;
        readonly number: number;
        readonly digest: string;
    }
    /** A host's process ended; it does not count until its configuration is in force again. */
    | { readonly kind: "hostEnded"; readonly at: number; readonly host: string; }
    /** The last fault was healed: bounds in time count from here. */
    | { readonly kind: "healed"; readonly at: number; }
    /** End of the history, with the rows at the primary and the hosts that run. */
    | {
        readonly kind: "end";
        readonly at: number;
        readonly rows: readonly string[];
        readonly hosts: readonly string[];
    };

/** Events of one kind. */
export type EventOf<K extends HistoryEvent["kind"]> = Extract<HistoryEvent, { kind: K; }>;

/** Returns the events of a kind in their order. */
export function eventsOf<K extends HistoryEvent["kind"]>(
    history: readonly HistoryEvent[],
    kind: K,
): readonly EventOf<K>[] {
    return history.filter((event): event is EventOf<K> => event.kind === kind);
}
