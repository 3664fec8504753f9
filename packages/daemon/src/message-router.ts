import { hostOfMember } from "@medlarledge/control";
import type {
    FleetMessage,
    Host,
    LeaderReply,
    LeaderRequest,
    LimitMessage,
    Message,
    MessageKind,
    RelayMessage,
} from "@medlarledge/protocol";
import type { ControlHost } from "./control-host.js";
import type { EntryMessage, EntryTask } from "./entry-task.js";
import { MEMBER_PHASE_REQUEST } from "./membership-start.js";
import type { ServiceReporter } from "./service-reporter.js";
import { slotSender } from "./slot-peers.js";
import type { SlotTask } from "./slot-task.js";

/** The tasks of a process that receive messages; the control part only on control hosts. */
export interface MessageTargets {
    readonly entry: EntryTask;
    readonly slots: SlotTask;
    readonly reporter: ServiceReporter;
    readonly control: ControlHost | undefined;
    readonly cancel: (processId: number, secretKey: number) => void;
    readonly send: (to: string, message: Message) => void;
}

/** The messages of processes that serve PostgreSQL; the others belong to the fleet package. */
type RoutedKind = Exclude<MessageKind, (FleetMessage | LimitMessage | RelayMessage)["kind"]>;

type Handlers = {
    readonly [K in RoutedKind]: (message: Extract<Message, { kind: K; }>, from: Host) => void;
};

/** Passes each message of another process to the task that owns its subject. */
export class MessageRouter {
    readonly #targets: MessageTargets;

    readonly #handlers: Handlers = {
        hello: () => undefined,
        renewLease: (message, from) => this.#toLeader(message, from),
        revoked: (message, from) => this.#toLeader(message, from),
        endpointObservation: (message, from) => this.#toLeader(message, from),
        leaseGranted: (message, from) => this.#toEntry(message, from),
        leaseRefused: (message, from) => this.#toEntry(message, from),
        revoke: (message, from) => this.#toEntry(message, from),
        viewUpdate: (message, from) => this.#toEntry(message, from),
        configurationUpdate: (message, from) => this.#toEntry(message, from),
        confirmEndpoint: (message, from) => this.#toEntry(message, from),
        silentHosts: (message, from) => this.#toEntry(message, from),
        leaderRequest: (message, from) => this.#request(message, from),
        leaderReply: (message, from) => this.#reply(message, from),
        slotRequest: (message, from) => this.#targets.slots.requested(slotSender(from), message),
        slotGrant: message => this.#targets.slots.granted(message),
        slotRecall: message => this.#targets.slots.recalled(message),
        cancelStatement: message => this.#targets.cancel(message.processId, message.secretKey),
        serviceCounts: (message, from) => {
            if (this.#targets.control?.services.receive(from, message) === true) {
                this.#targets.send(from.id, { kind: "serviceCountsReceived", sequence: message.sequence });
            }
        },
        serviceCountsReceived: (message, from) => this.#targets.reporter.acknowledged(from.id, message.sequence),
        agreement: (message, from) => {
            // A member speaks only for the host that it runs on.
            if (hostOfMember(message.from) === from.id) {
                this.#targets.control?.agreement?.receive(message);
            }
        },
    };

    constructor(targets: MessageTargets) {
        this.#targets = targets;
    }

    receive(from: Host, message: Message): void {
        const handlers: Partial<Record<MessageKind, unknown>> = this.#handlers;
        (handlers[message.kind] as ((message: Message, from: Host) => void) | undefined)?.(message, from);
    }

    #toEntry(message: EntryMessage, from: Host): void {
        this.#targets.entry.received(from.id, message);
    }

    #toLeader(
        message: Extract<Message, { kind: "renewLease" | "revoked" | "endpointObservation"; }>,
        from: Host,
    ): void {
        const control = this.#targets.control?.control;
        if (control !== undefined) {
            control.received(from.id, message);
        }
        else if (message.kind === "renewLease") {
            this.#targets.send(from.id, { kind: "leaseRefused", sequence: message.sequence, leader: undefined });
        }
    }

    #request(request: LeaderRequest, from: Host): void {
        const { control } = this.#targets;
        if (request.name === MEMBER_PHASE_REQUEST) {
            this.#answer(from, request.id, control?.phase !== undefined, control?.phase);
        }
        else if (request.name === "burn") {
            this.#answer(from, request.id, control !== undefined, control?.burn());
        }
        else {
            control?.control?.request(from.id, request.id, request.name, request.body);
        }
    }

    #answer(to: Host, id: string, ok: boolean, body: unknown): void {
        this.#targets.send(to.id, { kind: "leaderReply", id, ok, body });
    }

    #reply(reply: LeaderReply, from: Host): void {
        if (reply.id === MEMBER_PHASE_REQUEST) {
            this.#targets.control?.membershipStart.replied(from.id, reply);
        }
        else {
            this.#toEntry(reply, from);
        }
    }
}
