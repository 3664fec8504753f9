import type { Position, Term } from "@medlarledge/protocol";
import type { ConnectionCheckout } from "./connection-checkout.js";
import type { DatabaseContext, Rerouted } from "./database-context.js";
import type { PoolConnection } from "./pool-connection.js";
import type { Pool, PoolRefusal, PoolWaiter } from "./pool.js";
import type { RequestClass, SessionState } from "./ports.js";
import { StatementKind } from "./ports.js";
import type { Request } from "./request-assembly.js";
import type { RequestFailure } from "./request-failure.js";
import { failures } from "./request-failure.js";
import type { RequestPlan } from "./request-plan.js";
import { SessionFloor } from "./session-floor.js";

/** Pause before an endpoint that failed is tried again, and between questions for a position that was not answered. */
const RETRY_MS = 20;

export interface ChoiceListener {
    /** `proof` is the position that a query in front of the request must reach. */
    chosen(checkout: ConnectionCheckout, requiredPosition: Position | undefined): void;
    refused(failure: RequestFailure): void;
}

/** Finds the endpoint and the connection for one request, as long as nothing of it was sent. */
export class EndpointChoice implements PoolWaiter, Rerouted {
    readonly #database: DatabaseContext;
    readonly #floor: SessionFloor;
    readonly #listener: ChoiceListener;
    #plan: RequestPlan | undefined;
    #class: RequestClass | undefined;
    #arrivedAt = 0;
    #deadlineAt = 0;
    #tried: string[] = [];
    #pool: Pool | undefined;
    /** Where the request runs and holds a slot. */
    #granted: Pool | undefined;
    #proof: Position | undefined;
    /** The term under which the endpoint was chosen. */
    #term: Term | undefined;
    #cancelWait: (() => void) | undefined;
    #active = false;

    constructor(database: DatabaseContext, session: SessionState, listener: ChoiceListener) {
        this.#database = database;
        this.#floor = new SessionFloor(database, session);
        this.#listener = listener;
    }

    get worth(): number {
        return this.#class?.worth ?? 0;
    }

    get costKey(): string {
        return this.#class?.name ?? "";
    }

    /** The request got its connection. */
    get running(): boolean {
        return !this.#active;
    }

    get deadlineAt(): number {
        return this.#deadlineAt;
    }

    start(request: Request, plan: RequestPlan, requestClass: RequestClass, deadlineAt: number): void {
        this.#plan = plan;
        this.#class = requestClass;
        this.#arrivedAt = request.arrivedAt;
        this.#deadlineAt = deadlineAt;
        this.#tried = [];
        this.#begin();
        this.#choose();
    }

    /** Chooses again, not the given endpoint when it only reads. */
    again(failed: string | undefined, delayMs: number): void {
        if (failed !== undefined && !this.#writes()) {
            this.#tried.push(failed);
        }
        this.#begin();
        if (delayMs > 0) {
            this.#wait(delayMs);
        }
        else {
            this.#choose();
        }
    }

    /** The request's answer is complete, or it was cut: its slot is free. */
    finished(ok: boolean): void {
        const pool = this.#granted;
        this.#granted = undefined;
        pool?.finished(this, ok);
    }

    stop(): void {
        this.#active = false;
        this.#floor.stop();
        this.#cancelWait?.();
        this.#cancelWait = undefined;
        this.#pool?.finished(this, false);
        this.#pool = undefined;
        this.#database.waiting.delete(this);
        this.#database.waitingForPosition.delete(this);
    }

    viewChanged(): void {
        const pool = this.#pool;
        if (pool === undefined) {
            this.#choose();
            return;
        }
        // A decision holds for one term: the former primary needs no proof, a replica of the next term does.
        if (this.#database.pool(pool.endpoint.id) !== pool || this.#database.term() !== this.#term) {
            this.#pool = undefined;
            pool.finished(this, false);
            this.#choose();
        }
    }

    positionChanged(): void {
        this.#choose();
    }

