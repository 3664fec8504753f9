import fc from "fast-check";
import { request as httpRequest } from "node:http";
import { afterEach, describe, expect, it } from "vitest";
import { freePort } from "../../runtime/tests/free-port.js";
import { HttpServer, type HttpServerOptions, SIGNATURE_HEADER, signBody } from "../src/http-server.js";

const SEED = 20_261_204;
const KEY = "11".repeat(32);
const servers: HttpServer[] = [];

afterEach(async () => {
    await Promise.all(servers.splice(0).map(server => server.close()));
});

describe("HttpServer", () => {
    it("refuses an announcement whose signature does not cover the body", async () => {
        const { url, bodies } = await start();
        const body = `{"id":"e1"}`;
        const forged = await post(`${url}/v1/endpoints`, body, { [SIGNATURE_HEADER]: signBody(KEY, `{"id":"e2"}`) });
        const unsigned = await post(`${url}/v1/endpoints`, body, {});
        expect([forged.status, unsigned.status, bodies.length]).toEqual([401, 401, 0]);
        const signed = await post(`${url}/v1/endpoints`, body, { [SIGNATURE_HEADER]: signBody(KEY, body) });
        expect([signed.status, bodies]).toEqual([200, [{ id: "e1" }]]);
    });

    it("asks operators for the token and leaves the platform's probes open", async () => {
        const { url } = await start({ operatorToken: "secret" });
        const status = async (headers: Record<string, string>): Promise<number> =>
            (await fetch(`${url}/v1/status`, { headers })).status;
        expect(await status({})).toBe(401);
        expect(await status({ authorization: "Bearer wrong" })).toBe(401);
        expect(await status({ authorization: "Bearer secret" })).toBe(200);
        expect((await fetch(`${url}/healthz`)).status).toBe(200);
    });

    it("answers any body and path with a status below 500 and keeps serving", async () => {
        const { url } = await start();
        const paths = fc.constantFrom("/v1/status", "/healthz", "/", "/v1/endpoints", "//", "/%00");
        await fc.assert(
            fc.asyncProperty(fc.string({ maxLength: 200 }), paths, async (body, path) => {
                const answer = await post(`${url}${path}`, body, { [SIGNATURE_HEADER]: signBody(KEY, body) });
                return answer.status < 500;
            }),
            { seed: SEED, numRuns: 300 },
        );
        expect((await fetch(`${url}/healthz`)).status).toBe(200);
    });

    it("survives a client that breaks off in the middle of a body", async () => {
        const { url, bodies } = await start();
        const request = httpRequest(`${url}/v1/endpoints`, { method: "POST", headers: { "content-length": 100 } });
        request.on("error", () => undefined);
        request.write("{");
        await new Promise(resolve => setTimeout(resolve, 20));
        request.destroy();
        expect((await fetch(`${url}/healthz`)).status).toBe(200);
        expect(bodies).toEqual([]);
    });
});

async function start(change: Partial<HttpServerOptions> = {}): Promise<{ url: string; bodies: unknown[]; }> {
    const bodies: unknown[] = [];
    const address = `127.0.0.1:${await freePort()}`;
    const server = new HttpServer({
        address,
        announceKey: KEY,
        operatorToken: undefined,
        refused: () => undefined,
        routes: {
            "GET /healthz": { access: "open", handle: () => ({ status: 200, body: {} }) },
            "GET /v1/status": { access: "operator", handle: () => ({ status: 200, body: {} }) },
            "POST /v1/endpoints": {
                access: "signed",
                handle: body => {
                    bodies.push(body);
                    return { status: 200, body: {} };
                },
            },
        },
        ...change,
    });
    servers.push(server);
    expect(await server.listen()).toBeUndefined();
    return { url: `http://${address}`, bodies };
}

function post(url: string, body: string, headers: Record<string, string>): Promise<Response> {
    return fetch(url, { method: "POST", body, headers });
}
