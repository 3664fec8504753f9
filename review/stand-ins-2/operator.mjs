// The operator: sends configurations and reads them, as the page on the protocol says.
import { request } from "node:http";

/** One HTTP call; resolves to its status and body, or to status 0 without a response in a second. */
export function call(address, method, path, body, timeoutMs = 1000) {
    const [host, port] = address.split(":");
    const bytes = body === undefined ? undefined : Buffer.from(body);
    return new Promise(done => {
        const finish = result => {
            clearTimeout(timer);
            done(result);
        };
        const headers = bytes === undefined
            ? {}
            : { "content-type": "application/json", "content-length": bytes.length };
        const outgoing = request({ host, port, method, path, headers, agent: false }, response => {
            const chunks = [];
            response.on("data", chunk => chunks.push(chunk));
            response.on("end", () => finish({ status: response.statusCode, body: Buffer.concat(chunks).toString() }));
            response.on("error", () => finish({ status: 0, body: "" }));
        });
        const timer = setTimeout(() => {
            outgoing.destroy();
            finish({ status: 0, body: "" });
        }, timeoutMs);
        outgoing.on("error", () => finish({ status: 0, body: "" }));
        outgoing.end(bytes);
    });
}

export class Operator {
    #next = 0;

    /** @param addresses returns the listed nodes that serve control */
    constructor(addresses, record) {
        this.addresses = addresses;
        this.record = record;
        this.acknowledged = undefined;
    }

    #pick() {
        const list = this.addresses();
        this.#next += 1;
        return list[this.#next % list.length];
    }

    /** Sends a configuration until it is acknowledged, or until the time has passed. Larger bodies get more time. */
    async replace(configuration, limitMs, isQuiet = false) {
        const body = JSON.stringify(configuration);
        const endAt = performance.now() + limitMs;
        let pauseMs = 50;
        let last = 0;
        while (performance.now() < endAt) {
            const { status } = await call(this.#pick(), "POST", "/v1/Config.Replace", body, 1500);
            last = status;
            if (status === 200) {
                this.acknowledged = configuration;
                if (!isQuiet) {
                    this.record.write(`version ${configuration.version} (${body.length} bytes) is acknowledged`);
                }
                return true;
            }
            await new Promise(done => setTimeout(done, pauseMs));
            pauseMs = Math.min(800, pauseMs * 2);
        }
        this.record.write(`version ${configuration.version}: no acknowledgement in ${limitMs} ms, last status ${last}`);
        return false;
    }

    /** Reads the configuration, at each listed node in turn, until one answers or the time has passed. */
    async read(limitMs) {
        const endAt = performance.now() + limitMs;
        const statuses = {};
        while (performance.now() < endAt) {
            const { status, body } = await call(this.#pick(), "GET", "/v1/Config.Read", undefined, 1500);
            statuses[status] = (statuses[status] ?? 0) + 1;
            if (status === 200) {
                return { configuration: JSON.parse(body), statuses };
            }
            await new Promise(done => setTimeout(done, 300));
        }
        return { configuration: undefined, statuses };
    }
}

/** A configuration in the form of the page, with `count` further routes that no client uses. */
export function configurationOf(version, { services, routes, count }) {
    const idle = Array.from({ length: count }, (_, index) => ({
        name: `r-i${String(index).padStart(6, "0")}`, host: `fiti8${String(index).padStart(6, "0")}`, path_prefix: "/",
        route_kind: "read_your_writes", timeout_ms: 800 + version % 7, target_latency_ms: 250, priority: 2,
        service: services[index % services.length], max_attempts: 2, max_staleness_ms: 2500,
    }));
    return {
        version,
        routes: [...routes, ...idle],
        services: services.map(name => ({
            name, health_path: "/health", connection_limit: 41, protocol: "h1", tls: false, sync_replicas: 0,
        })),
        limits: {
            max_header_bytes: 16384, max_body_bytes: 262144, header_timeout_ms: 3000, idle_timeout_ms: 15000,
            transaction_idle_ms: 3000,
        },
    };
}
