import { parseAddress } from "@medlarledge/runtime";
import { createHmac, timingSafeEqual } from "node:crypto";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";

/** Largest request body; a configuration folder of 4 MiB fits with its JSON escapes. */
const MAX_BODY_BYTES = 16 * 1024 * 1024;

/** Header of an announcement: HMAC-SHA-256 of the body under the announce key, in hexadecimal. */
export const SIGNATURE_HEADER = "x-medlarledge-signature";

export interface HttpAnswer {
    readonly status: number;
    readonly body: unknown;
    /** Defaults to JSON. */
    readonly type?: string;
}

export type HttpHandler = (body: unknown, query: URLSearchParams) => HttpAnswer | Promise<HttpAnswer>;

/** Who may call a route. */
export const Access = {
    /** The platform's probes. */
    Open: "open",
    /** Endpoints, by a signature over the body. */
    Signed: "signed",
    /** Operators, by a bearer token when one is set. */
    Operator: "operator",
} as const;
export type Access = (typeof Access)[keyof typeof Access];

export interface HttpRoute {
    readonly access: Access;
    readonly handle: HttpHandler;
}

export interface HttpServerOptions {
    readonly address: string;
    /** Routes by `METHOD /path`. */
    readonly routes: Readonly<Record<string, HttpRoute>>;
    readonly announceKey: string;
    readonly operatorToken: string | undefined;
    readonly refused: (reason: string) => void;
}

type BodyRead =
    | { readonly ok: true; readonly bytes: Buffer; }
    | { readonly ok: false; readonly answer: HttpAnswer; };

/** The HTTP listener of a host: the platform's probes, endpoints' announcements and operators' calls. */
export class HttpServer {
    readonly #options: HttpServerOptions;
    readonly #server: Server;

    constructor(options: HttpServerOptions) {
        this.#options = options;
        this.#server = createServer((request, response) => void this.#serve(request, response));
        this.#server.requestTimeout = 10_000;
    }

    /** Starts listening. Returns a reason when it cannot. */
    listen(): Promise<string | undefined> {
        const { host, port } = parseAddress(this.#options.address);
        return new Promise(resolve => {
            this.#server.once("error", error => resolve(error.message));
            this.#server.listen(port, host, () => resolve(undefined));
        });
    }

    close(): Promise<void> {
        this.#server.closeAllConnections();
        return new Promise(resolve => this.#server.close(() => resolve()));
    }

    async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const answer = await this.#answer(request);
        const text = typeof answer.body === "string" ? answer.body : `${JSON.stringify(answer.body)}\n`;
        response.writeHead(answer.status, { "content-type": answer.type ?? "application/json" });
        response.end(text);
    }

    async #answer(request: IncomingMessage): Promise<HttpAnswer> {
        const url = URL.parse(request.url ?? "/", "http://localhost");
        const route = this.#options.routes[`${request.method ?? ""} ${url?.pathname ?? ""}`];
        if (route === undefined || url === null) {
            return { status: 404, body: { error: "there is no such call" } };
        }
        const read = await readBody(request);
        if (!read.ok) {
            return read.answer;
        }
        const refusal = this.#refusalOf(route.access, request, read.bytes);
        if (refusal !== undefined) {
            this.#options.refused(refusal);
            return { status: 401, body: { error: refusal } };
        }
        const body = parseBody(read.bytes);
        if (!body.ok) {
            return { status: 400, body: { error: "the body is not JSON" } };
        }
        try {
            return await route.handle(body.value, url.searchParams);
        }
        catch (error) {
            return { status: 500, body: { error: error instanceof Error ? error.message : "internal error" } };
        }
    }

    #refusalOf(access: Access, request: IncomingMessage, bytes: Buffer): string | undefined {
        const checks: Readonly<Record<Access, () => string | undefined>> = {
            open: () => undefined,
            signed: () => this.#checkSignature(request.headers[SIGNATURE_HEADER], bytes),
            operator: () => this.#checkToken(request.headers.authorization),
        };
        return checks[access]();
    }

    #checkSignature(header: string | string[] | undefined, bytes: Buffer): string | undefined {
        const expected = signBody(this.#options.announceKey, bytes);
        return typeof header === "string" && equalTexts(header, expected) ? undefined : "the signature does not match";
    }

    #checkToken(header: string | undefined): string | undefined {
        const token = this.#options.operatorToken;
        if (token === undefined || (header !== undefined && equalTexts(header, `Bearer ${token}`))) {
            return undefined;
        }
        return "the operator token does not match";
    }
}

/** The signature of an announcement's body. */
export function signBody(announceKey: string, body: Buffer | string): string {
    return createHmac("sha256", Buffer.from(announceKey, "hex")).update(body).digest("hex");
}

function equalTexts(left: string, right: string): boolean {
    const leftBytes = Buffer.from(left);
    const rightBytes = Buffer.from(right);
    return leftBytes.byteLength === rightBytes.byteLength && timingSafeEqual(leftBytes, rightBytes);
}

async function readBody(request: IncomingMessage): Promise<BodyRead> {
    const chunks: Buffer[] = [];
    let size = 0;
    try {
        for await (const chunk of request) {
            const bytes = chunk as Buffer;
            size += bytes.byteLength;
            if (size > MAX_BODY_BYTES) {
                return { ok: false, answer: { status: 413, body: { error: "the body is too large" } } };
            }
            chunks.push(bytes);
        }
    }
    catch {
        return { ok: false, answer: { status: 400, body: { error: "the body was cut short" } } };
    }
    return { ok: true, bytes: Buffer.concat(chunks) };
}

function parseBody(bytes: Buffer): { ok: true; value: unknown; } | { ok: false; } {
    if (bytes.byteLength === 0) {
        return { ok: true, value: undefined };
    }
    try {
        return { ok: true, value: JSON.parse(bytes.toString("utf8")) };
    }
    catch {
        return { ok: false };
    }
}
