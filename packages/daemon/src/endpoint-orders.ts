import {
    type Credentials,
    type EndpointConnector,
    fenceEndpoint,
    followPrimary,
    promoteEndpoint,
    readEndpoint,
} from "@medlarledge/postgres";
import type { Endpoint, EndpointProbeResult } from "@medlarledge/protocol";
import type { EndpointOrders } from "./control-task.js";

/** Carries out control's orders over short connections of its own. */
export class PostgresOrders implements EndpointOrders {
    readonly #connector: EndpointConnector;
    readonly #credentials: Credentials;

    /** The credentials are those that a replica shows to its primary. */
    constructor(connector: EndpointConnector, credentials: Credentials) {
        this.#connector = connector;
        this.#credentials = credentials;
    }

    read(endpoint: Endpoint, timeoutMs: number): Promise<EndpointProbeResult | undefined> {
        return readEndpoint(this.#connector, endpoint, timeoutMs);
    }

    promote(endpoint: Endpoint, timeoutMs: number): Promise<EndpointProbeResult | undefined> {
        return promoteEndpoint(this.#connector, endpoint, timeoutMs);
    }

    async fence(endpoint: Endpoint, timeoutMs: number): Promise<void> {
        await fenceEndpoint(this.#connector, endpoint, timeoutMs);
    }

    async follow(endpoint: Endpoint, primary: Endpoint, timeoutMs: number): Promise<void> {
        await followPrimary(this.#connector, endpoint, primary, this.#credentials, timeoutMs);
    }
}
