import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { NO_FAULTS } from "./answer-queue.js";
import { listen, portOf } from "./listening.js";
import type { StandInEndpoint } from "./stand-in-endpoint.js";

type Body = Readonly<Record<string, unknown>>;
type Action = (endpoint: StandInEndpoint, body: Body) => unknown;

/** Requests of the control interface; each takes and returns JSON. */
const ACTIONS: Readonly<Record<string, Action>> = {
    "GET /status": (endpoint) => endpoint.status(),
    "POST /lag": (endpoint, { ms }) => endpoint.setLag(Number(ms)),
    "POST /follow": (endpoint, { host, port }) => endpoint.follow({ host: String(host), port: Number(port) }),
    "POST /promote": (endpoint) => endpoint.promote(),
    /** `mode` is `requests`, which do not run any more, or `answers`, which are kept back. */
    "POST /stop-answering": (endpoint, { mode }) =>
        endpoint.setFaults(mode === "answers" ? { holdAnswers: true } : { holdRequests: true }),
    /** Ends all faults except refused connections. */
    "POST /resume": (endpoint) => endpoint.setFaults(NO_FAULTS),
    "POST /late": (endpoint, { ms }) => endpoint.setFaults({ lateMs: Number(ms) }),
    "POST /cut-answers": (endpoint, { count }) => endpoint.setFaults({ cutAnswers: Number(count) }),
    "POST /close-connections": (endpoint) => endpoint.closeConnections(),
    "POST /refuse-connections": (endpoint, { refuse }) => endpoint.refuseConnections(refuse !== false),
    "POST /reset-counts": (endpoint) => endpoint.resetCounts(),
    "POST /leave": (endpoint) => endpoint.leave(),
    "POST /crash": (endpoint) => void setImmediate(() => endpoint.crash()),
};

const TABLE_PATH = /^GET \/tables\/(\w+)$/;

/** HTTP interface on which tests and experiments set faults and read counts. */
export class ControlServer {
    readonly #endpoint: StandInEndpoint;
    readonly #server: Server;

    constructor(endpoint: StandInEndpoint) {
        this.#endpoint = endpoint;
        this.#server = createServer((request, response) => void this.#answer(request, response));
    }

    get port(): number {
        return portOf(this.#server);
    }

    listen(host: string, port: number): Promise<void> {
        return listen(this.#server, host, port);
    }

    close(): void {
        this.#server.close();
        this.#server.closeAllConnections();
    }

    async #answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const route = `${request.method ?? ""} ${request.url ?? ""}`;
        let status = 200;
        let result: unknown;
        try {
            const table = TABLE_PATH.exec(route)?.[1];
            const action = ACTIONS[route];
            if (table !== undefined) {
                result = this.#endpoint.rows(table) ?? [];
            }
            else if (action === undefined) {
                status = 404;
            }
            else {
                result = await action(this.#endpoint, await readBody(request));
            }
        }
        catch (error) {
            status = 400;
            result = { error: error instanceof Error ? error.message : "failed" };
        }
        response.writeHead(status, { "content-type": "application/json" });
        response.end(JSON.stringify(result ?? {}));
    }
}

async function readBody(request: IncomingMessage): Promise<Body> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
        chunks.push(chunk as Buffer);
    }
    const text = Buffer.concat(chunks).toString("utf8");
    return text === "" ? {} : JSON.parse(text) as Body;
}
