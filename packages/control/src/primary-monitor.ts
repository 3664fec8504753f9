import {
    type EndpointRecord,
    EndpointRole,
    EndpointState,
    NO_ENDPOINT,
    type PromotionOrder,
} from "@medlarledge/protocol";
import { DepartedReplicas } from "./departed-replicas.js";
import { EndpointReadings } from "./endpoint-readings.js";
import type { MonitorEffect, MonitorEvent, MonitorView } from "./monitor-types.js";
import { OpenOrders, PROMOTION_TIMEOUT_MS } from "./open-orders.js";
import { type MonitorProbeResult, PrimaryCheck } from "./primary-check.js";
import { MAX_REPORT_AGE_MS, PrimaryReports } from "./primary-reports.js";
import { PrimarySuspension } from "./primary-suspension.js";
import { safeSuccessors } from "./safe-successor.js";
import { SupersededPrimaries } from "./superseded-primaries.js";

/** Time for the other entry hosts to answer a check; their probe of the endpoint takes 250 ms. */
export const CONFIRM_MS = 400;

/** Time for the endpoints to answer a probe with their log positions. */
export const PROBE_TIMEOUT_MS = 200;

/** Pause before the endpoints are probed again when none could be chosen, and before a promotion is retried. */
export const RETRY_INTERVAL_MS = 150;

/** Pause between two checks of an endpoint that most entry hosts reach. */
export const MIN_RECHECK_INTERVAL_MS = 500;

/** Interval of requests for reports on a primary that no entry host has reported as reachable. */
export const REPORT_REQUEST_INTERVAL_MS = 1_000;

/** Time for which a leaving primary serves again when no successor could be chosen while it was suspended. */
const RESTORED_INTERVAL_MS = 2_000;

/** An endpoint whose promotion the platform refused is not promoted by that order later. */
const REFUSAL_VALID_MS = 5_000;

/** A group without a primary gets one after this time; before, its endpoints may still be starting. */
export const MISSING_PRIMARY_TIMEOUT_MS = 1_500;

/**
 * Time for which a replacement waits for an endpoint that has followed the newest term, while only former primaries of
 * older terms answer. After that the commits of the newest term are given up, so that the group has a primary at all.
 */
export const SUPERSEDED_TIMEOUT_MS = 8_000;

/** Time for which a replacement waits until the log of a replica that has left is at another endpoint. */
export const LOG_TRANSFER_TIMEOUT_MS = 8_000;

/** Why a primary is replaced. */
interface Replacement {
    readonly reason: string;
    /** The primary that entry hosts report as unreachable; undefined when it is replaced for another reason. */
    readonly suspect: string | undefined;
    /** The primary that leaves, if that is why it is replaced. */
    readonly leaving?: string;
    /** Since when the replacement has waited for positions of replicas, which is logged once; undefined before. */
    readonly waitsSince?: number;
}

type Phase =
    | { readonly kind: "calm"; }
    | { readonly kind: "checking"; readonly endpoint: string; readonly since: number; }
    | {
        readonly kind: "choosing";
        readonly cause: Replacement;
        readonly since: number;
        /** Since when no endpoint could be chosen from the results; results that come later still count. */
        readonly undecidedSince?: number;
    }
    /** Waits until no host acknowledges commits of the group. */
    | { readonly kind: "suspending"; readonly cause: Replacement; readonly fence: number; }
    /** Waits before the endpoints are probed again. */
    | { readonly kind: "pausing"; readonly cause: Replacement; readonly since: number; }
    | {
        readonly kind: "promoting";
        readonly cause: Replacement;
        readonly order: PromotionOrder;
        readonly since: number;
    };

interface CheckResult {
    readonly endpoint: string;
    readonly reading: MonitorProbeResult | undefined;
    readonly round: number;
}

const CALM: Phase = { kind: "calm" };

/**
 * Monitors the primary of one group on the leader of the control group and replaces it when it has failed or is about
 * to leave. Has no durable state: a new leader starts with an empty monitor, and its orders have higher fencing
 * tokens. Before it takes the group as calm it makes the orders of earlier leaders void.
 */
