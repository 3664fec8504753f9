import type { Output } from "./output.js";

/** Attempts of a call; every call is idempotent, so an answer that was lost is asked for again. */
const ATTEMPTS = 3;
const ATTEMPT_TIMEOUT_MS = 7_000;

/** Address and token of the host that a command talks to. */
export interface HostAccess {
    readonly address: string;
    readonly token: string | undefined;
}

export type HostAnswer =
    | { readonly kind: "answered"; readonly status: number; readonly body: unknown; readonly text: string; }
    | { readonly kind: "unreachable"; readonly reason: string; };

/** Calls a host over HTTP and repeats the call when no answer came. */
export async function callHost(
    access: HostAccess,
    method: "GET" | "POST",
    path: string,
    body?: unknown,
): Promise<HostAnswer> {
    let reason = "";
    for (let attempt = 0; attempt < ATTEMPTS; attempt++) {
        try {
            const response = await fetch(`http://${access.address}${path}`, {
                method,
                headers: access.token === undefined ? {} : { authorization: `Bearer ${access.token}` },
                ...(body === undefined ? {} : { body: JSON.stringify(body) }),
                signal: AbortSignal.timeout(ATTEMPT_TIMEOUT_MS),
            });
            const text = await response.text();
            return { kind: "answered", status: response.status, text, body: parse(text) };
        }
        catch (error) {
            reason = describe(error);
        }
    }
    return { kind: "unreachable", reason };
}

/** Reports why a call gave no usable answer. */
export function reportFailure(access: HostAccess, answer: HostAnswer, output: Output): void {
    const text = answer.kind === "unreachable" ? answer.reason : errorText(answer);
    output.error(`medlarledge: host ${access.address}: ${text}`);
}

/** The sentence in an error's body; without one, the status and the text as they came. */
function errorText(answer: Extract<HostAnswer, { kind: "answered"; }>): string {
    const body = answer.body as
        | { readonly error?: unknown; readonly cluster?: { readonly error?: unknown; }; }
        | undefined;
    const error = body?.error ?? body?.cluster?.error;
    return typeof error === "string" ? error : `status ${answer.status}: ${answer.text.trim()}`;
}

function parse(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}

function describe(error: unknown): string {
    if (!(error instanceof Error)) {
        return String(error);
    }
    return error.cause instanceof Error ? error.cause.message : error.message;
}
