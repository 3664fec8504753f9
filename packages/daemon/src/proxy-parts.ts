import type { ProxyDependencies } from "@medlarledge/proxy";
import {
    AdmissionQueue,
    EndpointHealth,
    PrimaryPositions,
    ReplicaPositions,
    RETRY_OPTIONS,
    RetryBudget,
    Router,
} from "@medlarledge/routing";
import { checkFloor, SessionState } from "@medlarledge/session";
import type { Configuration } from "@medlarledge/settings";

/** Service time assumed before any was observed. */
const FIRST_COST_MS = 2;

/** Longest time between the choice of an endpoint and the start of the statement that a stated age must cover. */
const AGE_MARGIN_MS = 20;

const DEFAULT_QUEUE = 256;

/** Builds the decision modules that the proxy uses, from the limits in force when a database is first used. */
export function proxyParts(limits: () => Configuration["limits"] | undefined, seed: number): ProxyDependencies {
    return {
        router: new Router({ strategy: "combined", spread: "leastInFlight", ageMarginMs: AGE_MARGIN_MS, seed }),
        checkFloor,
        session: () => new SessionState(),
        primaryPositions: () => new PrimaryPositions(),
        replicaPositions: () => new ReplicaPositions(),
        admission: () =>
            new AdmissionQueue({ queue: limits()?.queuePerEndpoint ?? DEFAULT_QUEUE, initialCostMs: FIRST_COST_MS }),
        retryBudget: () =>
            new RetryBudget({ ...RETRY_OPTIONS, share: limits()?.retryShare ?? RETRY_OPTIONS.share, seed }),
        health: () => new EndpointHealth(),
    };
}