export class PrimaryMonitor {
    readonly #group: string;
    readonly #reports = new PrimaryReports();
    readonly #readings = new EndpointReadings();
    readonly #superseded = new SupersededPrimaries();
    /** Time of the last refused or timed-out promotion, by endpoint. */
    readonly #failedPromotions = new Map<string, number>();
    /** Time of the last refusal by the platform, by endpoint. */
    readonly #refusedOrders = new Map<string, number>();
    #phase: Phase = CALM;
    /** The primary when the last replacement ended. */
    #lastPrimary: string | undefined;
    #withoutPrimarySince: number | undefined;
    /** A primary that no entry host reports as reachable, and when they are asked about it. */
    #unreported: { readonly endpoint: string; readonly askAt: number; } | undefined;
    #checkedAt = Number.NEGATIVE_INFINITY;
    /** When hosts last got the former primary back because no successor could be chosen. */
    #restoredAt = Number.NEGATIVE_INFINITY;
    readonly #departedReplicas = new DepartedReplicas();
    readonly #primaryCheck = new PrimaryCheck();
    readonly #openOrders: OpenOrders;
    readonly #suspension: PrimarySuspension;

    /** @param mayHaveEarlierOrders whether earlier leaders may have given orders for the group */
    constructor(group: string, mayHaveEarlierOrders: boolean) {
        this.#group = group;
        this.#openOrders = new OpenOrders(mayHaveEarlierOrders);
        this.#suspension = new PrimarySuspension(this.#openOrders);
    }

    get phase(): Phase["kind"] {
        return this.#phase.kind;
    }

    /** Handles one event. `now` is in ms of a monotonic clock. Returns the effects to execute, in order. */
    handle(event: MonitorEvent, view: MonitorView, now: number): readonly MonitorEffect[] {
        const effects: MonitorEffect[] = [];
        switch (event.kind) {
            case "report":
                this.#reports.received(event.from, event.report, view.endpoints.map(({ id }) => id), now);
                this.#superseded.seen(event.report.endpoint, event.report.term);
                break;
            case "reading":
                this.#superseded.seen(event.endpoint, event.reading?.leads === true ? event.reading.term : 0);
                if (event.round === undefined) {
                    this.#readings.record(event.endpoint, event.reading);
                }
                else {
                    this.#handleCheckResult({ ...event, round: event.round }, view, effects);
                }
                break;
            case "sent":
                this.#handleOrderSent(event, now);
                break;
            case "ordered":
                this.#handleOrderAnswer(event, now);
                break;
            case "suspended":
                this.#handleSuspension(event, view, now, effects);
                break;
            case "tick":
                break;
        }
        this.#advance(view, now, effects);
        return effects;
    }

    /** The presumed primary. Reports of entry hosts take precedence over the roles that endpoints announce. */
    primary(view: MonitorView): string | undefined {
        const { newestPrimary } = this.#reports;
        const announcedPrimaries = view.endpoints.filter(record => record.role === EndpointRole.Primary);
        const promoted = announcedPrimaries.find(({ id }) => id === view.orderedPrimary)
            ?? announcedPrimaries.find(({ id }) => id === this.#lastPrimary);
        if (promoted !== undefined) {
            return promoted.id;
        }
        const isPresent = view.endpoints.some(({ id }) => id === newestPrimary);
        return isPresent ? newestPrimary : announcedPrimaries[0]?.id;
    }

    #advance(view: MonitorView, now: number, effects: MonitorEffect[]): void {
        switch (this.#phase.kind) {
            case "calm":
                this.#advanceCalm(view, now, effects);
                break;
            case "checking":
                this.#advanceChecking(this.#phase, view, now, effects);
                break;
            case "choosing":
                this.#advanceChoosing(this.#phase, view, now, effects);
                break;
            case "suspending":
                break;
            case "pausing":
                if (now - this.#phase.since >= RETRY_INTERVAL_MS) {
                    this.#choose(this.#phase.cause, view, now, effects);
                }
                break;
            case "promoting":
                this.#advancePromoting(this.#phase, view, now, effects);
                break;
        }
    }

