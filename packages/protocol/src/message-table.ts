import type { ConsensusEnvelope } from "./consensus-message.js";
import type { ControlMessage } from "./control-message.js";
import type { FleetMessage } from "./fleet-message.js";
import type { LimitMessage } from "./limit-message.js";
import type { RelayMessage } from "./relay-message.js";

/** Every message between processes. */
export type Message = ConsensusEnvelope | ControlMessage | FleetMessage | LimitMessage | RelayMessage;

/** Discriminant of a message. */
export type MessageKind = Message["kind"];

/**
 * Message ids on the wire by kind. An id is never reused: a process of an older version reports an unknown id as a
 * decode error and keeps the connection.
 */
export const MESSAGE_IDS = {
    hello: 1,
    renewLease: 2,
    leaseGranted: 3,
    leaseRefused: 4,
    revoke: 5,
    revoked: 6,
    viewUpdate: 7,
    configurationUpdate: 8,
    endpointObservation: 9,
    confirmEndpoint: 10,
    leaderRequest: 11,
    leaderReply: 12,
    slotRequest: 13,
    slotGrant: 14,
    slotRecall: 15,
    serviceCounts: 16,
    serviceCountsReceived: 17,
    silentHosts: 18,
    cancelStatement: 19,
    agreement: 20,
    endpointRecords: 21,
    primaryOrders: 22,
    hostList: 23,
    configurationOffer: 24,
    configurationWanted: 25,
    primaryReport: 26,
    primaryCheck: 27,
    relayOrder: 28,
    relayResult: 29,
    relayEnd: 30,
    forwardedRenewal: 31,
    forwardedGrant: 32,
    freshnessRequest: 33,
    freshnessAnswer: 34,
    tokenRequest: 35,
    tokenGrant: 36,
    relayCancel: 37,
    hostListWanted: 38,
} as const satisfies Record<MessageKind, number>;

const KINDS_BY_ID: ReadonlyMap<number, MessageKind> = new Map(
    Object.entries(MESSAGE_IDS).map(([kind, id]) => [id, kind as MessageKind]),
);

/** Returns the message kind of an id on the wire; undefined if the id is unknown. */
export function messageKindOf(id: number): MessageKind | undefined {
    return KINDS_BY_ID.get(id);
}
