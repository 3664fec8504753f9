import type { LeaderReply, LeaderRequest } from "@medlarledge/protocol";

/** Time after which an unanswered request is resent, possibly to another leader. */
const RESEND_MS = 500;

export type LeaderAnswer =
    | { readonly kind: "answered"; readonly ok: boolean; readonly body: unknown; }
    | { readonly kind: "unavailable"; readonly reason: string; };

interface PendingRequest {
    readonly request: LeaderRequest;
    readonly deadlineAt: number;
    sentAt: number;
    readonly resolve: (answer: LeaderAnswer) => void;
}

/** Sends requests to the leader and resends them until they are answered. Every request must be idempotent. */
export class LeaderClient {
    readonly #incarnation: string;
    readonly #send: (request: LeaderRequest) => boolean;
    readonly #pending = new Map<string, PendingRequest>();
    #lastNumber = 0;

    /**
     * @param incarnation random id of this process
     * @param send sends a request to the current leader and returns false when no leader is known
     */
    constructor(incarnation: string, send: (request: LeaderRequest) => boolean) {
        this.#incarnation = incarnation;
        this.#send = send;
    }

    /** Sends a request. Resolves with the answer, or with `unavailable` if there is none by `deadlineAt`. */
    request(name: string, body: unknown, deadlineAt: number, now: number): Promise<LeaderAnswer> {
        this.#lastNumber += 1;
        const id = `${this.#incarnation}-${this.#lastNumber}`;
        const request: LeaderRequest = { kind: "leaderRequest", id, name, body };
        return new Promise(resolve => {
            this.#pending.set(request.id, { request, deadlineAt, sentAt: now, resolve });
            this.#send(request);
        });
    }

    /** Resolves the request that a reply belongs to; a late or repeated reply is ignored. */
    handleReply(reply: LeaderReply): void {
        const pending = this.#pending.get(reply.id);
        this.#pending.delete(reply.id);
        pending?.resolve({ kind: "answered", ok: reply.ok, body: reply.body });
    }

    /** Resends requests without an answer, and gives up those that have reached their deadline. */
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