    #advanceCalm(view: MonitorView, now: number, effects: MonitorEffect[]): void {
        const primary = this.primary(view);
        const record = view.endpoints.find(({ id }) => id === primary);
        if (record === undefined) {
            this.#withoutPrimary(view, now, effects);
            return;
        }
        this.#withoutPrimarySince = undefined;
        const mayReplace = now - this.#restoredAt >= RESTORED_INTERVAL_MS;
        if (record.state === EndpointState.Leaving && this.#successors(view, record.id).length > 0 && mayReplace) {
            const cause = { reason: "the primary leaves", suspect: undefined, leaving: record.id };
            this.#choose(cause, view, now, effects);
        }
        else if (isOtherThanOrdered(record.id, view)) {
            this.#choose({ reason: "the primary is not the ordered one", suspect: undefined }, view, now, effects);
        }
        else if (
            now - this.#checkedAt >= MIN_RECHECK_INTERVAL_MS && this.#reports.countNotReaching(record.id, now) > 0
        ) {
            this.#checkedAt = now;
            this.#phase = { kind: "checking", endpoint: record.id, since: now };
            effects.push({ kind: "check", endpoint: record.id });
            this.#advance(view, now, effects);
        }
        else {
            this.#requestReports(record.id, view, now, effects);
            this.#checkPrimary(record.id, view, now, effects);
        }
    }

    /**
     * Asks all entry hosts about a primary that none of them has reported as reachable. It is known from its announcement
     * only, perhaps one from before a restart, and may have failed since.
     */
    #requestReports(primary: string, view: MonitorView, now: number, effects: MonitorEffect[]): void {
        if (this.#reports.isReached(primary, view.entries) || view.entries.length === 0) {
            this.#unreported = undefined;
            return;
        }
        if (this.#unreported?.endpoint !== primary) {
            this.#unreported = { endpoint: primary, askAt: now + REPORT_REQUEST_INTERVAL_MS };
        }
        else if (now >= this.#unreported.askAt) {
            this.#unreported = { endpoint: primary, askAt: now + REPORT_REQUEST_INTERVAL_MS };
            effects.push({ kind: "check", endpoint: primary });
        }
    }

    /**
     * Probes a primary that answers while an earlier order may still promote another endpoint, or while replicas that
     * have left may be the only ones with some commits.
     */
    #checkPrimary(primary: string, view: MonitorView, now: number, effects: MonitorEffect[]): void {
        const departed = this.#openDepartures(view);
        if (departed.length === 0 && !this.#isThreatened(primary, view)) {
            this.#primaryCheck.end();
        }
        else if (this.#primaryCheck.isDue(now) && view.takePrimaryCheck()) {
            const round = this.#primaryCheck.start(primary, departed, now);
            effects.push({ kind: "read", endpoint: primary, round });
        }
    }

    /** Replicas that have left and may be the only ones with some acknowledged commits. */
    #openDepartures({ syncReplicas, departed }: MonitorView): readonly EndpointRecord[] {
        return syncReplicas > 0 ? this.#departedReplicas.holders(departed) : [];
    }

    #isThreatened(primary: string, view: MonitorView): boolean {
        return view.newerOrdersVoidEarlier && this.#openOrders.threaten(primary);
    }

    /**
     * Once the primary has answered that it leads, makes earlier orders void and probes the replicas. Releases departed
     * replicas when enough others have received what the primary had.
     */
    #handleCheckResult(
        { endpoint, reading, round }: CheckResult,
        view: MonitorView,
        effects: MonitorEffect[],
    ): void {
        const hasLed = this.#primaryCheck.answered(round, endpoint, reading);
        if (hasLed && reading !== undefined && reading.term >= this.#reports.newestTerm) {
            if (this.#phase.kind === "calm" && this.#isThreatened(endpoint, view)) {
                const order = { group: this.#group, endpoint, fence: view.nextFencingToken() };
                effects.push({ kind: "confirm", order });
            }
            const replicas = this.#openDepartures(view).length > 0 ? view.endpoints : [];
            for (const { id } of replicas.filter(({ id: other }) => other !== endpoint)) {
                effects.push({ kind: "read", endpoint: id, round });
            }
        }
        this.#departedReplicas.release(this.#primaryCheck.releasable(view.syncReplicas));
    }

    #withoutPrimary(view: MonitorView, now: number, effects: MonitorEffect[]): void {
        if (view.endpoints.length === 0) {
            this.#withoutPrimarySince = undefined;
            return;
        }
        this.#withoutPrimarySince ??= now;
        if (now - this.#withoutPrimarySince >= MISSING_PRIMARY_TIMEOUT_MS) {
            this.#choose({ reason: "no endpoint is the primary", suspect: undefined }, view, now, effects);
        }
    }

    #advanceChecking(
        { endpoint, since }: Extract<Phase, { kind: "checking"; }>,
        view: MonitorView,
        now: number,
        effects: MonitorEffect[],
    ): void {
        const against = this.#reports.countNotReaching(endpoint, now);
        if (against === 0) {
            this.#phase = CALM;
        }
        else if (this.#isConfirmedUnreachable(endpoint, since, view, now)) {
            const reason = `${against} of ${view.entries.length} entry hosts do not reach the primary`;
            this.#choose({ reason, suspect: endpoint }, view, now, effects);
        }
        else if (now - since >= CONFIRM_MS) {
            this.#phase = CALM;
        }
    }

    /**
     * True when most entry hosts report the endpoint as unreachable; after CONFIRM_MS, when most of those that answered
     * do.
     */
    #isConfirmedUnreachable(endpoint: string, since: number, view: MonitorView, now: number): boolean {
        const against = this.#reports.countNotReaching(endpoint, now);
        if (against > view.entries.length / 2) {
            return true;
        }
        const answered = this.#reports.countSince(endpoint, view.entries, since - MAX_REPORT_AGE_MS);
        return now - since >= CONFIRM_MS && against > answered / 2 && against >= Math.min(2, view.entries.length);
    }

    #choose(cause: Replacement, view: MonitorView, now: number, effects: MonitorEffect[]): void {
        const { reason, leaving } = cause;
        // A primary that leaves serves until a successor is found, as long as no order keeps hosts from using it.
        const isServing = leaving !== undefined && !isOtherThanOrdered(leaving, view);
        if (!isServing && this.#suspension.isNeeded(view)) {
            this.#suspend(cause, view, effects);
            return;
        }
        this.#phase = { kind: "choosing", cause, since: now };
        this.#readings.clear();
        this.#primaryCheck.end();
        const event = { group: this.#group, reason, primary: this.primary(view) };
        effects.push({ kind: "event", name: "promotionChoosing", fields: event });
        const probed = this.#suspension.isInForce(view) ? view.endpoints : this.#candidates(view, cause);
        for (const { id } of probed) {
            effects.push({ kind: "read", endpoint: id });
        }
    }

    #suspend(cause: Replacement, view: MonitorView, effects: MonitorEffect[]): void {
        const order = { group: this.#group, endpoint: NO_ENDPOINT, fence: view.nextFencingToken() };
        this.#suspension.announced();
        this.#phase = { kind: "suspending", cause, fence: order.fence };
        effects.push({ kind: "suspend", order });
        const { reason } = cause;
        const fields = { group: this.#group, reason, primary: this.primary(view), fence: order.fence };
        effects.push({ kind: "event", name: "primarySuspended", fields });
    }

    #handleSuspension(
        { fence, isConfirmed }: Extract<MonitorEvent, { kind: "suspended"; }>,
        view: MonitorView,
        now: number,
        effects: MonitorEffect[],
    ): void {
        if (this.#phase.kind !== "suspending" || this.#phase.fence !== fence) {
            return;
        }
        const { cause } = this.#phase;
        this.#suspension.ended(isConfirmed);
        if (isConfirmed) {
            this.#choose(cause, view, now, effects);
        }
        else {
            this.#phase = { kind: "pausing", cause, since: now };
        }
    }

    #advanceChoosing(
        phase: Extract<Phase, { kind: "choosing"; }>,
        view: MonitorView,
        now: number,
        effects: MonitorEffect[],
    ): void {
        const { cause, since } = phase;
        const { suspect } = cause;
        const successors = this.#candidates(view, cause);
        const isComplete = successors.every(({ id }) => this.#readings.has(id));
        if (!isComplete && now - since < PROBE_TIMEOUT_MS) {
            return;
        }
        const isSuspectUsable = suspect !== undefined && !isOtherThanOrdered(suspect, view);
        if (isSuspectUsable && this.#reports.countNotReaching(suspect, now) === 0) {
            this.#finish("the primary is reachable again", suspect, effects);
            return;
        }
        const currentPrimary = this.#readings.currentPrimary(successors, this.#reports.newestTerm);
        const openOrder = this.#openOrder(successors, view, now);
        if (currentPrimary !== undefined && isOtherThanOrdered(currentPrimary, view) && openOrder === undefined) {
            this.#restore(currentPrimary, phase, view, now, effects);
            return;
        }
        if (currentPrimary !== undefined && openOrder === undefined) {
            // Another order took effect in the meantime; entry hosts detect the new primary on their own.
            this.#finish("is already the primary", currentPrimary, effects);
            return;
        }
        const best = openOrder ?? this.#bestSuccessor(successors, cause, view, now);
        if (best === undefined) {
            this.#remainUndecided(phase, successors, view, now, effects);
        }
        else if (this.#suspension.isNeeded(view)) {
            this.#suspend(cause, view, effects);
        }
        else {
            this.#promote(best, cause, view, now, effects);
        }
    }

    /** Waits for further results and then probes the endpoints again. Logs once which of them are waited for. */
    #remainUndecided(
        { cause, since, ...phase }: Extract<Phase, { kind: "choosing"; }>,
        candidates: readonly EndpointRecord[],
        view: MonitorView,
        now: number,
        effects: MonitorEffect[],
    ): void {
        const loggedCause = { ...cause, waitsSince: cause.waitsSince ?? now };
        const undecidedSince = phase.undecidedSince ?? now;
        if (now - undecidedSince >= RETRY_INTERVAL_MS) {
            const former = this.#suspension.isInForce(view)
                ? this.#readings.currentPrimary(view.endpoints, this.#reports.newestTerm)
                : undefined;
            if (former === undefined || !this.#mayRestore(former, view, now, effects)) {
                this.#choose(loggedCause, view, now, effects);
            }
            else {
                this.#restoredAt = now;
                this.#promote(former, cause, view, now, effects);
            }
            return;
        }
        this.#phase = { kind: "choosing", cause: loggedCause, since, undecidedSince };
        if (cause.waitsSince === undefined) {
            const waitedFor = [...candidates, ...this.#departedHolders(cause, view, now)].map(({ id }) => id)
                .filter(id => this.#readings.get(id)?.isExact !== true);
            const { syncReplicas } = view;
            const fields = { group: this.#group, waitedFor, syncReplicas, positions: this.#readings.describe() };
            effects.push({ kind: "event", name: "promotionWaits", fields });
        }
    }

    /** Lets hosts use an endpoint that leads but is not the ordered one; the platform changes nothing. */
    #restore(
        endpoint: string,
        { cause, since }: Extract<Phase, { kind: "choosing"; }>,
        view: MonitorView,
        now: number,
        effects: MonitorEffect[],
    ): void {
        if (this.#mayRestore(endpoint, view, now, effects)) {
            this.#promote(endpoint, cause, view, now, effects);
        }
        else if (now - since >= RETRY_INTERVAL_MS) {
            this.#choose(cause, view, now, effects);
        }
    }

    /**
     * Whether hosts may use a primary again. Where replicas acknowledge commits, no earlier order may promote another
     * endpoint any more, which would lack what is acknowledged from now on; makes such orders void first.
     */
    #mayRestore(endpoint: string, view: MonitorView, now: number, effects: MonitorEffect[]): boolean {
        if (this.#suspension.mayEnd(endpoint, view, now)) {
            return true;
        }
        if (this.#suspension.takeConfirmingOrder(endpoint, now)) {
            const order = { group: this.#group, endpoint, fence: view.nextFencingToken() };
            effects.push({ kind: "confirm", order });
        }
        return false;
    }

    #promote(endpoint: string, cause: Replacement, view: MonitorView, now: number, effects: MonitorEffect[]): void {
        const order = { group: this.#group, endpoint, fence: view.nextFencingToken() };
        this.#phase = { kind: "promoting", cause, order, since: now };
        effects.push({ kind: "promote", order, isAnnounced: this.#suspension.mayEnd(endpoint, view, now) });
        effects.push({
            kind: "event",
            name: "promotionOrdered",
            fields: {
                ...order,
                positions: this.#readings.describe(),
                gaveUpTerm: this.#isSuperseded(endpoint) ? this.#superseded.newestTerm : undefined,
            },
        });
    }

    #advancePromoting(
        { cause, order, since }: Extract<Phase, { kind: "promoting"; }>,
        view: MonitorView,
        now: number,
        effects: MonitorEffect[],
    ): void {
        const record = view.endpoints.find(({ id }) => id === order.endpoint);
        const isAnnounced = !isOtherThanOrdered(order.endpoint, view);
        const leads = record?.role === EndpointRole.Primary || this.#reports.wasSeenLeading(order.endpoint, since);
        if (leads && isAnnounced) {
            this.#finish("promoted", order.endpoint, effects);
        }
        else if (leads && this.#suspension.isInForce(view) && now - since >= RETRY_INTERVAL_MS) {
            this.#choose({ ...cause, reason: "the ordered endpoint leads" }, view, now, effects);
        }
        else if (record === undefined || now - since >= PROMOTION_TIMEOUT_MS) {
            this.#failedPromotions.set(order.endpoint, now);
            const reason = "the ordered endpoint did not become the primary";
            this.#choose({ ...cause, reason }, view, now, effects);
        }
    }

    /** The platform has the usual time from the moment at which it gets the order. */
    #handleOrderSent({ order }: Extract<MonitorEvent, { kind: "sent"; }>, now: number): void {
        this.#openOrders.sent(order);
        if (this.#phase.kind === "promoting" && this.#phase.order.fence === order.fence) {
            this.#phase = { ...this.#phase, since: now };
        }
    }

    #handleOrderAnswer({ fence, outcome }: Extract<MonitorEvent, { kind: "ordered"; }>, now: number): void {
        this.#openOrders.answered(fence, outcome, now);
        if (this.#phase.kind !== "promoting" || this.#phase.order.fence !== fence || outcome === "accepted") {
            return;
        }
        if (outcome === "refused") {
            this.#failedPromotions.set(this.#phase.order.endpoint, now);
            this.#refusedOrders.set(this.#phase.order.endpoint, now);
        }
        // An unanswered order may still be executed, so the endpoints are probed before a new one is given. It stays open
        // until a newer order is accepted.
        const cause = { ...this.#phase.cause, reason: `the order was ${outcome}` };
        this.#phase = { kind: "pausing", cause, since: now };
    }

    #finish(why: string, endpoint: string, effects: MonitorEffect[]): void {
        this.#phase = CALM;
        this.#lastPrimary = endpoint;
        this.#reports.clear();
        this.#failedPromotions.clear();
        effects.push({ kind: "event", name: "promotionDone", fields: { group: this.#group, endpoint, why } });
    }

    /**
     * The endpoint of the newest order, if that order may still take effect although a newer one is accepted. Otherwise
     * hosts would use another endpoint when it does. A refused order is over.
     */
    #openOrder(
        successors: readonly EndpointRecord[],
        { orderedPrimary, newerOrdersVoidEarlier, syncReplicas }: MonitorView,
        now: number,
    ): string | undefined {
        if (newerOrdersVoidEarlier && syncReplicas > 0) {
            return undefined;
        }
        const isRefused = now - (this.#refusedOrders.get(orderedPrimary ?? "") ?? -Infinity) < REFUSAL_VALID_MS;
        const isUsable = successors.some(({ id }) => id === orderedPrimary && this.#readings.get(id)?.leads === false);
        return isUsable && !isRefused ? orderedPrimary : undefined;
    }

    /**
     * The endpoint with the newest log position; one that recently failed to be promoted only if there is no other.
     * Undefined while none is known to have every acknowledged commit, where replicas acknowledge them, and for a limited
     * time while only former primaries answer that later ones have superseded.
     */
    #bestSuccessor(
        candidates: readonly EndpointRecord[],
        cause: Replacement,
        view: MonitorView,
        now: number,
    ): string | undefined {
        const { newestTerm } = this.#reports;
        const isOverdue = cause.waitsSince !== undefined && now - cause.waitsSince >= SUPERSEDED_TIMEOUT_MS;
        const ids = candidates.map(({ id }) => id);
        const holders = [...ids, ...this.#departedHolders(cause, view, now).map(({ id }) => id)];
        const safe = view.syncReplicas > 0 ? safeSuccessors(holders, this.#readings.results, view.syncReplicas) : ids;
        const answered = candidates.filter(({ id }) =>
            safe.includes(id) && this.#readings.get(id) !== undefined && !this.#readings.isFormerPrimary(id, newestTerm)
            && (isOverdue || !this.#isSuperseded(id))
        );
        const notRecentlyRefused = answered.filter(({ id }) =>
            now - (this.#failedPromotions.get(id) ?? -Infinity) >= PROMOTION_TIMEOUT_MS
        );
        const choice = notRecentlyRefused.length > 0 ? notRecentlyRefused : answered;
        return this.#readings.sorted(choice)[0]?.id;
    }

    #isSuperseded(endpoint: string): boolean {
        const reading = this.#readings.get(endpoint);
        return reading !== undefined && this.#superseded.includes(endpoint, reading);
    }

    /** Replicas that have left and count in a replacement; none once their log has not come for long. */
    #departedHolders({ waitsSince }: Replacement, view: MonitorView, now: number): readonly EndpointRecord[] {
        const isOverdue = waitsSince !== undefined && now - waitsSince >= LOG_TRANSFER_TIMEOUT_MS;
        return isOverdue ? [] : this.#openDepartures(view);
    }

    /**
     * Endpoints that are probed before one of them is chosen. Where replicas acknowledge commits, one that leaves may
     * be the only one that has all of them. One that leaves may also have become the primary since.
     */
    #candidates(view: MonitorView, { suspect, leaving }: Replacement): readonly EndpointRecord[] {
        const alsoLeaving = view.endpoints.filter(({ id, state, role }) =>
            state === EndpointState.Leaving && id !== suspect && id !== leaving
            && (view.syncReplicas > 0 || role === EndpointRole.Primary)
        );
        return [...this.#successors(view, suspect), ...alsoLeaving];
    }

    /** Active endpoints other than the one to be replaced. */
    #successors(view: MonitorView, replaced: string | undefined): readonly EndpointRecord[] {
        return view.endpoints.filter(record => record.state === EndpointState.Active && record.id !== replaced);
    }
}

/** Returns true when hosts use another endpoint than this one as the primary because of a promotion order. */
function isOtherThanOrdered(endpoint: string, { orderedPrimary }: MonitorView): boolean {
    return orderedPrimary !== undefined && orderedPrimary !== endpoint;
}
