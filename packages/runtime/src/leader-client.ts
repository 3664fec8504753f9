import type { LeaderReply, LeaderRequest } from "@medlarledge/protocol";

/** Time after which an unanswered request is sent again, possibly to another leader. */
const RESEND_MS = 500;

export type LeaderAnswer =
    | { readonly kind: "answered"; readonly ok: boolean; readonly body: unknown; }
    | { readonly kind: "unavailable"; readonly reason: string; };

interface Pending {
    readonly request: LeaderRequest;
    readonly deadlineAt: number;
    sentAt: number;
    readonly resolve: (answer: LeaderAnswer) => void;
}

/** Sends requests to the leader and sends them again until answered. Every request must be idempotent. */
export class LeaderClient {
    readonly #send: (request: LeaderRequest) => boolean;
    readonly #pending = new Map<number, Pending>();
    #lastId = 0;

    /** `send` passes a request to the present leader and returns false when none is known. */
    constructor(send: (request: LeaderRequest) => boolean) {
        this.#send = send;
    }

    request(name: string, body: unknown, deadlineAt: number, now: number): Promise<LeaderAnswer> {
        this.#lastId += 1;
        const request: LeaderRequest = { kind: "leaderRequest", id: this.#lastId, name, body };
        return new Promise(resolve => {
            this.#pending.set(request.id, { request, deadlineAt, sentAt: now, resolve });
            this.#send(request);
        });
    }

    handleReply(reply: LeaderReply): void {
        const pending = this.#pending.get(reply.id);
        this.#pending.delete(reply.id);
        pending?.resolve({ kind: "answered", ok: reply.ok, body: reply.body });
    }

    /** Sends again what has waited too long, and gives up at the deadline. */
    tick(now: number): void {
        for (const [id, pending] of this.#pending) {
            if (now >= pending.deadlineAt) {
                this.#pending.delete(id);
                pending.resolve({ kind: "unavailable", reason: "no leader answered in time" });
            }
            else if (now - pending.sentAt >= RESEND_MS) {
                pending.sentAt = now;
                this.#send(pending.request);
            }
        }
    }
}
