import type { ConfigurationChange, Endpoint, Host, Position, PromotionOrder, Term } from "@medlarledge/protocol";
import { Packr } from "msgpackr";

/** Commands of the replicated log. Property names are part of the stored encoding. */
export type ControlCommand =
    | { readonly kind: "registerHost"; readonly host: Host; }
    | { readonly kind: "removeHost"; readonly id: string; readonly incarnation: string; }
    | { readonly kind: "announceEndpoint"; readonly endpoint: Endpoint; }
    | {
        readonly kind: "endpointLeaves";
        readonly database: string;
        readonly id: string;
        readonly systemIdentifier: string;
        readonly sequence: number;
    }
    | { readonly kind: "endpointLeft"; readonly database: string; readonly id: string; readonly sequence: number; }
    | {
        readonly kind: "beginTerm";
        readonly database: string;
        readonly term: Term;
        readonly primary: string;
        readonly reason: string;
        /** Wall-clock time of the proposal, in ms. */
        readonly at: number;
    }
    | {
        readonly kind: "startTerm";
        readonly database: string;
        readonly term: Term;
        readonly timeline: number;
        readonly start: Position;
    }
    /** Recorded before the order is given, so that every later leader knows which endpoint may be the primary. */
    | { readonly kind: "orderPromotion"; readonly order: PromotionOrder; }
    | { readonly kind: "changeConfiguration"; readonly change: ConfigurationChange; readonly at: number; }
    /**
     * Proposed first by every new leader, which grants no leases and makes no decisions until it is applied: only then
     * are all entries of earlier leaders applied, too.
     */
    | { readonly kind: "openLeadership"; readonly host: string; readonly at: number; };

const KINDS = {
    registerHost: true,
    removeHost: true,
    announceEndpoint: true,
    endpointLeaves: true,
    endpointLeft: true,
    beginTerm: true,
    startTerm: true,
    orderPromotion: true,
    changeConfiguration: true,
    openLeadership: true,
} as const satisfies Record<ControlCommand["kind"], true>;

// Records are disabled so that each payload can be decoded independently of the others.
const packr = new Packr({ useRecords: false, moreTypes: false, mapsAsObjects: true });

/** Encodes a command as the payload of a log entry. */
export function encodeCommand(command: ControlCommand): Uint8Array {
    return packr.pack(command);
}

/** Decodes the payload of a log entry. Returns undefined for bytes that are not a command of this version. */
export function decodeCommand(payload: Uint8Array): ControlCommand | undefined {
    let value: unknown;
    try {
        value = packr.unpack(payload);
    }
    catch {
        return undefined;
    }
    return isCommand(value) ? value : undefined;
}

function isCommand(value: unknown): value is ControlCommand {
    return typeof value === "object" && value !== null && "kind" in value && typeof value.kind === "string"
        && Object.hasOwn(KINDS, value.kind);
}

/** Returns a key that is equal for equal commands. It matches an applied entry with its proposal. */
export function commandKey(command: ControlCommand): string {
    if (command.kind === "changeConfiguration") {
        const { number, digest, operator } = command.change;
        return JSON.stringify([command.kind, number, digest, operator, command.at]);
    }
    return JSON.stringify(command);
}
