import type { Position, Term } from "@medlarledge/protocol";
import type { ConnectionCheckout } from "./connection-checkout.js";
import type { DatabaseContext, WaitingRequest } from "./database-context.js";
import type { PoolConnection } from "./pool-connection.js";
import type { Pool, PoolRefusal, PoolWaiter } from "./pool.js";
import type { RequestClass, SessionState } from "./ports.js";
import { StatementKind } from "./ports.js";
import type { Request } from "./request-assembler.js";
import type { RequestFailure } from "./request-failure.js";
import { failures } from "./request-failure.js";
import type { RequestPlan } from "./request-plan.js";
import { SessionFloor } from "./session-floor.js";

/** Delay before an endpoint that failed is tried again, and before a position query that failed is repeated. */
const RETRY_DELAY_MS = 20;

export interface SelectionListener {
    /** `requiredPosition` is the position that a query before the request must return at least. */
    chosen(checkout: ConnectionCheckout, requiredPosition: Position | undefined): void;
    refused(failure: RequestFailure): void;
}

/** Selects the endpoint and acquires the connection for one request, until its first byte is sent. */
export class EndpointSelection implements PoolWaiter, WaitingRequest {
    readonly #database: DatabaseContext;
    readonly #floor: SessionFloor;
    readonly #listener: SelectionListener;
    #plan: RequestPlan | undefined;
    #requestClass: RequestClass | undefined;
    #arrivedAt = 0;
    #deadlineAt = 0;
    #triedEndpoints: string[] = [];
    #queuedPool: Pool | undefined;
    /** The pool on which the request runs and holds a slot. */
    #runningPool: Pool | undefined;
    #requiredPosition: Position | undefined;
    /** The term under which the endpoint was chosen. */
    #term: Term | undefined;
    #cancelWait: (() => void) | undefined;
    #isActive = false;

    constructor(database: DatabaseContext, session: SessionState, listener: SelectionListener) {
        this.#database = database;
        this.#floor = new SessionFloor(database, session);
        this.#listener = listener;
    }

    get worth(): number {
        return this.#requestClass?.worth ?? 0;
    }

    get costKey(): string {
        return this.#requestClass?.name ?? "";
    }

    /** The request has its connection. */
    get running(): boolean {
        return !this.#isActive;
    }

    get deadlineAt(): number {
        return this.#deadlineAt;
    }

    start(request: Request, plan: RequestPlan, requestClass: RequestClass, deadlineAt: number): void {
        this.#plan = plan;
        this.#requestClass = requestClass;
        this.#arrivedAt = request.arrivedAt;
        this.#deadlineAt = deadlineAt;
        this.#triedEndpoints = [];
        this.#begin();
        this.#choose();
    }

    /** Selects again after `delayMs`. A read avoids the endpoint that failed; a write needs the primary. */
    chooseAgain(failed: string | undefined, delayMs: number): void {
        if (failed !== undefined && !this.#needsPrimary()) {
            this.#triedEndpoints.push(failed);
        }
        this.#begin();
        if (delayMs > 0) {
            this.#chooseLater(delayMs);
        }
        else {
            this.#choose();
        }
    }

    /** Frees the slot of the request. `ok` is false when the request was aborted. */
    finished(ok: boolean): void {
        const pool = this.#runningPool;
        this.#runningPool = undefined;
        pool?.finished(this, ok);
    }

    stop(): void {
        this.#isActive = false;
        this.#floor.stop();
        this.#cancelWait?.();
        this.#cancelWait = undefined;
        this.#queuedPool?.finished(this, false);
        this.#queuedPool = undefined;
        this.#database.waiting.delete(this);
        this.#database.waitingForPosition.delete(this);
    }

    viewChanged(): void {
        const pool = this.#queuedPool;
        if (pool === undefined) {
            this.#choose();
            return;
        }
        // A decision is valid for one term: the former primary needed no freshness check, but as a replica it does.
        if (this.#database.pool(pool.endpoint.id) !== pool || this.#database.term() !== this.#term) {
            this.#queuedPool = undefined;
            pool.finished(this, false);
            this.#choose();
        }
    }

    positionChanged(): void {
        this.#choose();
    }

    granted(connection: PoolConnection, pool: Pool): void {
        this.#queuedPool = undefined;
        if (!this.#isActive || this.#database.term() !== this.#term) {
            pool.finished(this, false);
            pool.release(connection);
            this.#choose();
            return;
        }
        const requiredPosition = this.#requiredPosition;
        const { environment, health } = this.#database;
        const now = environment.clock();
        if (health.state(pool.endpoint.id, now) === "probing") {
            health.trialStarted(pool.endpoint.id, now);
        }
        this.#end();
        this.#runningPool = pool;
        this.#listener.chosen({ connection, pool, term: this.#term ?? 0 }, requiredPosition);
    }

