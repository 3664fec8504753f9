import { ChangeOutcome, type Endpoint, EndpointState } from "@medlarledge/protocol";
import { z } from "zod";
import type { ControlCommand } from "./command.js";
import { CONFIGURATION_TOO_LARGE } from "./configuration-state.js";
import type { LeaderContext } from "./leader-context.js";
import type { Status } from "./status.js";
import { viewOf } from "./view.js";

/** Maximum size of a configuration, in characters over all files; about a quarter of the message size limit. */
export const MAX_CONFIGURATION_CHARACTERS = 4 * 1024 * 1024;

const name = z.string().min(1).max(200);
const natural = z.number().int().nonnegative().max(Number.MAX_SAFE_INTEGER);

const endpointBody = z.strictObject({
    id: name,
    database: name,
    dataCentre: name,
    host: name,
    port: z.number().int().min(1).max(65_535),
    systemIdentifier: name,
    sequence: natural,
    slots: z.number().int().min(1).max(10_000),
    connections: z.number().int().min(1).max(100_000),
});
const leaveBody = z.strictObject({ database: name, id: name, systemIdentifier: name, sequence: natural });
const file = z.strictObject({ name, text: z.string() });
const applyBody = z.strictObject({
    number: z.number().int().min(1).max(Number.MAX_SAFE_INTEGER),
    digest: z.string().regex(/^[0-9a-f]{64}$/, "must be a SHA-256 digest in lower-case hexadecimal"),
    operator: name,
    files: z.array(file).max(10_000).refine(
        (files) => files.reduce((sum, { text }) => sum + text.length, 0) <= MAX_CONFIGURATION_CHARACTERS,
        `must have at most ${MAX_CONFIGURATION_CHARACTERS} characters in total`,
    ),
});
const leaveHostBody = z.strictObject({ id: name, incarnation: name });
const statusBody = z.union([z.undefined(), z.null(), z.strictObject({})]);
const historyBody = z.union([
    z.undefined(),
    z.null(),
    z.strictObject({ limit: z.number().int().min(1).max(1_000).optional() }),
]);

/** Body of a reply that refuses a request. */
export type RequestError =
    | { readonly kind: "malformed"; readonly issues: readonly string[]; }
    | { readonly kind: "unknownRequest"; }
    | { readonly kind: "notLeader"; }
    /** The outcome is not known; the request may be repeated. */
    | { readonly kind: "unavailable"; readonly reason: string; };

type Reply = (context: LeaderContext, ok: boolean, body: unknown) => void;

interface Handler<Body> {
    readonly body: z.ZodType<Body>;
    readonly handle: (context: LeaderContext, body: Body, reply: Reply, status: () => Status) => void;
    readonly refuse: (context: LeaderContext, error: RequestError) => unknown;
}

function handler<Body>(
    body: z.ZodType<Body>,
    handle: Handler<Body>["handle"],
    refuse: Handler<Body>["refuse"] = (_, error) => error,
) {
    return {
        run(context: LeaderContext, input: unknown, reply: Reply, status: () => Status): void {
            const parsed = body.safeParse(input);
            if (parsed.success) {
                handle(context, parsed.data, reply, status);
                return;
            }
            const issues = parsed.error.issues.map(({ path, message }) => `${path.join(".") || "body"}: ${message}`);
            reply(context, false, refuse(context, { kind: "malformed", issues }));
        },
        refuse,
    };
}

function proposeAndReply(context: LeaderContext, command: ControlCommand, reply: Reply): void {
    context.propose(command, (later, outcome) => {
        if (outcome.kind === "failed") {
            reply(later, false, { kind: "unavailable", reason: outcome.reason } satisfies RequestError);
            return;
        }
        const refused = "outcome" in outcome.result && outcome.result.outcome === "refused";
        reply(later, !refused, outcome.result);
    });
}