    granted(connection: PoolConnection, pool: Pool): void {
        this.#pool = undefined;
        if (!this.#active || this.#database.term() !== this.#term) {
            pool.finished(this, false);
            pool.release(connection);
            this.#choose();
            return;
        }
        const proof = this.#proof;
        const { environment, health } = this.#database;
        const now = environment.clock();
        if (health.state(pool.endpoint.id, now) === "probing") {
            health.trialStarted(pool.endpoint.id, now);
        }
        this.#end();
        this.#granted = pool;
        this.#listener.chosen({ connection, pool, term: this.#term ?? 0 }, proof);
    }

    refused(reason: PoolRefusal): void {
        const endpoint = this.#pool?.endpoint.id;
        this.#pool = undefined;
        if (!this.#active) {
            return;
        }
        if (reason === "queueFull" && endpoint !== undefined) {
            this.#database.retries.shed(endpoint, this.#database.environment.clock());
        }
        if (!this.#writes() && endpoint !== undefined) {
            this.#tried.push(endpoint);
            this.#choose();
        }
        else if (reason === "queueFull" || reason === "noShare" || reason === "deadline") {
            this.#refuse(`the endpoint is overloaded (${reason})`);
        }
        else {
            this.#wait(RETRY_MS);
        }
    }

    #begin(): void {
        this.#active = true;
        this.#database.waiting.add(this);
    }

    #end(): void {
        this.stop();
    }

    /** Only what certainly reads may run on a replica. */
    #writes(): boolean {
        return this.#plan?.kind !== StatementKind.Read;
    }

    #refuse(text: string): void {
        this.#end();
        this.#listener.refused(failures.notRun(text, this.#plan));
    }

    #wait(delayMs: number): void {
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
        const requestClass = this.#class;
        if (
            !this.#active || view === undefined || requestClass === undefined || this.#database.settings() === undefined
        ) {
            return;
        }
        const needed = this.#needsFloor(requestClass);
        const decision = this.#floor.decide(needed, known => {
            if (known) {
                this.#choose();
            }
            else {
                this.#wait(RETRY_MS);
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
        return !this.#writes() && this.#plan?.executes === true && requestClass.ageMs === undefined
            && this.#database.settings()?.roaming === "strict";
    }

    #route(floor: Position | undefined, requestClass: RequestClass): void {
        const { clock, dependencies } = this.#database.environment;
        const now = clock();
        const settings = this.#database.settings();
        const decision = dependencies.router.choose(
            {
                write: this.#writes(),
                floor,
                ageMs: this.#writes() ? undefined : requestClass.ageMs,
                terms: this.#database.view()?.terms ?? [],
                primaryPositions: this.#database.positions.primary,
                arrivedAt: this.#arrivedAt,
                deadlineAt: this.#deadlineAt,
                waitMs: settings?.replicaWaitMs ?? 0,
                replicaReads: settings?.replicaReads ?? false,
                leaseValid: this.#database.leaseValid(),
                failedEndpoints: this.#tried,
            },
            this.#database.candidates(now),
            now,
        );
        switch (decision.kind) {
            case "wait":
                this.#database.waitingForPosition.add(this);
                this.#wait(this.#waitMs(decision.untilMs - now));
                return;
            case "refuse":
                this.#routeRefused(decision.reason);
                return;
            case "send":
                this.#acquire(decision.endpoint, decision.proof === "self" ? decision.floor : undefined);
                return;
        }
    }

    /** Endpoints that failed may be back before the router's time; they are tried again after a short pause. */
    #waitMs(routerMs: number): number {
        if (this.#tried.length === 0) {
            return Math.max(1, routerMs);
        }
        this.#tried = [];
        return Math.max(1, Math.min(RETRY_MS, routerMs));
    }

    #routeRefused(reason: string): void {
        if (reason === "deadline") {
            this.#refuse("the deadline passed");
            return;
        }
        // Endpoints that failed may be back, and the next lease or primary may come, before the deadline.
        this.#tried = [];
        this.#wait(RETRY_MS);
    }

    #acquire(endpoint: string, proof: Position | undefined): void {
        const pool = this.#database.pool(endpoint);
        if (pool === undefined || (this.#writes() && endpoint !== this.#database.primary())) {
            this.#wait(RETRY_MS);
            return;
        }
        this.#proof = proof;
        this.#term = this.#database.term();
        this.#pool = pool;
        pool.acquire(this);
    }
}