    refused(reason: PoolRefusal): void {
        const endpoint = this.#queuedPool?.endpoint.id;
        this.#queuedPool = undefined;
        if (!this.#isActive) {
            return;
        }
        if (reason === "queueFull" && endpoint !== undefined) {
            this.#database.retries.shed(endpoint, this.#database.environment.clock());
        }
        if (!this.#needsPrimary() && endpoint !== undefined) {
            this.#triedEndpoints.push(endpoint);
            this.#choose();
        }
        else if (reason === "queueFull" || reason === "noShare" || reason === "deadline") {
            this.#refuse(`the endpoint is overloaded (${reason})`);
        }
        else {
            this.#chooseLater(RETRY_DELAY_MS);
        }
    }

    #begin(): void {
        this.#isActive = true;
        this.#database.waiting.add(this);
    }

    #end(): void {
        this.stop();
    }

    /** Only requests that are certain to read may run on a replica. */
    #needsPrimary(): boolean {
        return this.#plan?.kind !== StatementKind.Read;
    }

    #refuse(text: string): void {
        this.#end();
        this.#listener.refused(failures.notRun(text, this.#plan));
    }

    #chooseLater(delayMs: number): void {
        this.#cancelWait?.();
        this.#cancelWait = this.#database.environment.schedule(delayMs, () => {
            this.#cancelWait = undefined;
            this.#choose();
        });
    }

    #choose(): void {
        this.#cancelWait?.();
        this.#cancelWait = undefined;
        this.#database.waitingForPosition.delete(this);
        const view = this.#database.view();
        const requestClass = this.#requestClass;
        if (
            !this.#isActive || view === undefined || requestClass === undefined
            || this.#database.settings() === undefined
        ) {
            return;
        }
        const needed = this.#needsFloor(requestClass);
        const decision = this.#floor.decide(needed, known => {
            if (known) {
                this.#choose();
            }
            else {
                this.#chooseLater(RETRY_DELAY_MS);
            }
        });
        switch (decision.kind) {
            case "floor":
                this.#route(decision.position, requestClass);
                return;
            case "lost":
                this.#end();
                this.#listener.refused(failures.stateLost(this.#plan));
                return;
            case "wait":
                return;
        }
    }

    #needsFloor(requestClass: RequestClass): boolean {
        return !this.#needsPrimary() && this.#plan?.executes === true && requestClass.ageMs === undefined
            && this.#database.settings()?.roaming === "strict";
    }

    #route(floor: Position | undefined, requestClass: RequestClass): void {
        const { clock, dependencies } = this.#database.environment;
        const now = clock();
        const settings = this.#database.settings();
        const decision = dependencies.router.choose(
            {
                write: this.#needsPrimary(),
                floor,
                ageMs: this.#needsPrimary() ? undefined : requestClass.ageMs,
                terms: this.#database.view()?.terms ?? [],
                primaryPositions: this.#database.positions.primary,
                arrivedAt: this.#arrivedAt,
                deadlineAt: this.#deadlineAt,
                waitMs: settings?.replicaWaitMs ?? 0,
                replicaReads: settings?.replicaReads ?? false,
                leaseValid: this.#database.leaseValid(),
                failedEndpoints: this.#triedEndpoints,
            },
            this.#database.candidates(now),
            now,
        );
        switch (decision.kind) {
            case "wait":
                this.#database.waitingForPosition.add(this);
                this.#chooseLater(this.#retryDelayMs(decision.untilMs - now));
                return;
            case "refuse":
                this.#handleRouteRefusal(decision.reason);
                return;
            case "send":
                this.#acquire(decision.endpoint, decision.proof === "self" ? decision.floor : undefined);
                return;
        }
    }

    /**
     * Endpoints that failed may recover before the router's wait is over, so they are tried again after a short delay.
     */
    #retryDelayMs(routerWaitMs: number): number {
        if (this.#triedEndpoints.length === 0) {
            return Math.max(1, routerWaitMs);
        }
        this.#triedEndpoints = [];
        return Math.max(1, Math.min(RETRY_DELAY_MS, routerWaitMs));
    }

    #handleRouteRefusal(reason: string): void {
        if (reason === "deadline") {
            this.#refuse("the deadline passed");
            return;
        }
        // Before the deadline, endpoints that failed may recover and a new lease or primary may appear.
        this.#triedEndpoints = [];
        this.#chooseLater(RETRY_DELAY_MS);
    }

    #acquire(endpoint: string, requiredPosition: Position | undefined): void {
        const pool = this.#database.pool(endpoint);
        if (pool === undefined || (this.#needsPrimary() && endpoint !== this.#database.primary())) {
            this.#chooseLater(RETRY_DELAY_MS);
            return;
        }
        this.#requiredPosition = requiredPosition;
        this.#term = this.#database.term();
        this.#queuedPool = pool;
        pool.acquire(this);
    }
}