const handlers = {
    announce: handler(endpointBody, (context, endpoint, reply) => {
        if (isRepeated(context, endpoint)) {
            // Endpoints announce themselves every 5 s; only a change needs a log entry.
            reply(context, true, { kind: "announceEndpoint", outcome: "unchanged", replaced: [] });
            return;
        }
        proposeAndReply(context, { kind: "announceEndpoint", endpoint }, reply);
    }),
    leave: handler(leaveBody, (context, body, reply) => {
        proposeAndReply(context, { kind: "endpointLeaves", ...body }, reply);
    }),
    /** A host that has shut down in order; logged, so that later leaders do not treat it as silent. */
    leaveHost: handler(leaveHostBody, (context, body, reply) => {
        proposeAndReply(context, { kind: "removeHost", ...body }, reply);
    }),
    apply: handler(
        applyBody,
        (context, change, reply) => {
            const configuration = context.state.configurationState();
            const outcome = configuration.evaluate(change);
            if (outcome !== ChangeOutcome.Accepted) {
                reply(context, outcome === ChangeOutcome.AlreadyAccepted, configuration.result(outcome, []));
                return;
            }
            const findings = context.options.validate(change.files);
            if (findings.length > 0) {
                reply(context, false, configuration.result(ChangeOutcome.Invalid, findings));
                return;
            }
            const command = { kind: "changeConfiguration", change, at: context.wallClock } as const;
            context.propose(command, (later, proposed) => {
                if (proposed.kind === "failed" && proposed.reason === "tooLarge") {
                    const tooLarge = later.state.configurationState();
                    reply(later, false, tooLarge.result(ChangeOutcome.Invalid, [CONFIGURATION_TOO_LARGE]));
                    return;
                }
                if (proposed.kind === "failed" || proposed.result.kind !== "changeConfiguration") {
                    reply(later, false, later.state.configurationState().result(ChangeOutcome.Unavailable, []));
                    return;
                }
                const { result } = proposed.result;
                const accepted = result.outcome === ChangeOutcome.Accepted
                    || result.outcome === ChangeOutcome.AlreadyAccepted;
                reply(later, accepted, result);
            });
        },
        (context, error) => {
            const outcome = error.kind === "malformed" ? ChangeOutcome.Invalid : ChangeOutcome.Unavailable;
            return context.state.configurationState().result(outcome, error.kind === "malformed" ? error.issues : []);
        },
    ),
    status: handler(statusBody, (context, _, reply, status) => reply(context, true, status())),
    history: handler(historyBody, (context, body, reply) => {
        const limit = body?.limit ?? context.state.history().length;
        reply(context, true, { entries: limit === 0 ? [] : context.state.history().slice(-limit) });
    }),
} as const;

/** Key of the table of request handlers. */
export type RequestName = keyof typeof handlers;

export const REQUEST_NAMES = Object.keys(handlers) as readonly RequestName[];

/** Requests to the leader; every request gets exactly one reply. */
export class Requests {
    readonly #open = new Map<number, RequestName>();

    handle(context: LeaderContext, requestId: number, requested: string, body: unknown, status: () => Status): void {
        if (!isRequestName(requested)) {
            const error: RequestError = { kind: "unknownRequest" };
            context.emit({ kind: "reply", requestId, ok: false, body: error });
            return;
        }
        this.#open.set(requestId, requested);
        handlers[requested].run(context, body, (later, ok, answer) => {
            if (this.#open.delete(requestId)) {
                later.emit({ kind: "reply", requestId, ok, body: answer });
            }
        }, status);
    }

    /** Refuses a request that this host cannot serve, in the reply format of that request. */
    refuse(context: LeaderContext, requestId: number, requested: string, error: RequestError): void {
        const body = isRequestName(requested) ? handlers[requested].refuse(context, error) : error;
        context.emit({ kind: "reply", requestId, ok: false, body });
    }

    /** Answers all open requests when this host stops leading; their outcome is not known. */
    abandon(context: LeaderContext): void {
        for (const [requestId, requested] of this.#open) {
            this.refuse(context, requestId, requested, { kind: "unavailable", reason: "the leader changed" });
        }
        this.#open.clear();
    }
}

function isRequestName(requested: string): requested is RequestName {
    return Object.hasOwn(handlers, requested);
}

function isRepeated(context: LeaderContext, endpoint: Endpoint): boolean {
    const known = viewOf(context.state, endpoint.database).endpoints.find(({ id }) => id === endpoint.id);
    if (known === undefined || known.state !== EndpointState.Active || endpoint.sequence <= known.sequence) {
        return false;
    }
    return known.systemIdentifier === endpoint.systemIdentifier && known.dataCentre === endpoint.dataCentre
        && known.host === endpoint.host && known.port === endpoint.port && known.slots === endpoint.slots
        && known.connections === endpoint.connections;
}
