import { type EndpointRecord, EndpointRole, EndpointState, NO_ENDPOINT } from "@medlarledge/protocol";
import { describe, expect, it } from "vitest";
import type { MonitorEffect, MonitorEvent, MonitorView } from "../src/monitor-types.js";
import { PROMOTION_TIMEOUT_MS } from "../src/open-orders.js";
import { PRIMARY_CHECK_INTERVAL_MS } from "../src/primary-check.js";
import {
    CONFIRM_MS,
    LOG_TRANSFER_TIMEOUT_MS,
    MIN_RECHECK_INTERVAL_MS,
    MISSING_PRIMARY_TIMEOUT_MS,
    PrimaryMonitor,
    PROBE_TIMEOUT_MS,
    REPORT_REQUEST_INTERVAL_MS,
    RETRY_INTERVAL_MS,
    SUPERSEDED_TIMEOUT_MS,
} from "../src/primary-monitor.js";

const ENTRIES = ["e1", "e2", "e3", "e4", "e5", "e6"];

function record(id: string, changes: Partial<EndpointRecord> = {}): EndpointRecord {
    const place = { group: "orders", dataCentre: "d1", host: "10.0.0.1", port: 1, slots: 2, born: 1, sequence: 1 };
    return { id, ...place, state: EndpointState.Active, role: EndpointRole.Replica, ...changes };
}

/** A monitor with its simulated time and endpoints and the effects that it produced. */
class Scene {
    readonly watch: PrimaryMonitor;
    readonly effects: MonitorEffect[] = [];
    endpoints: EndpointRecord[] = [record("a", { role: EndpointRole.Primary }), record("b"), record("c")];
    entries: readonly string[] = ENTRIES;
    now = 10_000;
    orderedPrimary: string | undefined;
    syncReplicas = 0;
    departed: EndpointRecord[] = [];
    newerOrdersVoidEarlier = true;
    confirmsSuspensions = true;
    #fence = 0;

    constructor(mayHaveEarlierOrders = false) {
        this.watch = new PrimaryMonitor("orders", mayHaveEarlierOrders);
    }

    handle(event: MonitorEvent): readonly MonitorEffect[] {
        const view: MonitorView = {
            endpoints: this.endpoints,
            departed: this.departed,
            newerOrdersVoidEarlier: this.newerOrdersVoidEarlier,
            entries: this.entries,
            orderedPrimary: this.orderedPrimary,
            syncReplicas: this.syncReplicas,
            nextFencingToken: () => (this.#fence += 1),
            takePrimaryCheck: () => true,
        };
        const effects = this.watch.handle(event, view, this.now);
        this.effects.push(...effects);
        if (this.syncReplicas > 0) {
            effects.forEach(effect => this.#announce(effect));
        }
        return effects;
    }

    /** Where replicas acknowledge commits, orders decide which primary is used; all hosts confirm a suspension at once. */
    #announce(effect: MonitorEffect): void {
        if (effect.kind === "promote" && effect.isAnnounced) {
            this.orderedPrimary = effect.order.endpoint;
        }
        else if (effect.kind === "suspend") {
            this.orderedPrimary = effect.order.endpoint;
            this.handle({ kind: "suspended", fence: effect.order.fence, isConfirmed: this.confirmsSuspensions });
        }
    }

    advanceTime(ms: number): readonly MonitorEffect[] {
        this.now += ms;
        return this.handle({ kind: "tick" });
    }

    report(from: string, reachable: boolean, endpoint = "a", term = 1): readonly MonitorEffect[] {
        return this.handle({ kind: "report", from, report: { endpoint, term, reachable } });
    }

    reading(endpoint: string, number: number | undefined, leads = false, term = 1): readonly MonitorEffect[] {
        const reading = number === undefined ? undefined : { leads, term, number, isExact: true };
        return this.handle({ kind: "reading", endpoint, reading });
    }

    /** The endpoint is too busy to tell more than the position that it has applied. */
    busyReading(endpoint: string, number: number, term = 1): readonly MonitorEffect[] {
        return this.handle({ kind: "reading", endpoint, reading: { leads: false, term, number, isExact: false } });
    }

    /** Answers the open probes of a check of the primary with the positions of the endpoints; others do not answer. */
    answerCheck(numbers: Readonly<Record<string, number>>): void {
        const answered = new Set<MonitorEffect>();
        for (let open = this.#openChecks(answered); open.length > 0; open = this.#openChecks(answered)) {
            for (const effect of open) {
                answered.add(effect);
                const number = numbers[effect.endpoint];
                const reading = number === undefined
                    ? undefined
                    : { leads: effect.endpoint === "a", term: 1, number, isExact: true };
                this.handle({ kind: "reading", endpoint: effect.endpoint, reading, round: effect.round });
            }
        }
    }

    #openChecks(answered: ReadonlySet<MonitorEffect>) {
        return this.effects.flatMap(effect =>
            effect.kind === "read" && effect.round !== undefined && !answered.has(effect) ? [effect] : []
        );
    }

    reportUnreachable(hosts: readonly string[] = ENTRIES): void {
        hosts.forEach(host => this.report(host, false));
    }

    /** The platform gets an order. */
    sent(endpoint: string, fence: number): void {
        this.handle({ kind: "sent", order: { group: "orders", endpoint, fence } });
    }

    /** A check of the primary finds that it leads, and the order that confirms it is sent. */
    confirmPrimary(): void {
        const confirmed = this.confirmations().length;
        this.answerCheck({ a: 10, b: 10, c: 10 });
        this.confirmations().slice(confirmed).forEach(([endpoint, fence]) => this.sent(endpoint, fence));
    }

    confirmations(): readonly (readonly [string, number])[] {
        return this.effects.flatMap(effect =>
            effect.kind === "confirm" ? [[effect.order.endpoint, effect.order.fence] as const] : []
        );
    }

    promotions(): readonly (readonly [string, number])[] {
        return this.effects.flatMap(effect =>
            effect.kind === "promote" ? [[effect.order.endpoint, effect.order.fence] as const] : []
        );
    }
}

describe("PrimaryWatch", () => {
    // Guards against a failed primary that is not replaced, and against a promotion that loses commits.
    it("promotes the replica with the most of the log when most entry hosts do not reach the primary", () => {
        const scene = new Scene();
        scene.reportUnreachable(["e1", "e2", "e3", "e4"]);
        scene.reading("b", 1_205);
        scene.reading("c", 1_207);
        expect(scene.promotions()).toEqual([["c", 1]]);
    });

    // Guards against a promotion because some hosts are isolated, frozen or slow.
    it("keeps a primary that most hosts reach", () => {
        const scene = new Scene();
        ENTRIES.forEach(host => scene.report(host, true));
        scene.reportUnreachable(["e1", "e2"]);
        expect(scene.effects).toContainEqual({ kind: "check", endpoint: "a" });
        ENTRIES.slice(2).forEach(host => scene.report(host, true));
        for (let step = 0; step < 40; step++) {
            scene.advanceTime(50);
            scene.reportUnreachable(["e1", "e2"]);
        }
        expect(scene.promotions()).toEqual([]);
    });

    // Guards against a primary that is never replaced because the entry hosts in its data centre fail with it and
    // cannot report (zone_cut).
    it("counts only the hosts that answered after CONFIRM_MS", () => {
        const scene = new Scene();
        scene.reportUnreachable(["e1", "e2", "e3"]);
        scene.advanceTime(CONFIRM_MS);
        scene.reading("b", 5);
        scene.reading("c", 5);
        expect(scene.promotions()).toHaveLength(1);
    });

    // Guards against a promotion although the primary became reachable again before the order.
    it("stops when the primary is reachable again", () => {
        const scene = new Scene();
        scene.reportUnreachable();
        ENTRIES.forEach(host => scene.report(host, true));
        scene.reading("b", 5);
        scene.reading("c", 5);
        expect(scene.promotions()).toEqual([]);
        expect(scene.watch.phase).toBe("calm");
    });

    // Guards against the promotion of a replica that lags behind because the more advanced one answers later.
    it("waits for the positions of all replicas, at most PROBE_TIMEOUT_MS", () => {
        const scene = new Scene();
        scene.reportUnreachable();
        scene.reading("b", 100);
        expect(scene.promotions()).toEqual([]);
        scene.advanceTime(PROBE_TIMEOUT_MS);
        expect(scene.promotions()).toEqual([["b", 1]]);
    });

    // Guards against callers that wait for a primary that announced its leave: it is replaced while it still serves.
    it("replaces a leaving primary before it has stopped", () => {
        const scene = new Scene();
        scene.endpoints = [
            record("a", { role: EndpointRole.Primary, state: EndpointState.Leaving }),
            record("b"),
            record("c", { state: EndpointState.Leaving }),
        ];
        scene.advanceTime(50);
        scene.reading("b", 100);
        expect(scene.promotions()).toEqual([["b", 1]]);
    });

    // Guards against a second order for a promotion in progress.
    it("ends when the ordered endpoint is the primary", () => {
        const scene = new Scene();
        scene.reportUnreachable();
        scene.reading("b", 7);
        scene.reading("c", 7);
        scene.handle({ kind: "ordered", fence: 1, outcome: "accepted" });
        scene.advanceTime(300);
        scene.endpoints = [record("a", { role: EndpointRole.Primary }), record("b", { role: EndpointRole.Primary })];
        scene.advanceTime(300);
        expect(scene.watch.phase).toBe("calm");
        scene.advanceTime(5_000);
        expect(scene.promotions()).toEqual([["b", 1]]);
    });

    // Guards against an order whose answer was lost and that is executed after a newer one: only the higher token of
    // the newer one prevents it from taking effect.
    it("repeats an unanswered order with a higher token unless it has taken effect", () => {
        const scene = new Scene();
        scene.reportUnreachable();
        scene.reading("b", 7);
        scene.reading("c", 6);
        scene.handle({ kind: "ordered", fence: 1, outcome: "unknown" });
        scene.advanceTime(RETRY_INTERVAL_MS);
        scene.reading("b", 7);
        scene.reading("c", 6);
        expect(scene.promotions()).toEqual([["b", 1], ["b", 2]]);
        scene.handle({ kind: "ordered", fence: 2, outcome: "unknown" });
        scene.advanceTime(RETRY_INTERVAL_MS);
        scene.reading("b", 7, true, 2);
        scene.reading("c", 6);
        expect(scene.promotions()).toHaveLength(2);
        expect(scene.watch.phase).toBe("calm");
    });

    // Guards against repeated orders for an endpoint that has just failed.
    it("chooses another endpoint when the ordered one was refused or does not become the primary", () => {
        const scene = new Scene();
        scene.reportUnreachable();
        scene.reading("b", 9);
        scene.reading("c", 7);
        scene.handle({ kind: "ordered", fence: 1, outcome: "refused" });
        scene.advanceTime(RETRY_INTERVAL_MS);
        scene.reading("b", 9);
        scene.reading("c", 7);
        expect(scene.promotions().at(-1)).toEqual(["c", 2]);
        scene.advanceTime(PROMOTION_TIMEOUT_MS);
        expect(scene.watch.phase).toBe("choosing");
    });

    // Guards against a group that stays without a primary because its last one is no longer registered.
    it("promotes an endpoint of a group without a primary", () => {
        const scene = new Scene();
        scene.endpoints = [record("b"), record("c")];
        scene.advanceTime(0);
        scene.advanceTime(MISSING_PRIMARY_TIMEOUT_MS);
        scene.reading("b", 0);
        scene.reading("c", 3);
        expect(scene.promotions()).toEqual([["c", 1]]);
    });

    // Guards against the replacement of a primary that entry hosts detected on their own.
    it("prefers the reports of entry hosts over the roles that endpoints announce", () => {
        const scene = new Scene();
        scene.endpoints = [record("a", { role: EndpointRole.Primary }), record("b", { role: EndpointRole.Primary })];
        scene.report("e1", true, "b", 2);
        scene.report("e2", false, "a", 1);
        scene.advanceTime(CONFIRM_MS);
        expect(scene.promotions()).toEqual([]);
    });
});

describe("where hosts use only the ordered primary", () => {
    // Guards against a group without a usable primary after a late call promoted another endpoint than the ordered one.
    it("the endpoint that leads instead of the ordered one is ordered", () => {
        const scene = new Scene();
        scene.orderedPrimary = "c";
        scene.endpoints = [record("a", { role: EndpointRole.Primary }), record("b")];
        scene.advanceTime(10);
        scene.reading("a", 10, true, 3);
        scene.reading("b", 10, false, 3);
        expect(scene.effects).toContainEqual({
            kind: "promote",
            order: { group: "orders", endpoint: "a", fence: 1 },
            isAnnounced: true,
        });
    });

    // Guards against using another endpoint while an earlier order may still promote the one that it names.
    it("an endpoint whose order may still take effect is ordered again", () => {
        const scene = new Scene();
        scene.orderedPrimary = "b";
        scene.advanceTime(10);
        scene.reading("a", 10, true, 1);
        scene.reading("b", 9, false, 1);
        scene.reading("c", 10, false, 1);
        expect(scene.effects).toContainEqual({
            kind: "promote",
            order: { group: "orders", endpoint: "b", fence: 1 },
            isAnnounced: true,
        });
    });

    // Guards against an order for another endpoint because the first one was too busy to tell its position: a call that the
    // platform carries out late would then depose the endpoint that hosts use (review/late-call, ONE).
    it("a busy endpoint whose order may still take effect is ordered again", () => {
        const scene = new Scene();
        scene.orderedPrimary = "b";
        scene.advanceTime(10);
        scene.reading("a", 10, true, 1);
        scene.busyReading("b", 9);
        scene.reading("c", 10, false, 1);
        expect(scene.promotions()).toEqual([["b", 1]]);
    });

    // Guards against promoting an endpoint that still commits in an older term.
    it("an endpoint that leads an older term is not chosen", () => {
        const scene = new Scene();
        scene.endpoints = [
            record("a", { role: EndpointRole.Primary, state: EndpointState.Leaving }),
            record("b"),
            record("c"),
        ];
        scene.advanceTime(10);
        scene.reading("b", 20, true, 1);
        scene.reading("c", 10, false, 2);
        expect(scene.effects).toContainEqual({
            kind: "promote",
            order: { group: "orders", endpoint: "c", fence: 1 },
            isAnnounced: true,
        });
    });
});

describe("where only a former primary answers that later ones have superseded", () => {
    /** a led term 1 until it was cut off, then c led term 3, which b followed; now a is back, and the other two are gone. */
    function sceneWithSupersededPrimary(): Scene {
        const scene = new Scene();
        scene.report("e1", true, "a", 1);
        scene.endpoints = [record("a"), record("b"), record("c", { role: EndpointRole.Primary })];
        scene.report("e1", true, "c", 3);
        ENTRIES.forEach(host => scene.report(host, false, "c", 3));
        scene.reading("a", 119);
        scene.reading("b", undefined);
        return scene;
    }

    /** Lets the monitor probe the endpoints again; of a and b only those with a number answer. */
    function probeAgain(scene: Scene, b: number | undefined): void {
        scene.advanceTime(PROBE_TIMEOUT_MS);
        scene.advanceTime(RETRY_INTERVAL_MS);
        ENTRIES.forEach(host => scene.report(host, false, "c", 3));
        scene.reading("a", 119);
        scene.reading("b", b, false, 3);
    }

    // Guards against commits that no later primary had and that are in the log again (STALE;
    // docs/incidents/review-13-superseded-primary.md).
    it("waits for an endpoint that has followed a later term", () => {
        const scene = sceneWithSupersededPrimary();
        probeAgain(scene, undefined);
        expect(scene.promotions()).toEqual([]);
        probeAgain(scene, 116);
        expect(scene.promotions()).toEqual([["b", 1]]);
    });

    // Guards against a group without a primary for good after the loss of all that followed the later terms (RECOVER).
    it("promotes the former primary when none comes, and says which term it gives up", () => {
        const scene = sceneWithSupersededPrimary();
        const endAt = scene.now + SUPERSEDED_TIMEOUT_MS;
        while (scene.now < endAt) {
            expect(scene.promotions()).toEqual([]);
            probeAgain(scene, undefined);
        }
        probeAgain(scene, undefined);
        expect(scene.promotions()).toEqual([["a", 1]]);
        const ordered = scene.effects.find(effect => effect.kind === "event" && effect.name === "promotionOrdered");
        expect(ordered).toMatchObject({ fields: { endpoint: "a", gaveUpTerm: 3 } });
    });

    it("takes a former primary that has followed a later term since for any other replica", () => {
        const scene = sceneWithSupersededPrimary();
        scene.advanceTime(PROBE_TIMEOUT_MS);
        scene.advanceTime(RETRY_INTERVAL_MS);
        ENTRIES.forEach(host => scene.report(host, false, "c", 3));
        scene.reading("a", 130, false, 3);
        scene.reading("b", undefined);
        expect(scene.promotions()).toEqual([["a", 1]]);
    });
});

describe("where a replica receives each commit before it is acknowledged", () => {
    function sceneWithFailedPrimary(): Scene {
        const scene = new Scene();
        scene.syncReplicas = 1;
        scene.reportUnreachable();
        return scene;
    }

    /** The primary leaves, and both replicas have the same. */
    function sceneWithLeavingPrimary(): Scene {
        const scene = new Scene();
        scene.syncReplicas = 1;
        scene.endpoints[0] = record("a", { role: EndpointRole.Primary, state: EndpointState.Leaving });
        scene.advanceTime(50);
        return scene;
    }

    function kinds(effects: readonly MonitorEffect[]): readonly string[] {
        return effects.map(({ kind }) => kind).filter(kind => kind !== "event" && kind !== "check");
    }

    // Guards against losing what is acknowledged between the reading of the positions and the promotion (LOST;
    // docs/incidents/review-14-commits-after-the-choice.md).
    it("chooses the successor of a primary that leaves by positions read when no host acknowledges commits", () => {
        const scene = sceneWithLeavingPrimary();
        expect(kinds(scene.effects)).toEqual(["read", "read"]);
        scene.reading("b", 100);
        scene.reading("c", 100);
        expect(kinds(scene.effects)).toEqual(["read", "read", "suspend", "read", "read", "read"]);
        scene.reading("a", 121, true);
        scene.reading("b", 100);
        scene.reading("c", 120);
        expect(scene.promotions()).toEqual([["c", 2]]);
    });

    it("suspends a primary that fails before the positions are read", () => {
        expect(kinds(sceneWithFailedPrimary().effects)).toEqual(["suspend", "read", "read", "read"]);
    });

    // Guards against a choice by positions that an isolated host may outdate, since it acknowledges commits (LOST).
    it("orders no promotion while a host may acknowledge commits", () => {
        const scene = new Scene();
        scene.syncReplicas = 1;
        scene.confirmsSuspensions = false;
        scene.reportUnreachable();
        scene.reading("b", 100);
        scene.reading("c", 120);
        expect(scene.promotions()).toEqual([]);
        scene.confirmsSuspensions = true;
        scene.advanceTime(RETRY_INTERVAL_MS);
        scene.reading("b", 100);
        scene.reading("c", 120);
        expect(scene.promotions()).toEqual([["c", 3]]);
    });

    // Guards against a group without a primary while the one that leaves could still serve (RECOVER).
    it("gives hosts the leaving primary back when no successor can be chosen", () => {
        const scene = sceneWithLeavingPrimary();
        scene.reading("b", 100);
        scene.reading("c", 100);
        scene.reading("a", 121, true);
        scene.reading("b", 100);
        scene.advanceTime(PROBE_TIMEOUT_MS);
        scene.advanceTime(RETRY_INTERVAL_MS);
        expect(scene.promotions()).toEqual([["a", 2]]);
        scene.advanceTime(50);
        expect(scene.watch.phase).toBe("calm");
    });

    // Guards against a leaving primary that stays unused because the successor that was ordered is gone (RECOVER).
    it("suspends the use of the leaving primary again when the ordered successor does not lead", () => {
        const scene = sceneWithLeavingPrimary();
        scene.reading("b", 100);
        scene.reading("c", 100);
        scene.reading("a", 121, true);
        scene.reading("b", 100);
        scene.reading("c", 120);
        expect(scene.promotions()).toEqual([["c", 2]]);
        scene.sent("c", 2);
        scene.handle({ kind: "ordered", fence: 2, outcome: "refused" });
        scene.advanceTime(RETRY_INTERVAL_MS);
        scene.reading("a", 121, true);
        scene.reading("b", 100);
        scene.advanceTime(PROBE_TIMEOUT_MS);
        scene.advanceTime(RETRY_INTERVAL_MS);
        expect(scene.promotions()).toEqual([["c", 2], ["a", 4]]);
    });

    // Guards against commits that are acknowledged by a primary whose successor an accepted or late order is about to
    // promote (LOST; seeds 407 and 528 of the promotion schedules before).
    it("gives hosts a primary back only when no earlier order can take effect", () => {
        const scene = sceneWithFailedPrimary();
        scene.reading("b", 100);
        scene.reading("c", 120);
        scene.sent("c", 2);
        scene.handle({ kind: "ordered", fence: 2, outcome: "unknown" });
        const backAgain = (): void => {
            scene.endpoints[2] = record("c", { state: EndpointState.Leaving });
            scene.advanceTime(RETRY_INTERVAL_MS);
            scene.reading("a", 121, true);
            scene.reading("b", 100);
            scene.advanceTime(PROBE_TIMEOUT_MS);
            scene.advanceTime(RETRY_INTERVAL_MS);
        };
        backAgain();
        const [, fence = 0] = scene.confirmations()[0] ?? [];
        expect(scene.confirmations()).toEqual([["a", fence]]);
        expect(scene.promotions()).toEqual([["c", 2]]);
        scene.sent("a", fence);
        scene.handle({ kind: "ordered", fence, outcome: "accepted" });
        backAgain();
        expect(scene.promotions()).toEqual([["c", 2]]);
        scene.advanceTime(PROMOTION_TIMEOUT_MS);
        backAgain();
        expect(scene.promotions().at(-1)?.[0]).toBe("a");
    });

    // Guards against a primary that a late order replaces while hosts use it, because its own order was not accepted yet
    // (LOST; seed 2709 of the promotion schedules).
    it("lets hosts use a promoted endpoint only when orders without an answer are void", () => {
        const scene = sceneWithFailedPrimary();
        scene.reading("b", 100);
        scene.reading("c", 120);
        scene.sent("c", 2);
        scene.handle({ kind: "ordered", fence: 2, outcome: "unknown" });
        scene.advanceTime(RETRY_INTERVAL_MS);
        scene.reading("a", undefined);
        scene.reading("b", 120);
        scene.reading("c", 100);
        expect(scene.promotions()).toEqual([["c", 2], ["b", 4]]);
        expect(scene.orderedPrimary).toBe(NO_ENDPOINT);
    });

    // Guards against losing acknowledged commits because a replica that does not answer counts as having none of them
    // (review case 2, LOST).
    it("waits for the replica that does not answer, and says so once", () => {
        const scene = sceneWithFailedPrimary();
        scene.reading("b", 100);
        scene.reading("c", undefined);
        for (let round = 0; round < 5; round++) {
            scene.advanceTime(PROBE_TIMEOUT_MS);
            scene.advanceTime(RETRY_INTERVAL_MS);
            scene.reportUnreachable();
            scene.reading("b", 100);
        }
        expect(scene.promotions()).toEqual([]);
        const waits = scene.effects.filter(effect => effect.kind === "event" && effect.name === "promotionWaits");
        expect(waits).toMatchObject([{ fields: { waitedFor: ["c"], syncReplicas: 1 } }]);
        scene.reading("c", 160);
        expect(scene.promotions()).toEqual([["c", 2]]);
    });

    // Guards against a group that stays without a primary because its only complete replica is busy all the time.
    it("takes a position that a busy replica tells late", () => {
        const scene = sceneWithFailedPrimary();
        scene.reading("b", 100);
        scene.advanceTime(PROBE_TIMEOUT_MS);
        scene.advanceTime(RETRY_INTERVAL_MS / 2);
        scene.reading("c", 160);
        expect(scene.promotions()).toEqual([["c", 2]]);
    });

    it("promotes a busy replica that has applied more than the other has received", () => {
        const scene = sceneWithFailedPrimary();
        scene.reading("b", 100);
        scene.busyReading("c", 160);
        expect(scene.promotions()).toEqual([["c", 2]]);
    });

    it("waits for a busy replica that may have received more than the other", () => {
        const scene = sceneWithFailedPrimary();
        scene.reading("b", 100);
        scene.busyReading("c", 90);
        scene.advanceTime(PROBE_TIMEOUT_MS);
        expect(scene.promotions()).toEqual([]);
    });

    // Guards against a replica that is taken for the only one, and promoted, while hosts still report the former primary
    // as unreachable and the endpoint that leads since is about to leave (LOST; seed 751 of the promotion schedules).
    it("finds an endpoint that leaves and has become the primary meanwhile", () => {
        const scene = sceneWithFailedPrimary();
        scene.reading("b", 100);
        scene.reading("c", undefined);
        scene.endpoints[2] = record("c", { state: EndpointState.Leaving, role: EndpointRole.Primary });
        scene.advanceTime(RETRY_INTERVAL_MS);
        scene.reportUnreachable();
        scene.reading("b", 100);
        scene.reading("c", 160, true, 2);
        // The order only lets hosts use it.
        expect(scene.promotions()).toEqual([["c", 2]]);
        scene.advanceTime(50);
        expect(scene.watch.phase).toBe("calm");
    });

    // Guards against leaving out a replica that receives commits until it ends.
    it("counts a replica that leaves, and promotes it when only that one has every commit", () => {
        const scene = new Scene();
        scene.syncReplicas = 1;
        scene.endpoints[2] = record("c", { state: EndpointState.Leaving });
        scene.reportUnreachable();
        scene.reading("b", 100);
        scene.advanceTime(PROBE_TIMEOUT_MS);
        expect(scene.promotions()).toEqual([]);
        scene.advanceTime(RETRY_INTERVAL_MS);
        scene.reading("b", 100);
        scene.reading("c", 101);
        expect(scene.promotions()).toEqual([["c", 2]]);
    });

    /** A scene in which c has left, which may be the only replica with some acknowledged commits. */
    function sceneWithDepartedReplica(): Scene {
        const scene = new Scene();
        scene.syncReplicas = 1;
        scene.endpoints = [record("a", { role: EndpointRole.Primary }), record("b")];
        scene.departed = [record("c", { state: EndpointState.Left })];
        return scene;
    }

    // Guards against losing acknowledged commits because the replica that has them has just left, and its log is not yet
    // at the endpoint that takes its address (LOST; docs/incidents/review-10-departed-replica.md).
    it("waits for the log of a replica that has left, and promotes the endpoint that has taken it over", () => {
        const scene = sceneWithDepartedReplica();
        scene.reportUnreachable();
        scene.reading("b", 100);
        scene.advanceTime(PROBE_TIMEOUT_MS);
        scene.advanceTime(RETRY_INTERVAL_MS);
        expect(scene.promotions()).toEqual([]);
        const waits = scene.effects.filter(effect => effect.kind === "event" && effect.name === "promotionWaits");
        expect(waits).toMatchObject([{ fields: { waitedFor: ["c"] } }]);
        scene.endpoints.push(record("d"));
        scene.departed = [];
        scene.reportUnreachable();
        scene.advanceTime(RETRY_INTERVAL_MS);
        scene.reading("b", 100);
        scene.reading("d", 160);
        expect(scene.promotions()).toEqual([["d", 2]]);
    });

    // Guards against a replica that was removed for good and holds up each later promotion (RECOVER).
    it("does not wait for a replica that has left once another one has received what the primary had then", () => {
        const scene = sceneWithDepartedReplica();
        scene.advanceTime(50);
        scene.answerCheck({ a: 160, b: 160 });
        scene.advanceTime(10_000);
        scene.reportUnreachable();
        scene.reading("b", 170);
        expect(scene.promotions()).toEqual([["b", 2]]);
    });

    it("waits for it while the other one has received less, and checks that again", () => {
        const scene = sceneWithDepartedReplica();
        scene.advanceTime(50);
        scene.answerCheck({ a: 160, b: 100 });
        scene.reportUnreachable();
        scene.reading("b", 100);
        scene.advanceTime(PROBE_TIMEOUT_MS);
        expect(scene.promotions()).toEqual([]);
        ENTRIES.forEach(host => scene.report(host, true));
        scene.advanceTime(RETRY_INTERVAL_MS);
        scene.reading("b", 100);
        scene.reading("a", 160, true);
        scene.advanceTime(RETRY_INTERVAL_MS);
        scene.advanceTime(50);
        expect(scene.promotions()).toEqual([["a", 2]]);
        expect(scene.watch.phase).toBe("calm");
        scene.advanceTime(PRIMARY_CHECK_INTERVAL_MS);
        scene.answerCheck({ a: 180, b: 180 });
        scene.advanceTime(MIN_RECHECK_INTERVAL_MS);
        scene.reportUnreachable();
        scene.reading("b", 180);
        expect(scene.promotions()).toEqual([["a", 2], ["b", 4]]);
    });

    // Guards against a group without a primary for good after the loss of all that had some commits (RECOVER).
    it("promotes the best of the present replicas when the log of the departed one does not come", () => {
        const scene = sceneWithDepartedReplica();
        scene.reportUnreachable();
        for (let passed = 0; passed < LOG_TRANSFER_TIMEOUT_MS - 100; passed += 50) {
            scene.reading("b", 100);
            scene.advanceTime(50);
            scene.reportUnreachable();
        }
        expect(scene.promotions()).toEqual([]);
        scene.advanceTime(RETRY_INTERVAL_MS);
        scene.reading("b", 100);
        scene.advanceTime(PROBE_TIMEOUT_MS);
        scene.reading("b", 100);
        expect(scene.promotions()).toEqual([["b", 2]]);
    });

    it("prefers a replica that stays to one that leaves with the same position", () => {
        const scene = new Scene();
        scene.syncReplicas = 1;
        scene.endpoints[1] = record("b", { state: EndpointState.Leaving });
        scene.reportUnreachable();
        scene.reading("b", 100);
        scene.reading("c", 100);
        expect(scene.promotions()).toEqual([["c", 2]]);
    });
});

describe("where the primary alone acknowledges commits", () => {
    // Guards against losing commits that a busy replica has: it answers, so it is alive.
    it("promotes a busy replica that has more than the others", () => {
        const scene = new Scene();
        scene.reportUnreachable();
        scene.reading("b", 100);
        scene.busyReading("c", 160);
        expect(scene.promotions()).toEqual([["c", 1]]);
    });

    it("does not wait for a replica that does not answer", () => {
        const scene = new Scene();
        scene.reportUnreachable();
        scene.reading("b", 100);
        scene.advanceTime(PROBE_TIMEOUT_MS);
        expect(scene.promotions()).toEqual([["b", 1]]);
    });
});

describe("where an order without an answer may still be carried out", () => {
    /** The order to promote b gets no answer, and the primary answers again. */
    function sceneWithOpenOrder(): Scene {
        const scene = new Scene();
        scene.reportUnreachable();
        scene.reading("b", 10);
        scene.reading("c", 9);
        scene.sent("b", 1);
        scene.handle({ kind: "ordered", fence: 1, outcome: "unknown" });
        ENTRIES.forEach(host => scene.report(host, true));
        scene.advanceTime(RETRY_INTERVAL_MS);
        scene.reading("b", 10);
        scene.reading("c", 10);
        expect(scene.watch.phase).toBe("calm");
        expect(scene.promotions()).toEqual([["b", 1]]);
        return scene;
    }

    // Guards against a call that is carried out seconds later and promotes a replica which has fallen behind, although
    // the primary is in use again (LOST; docs/incidents/review-9-unanswered-promotion.md).
    it("orders the primary that is reachable again, which makes the earlier order void", () => {
        const scene = sceneWithOpenOrder();
        scene.advanceTime(50);
        scene.confirmPrimary();
        expect(scene.confirmations()).toEqual([["a", 2]]);
        scene.handle({ kind: "ordered", fence: 2, outcome: "accepted" });
        scene.advanceTime(60_000);
        scene.confirmPrimary();
        expect(scene.confirmations()).toHaveLength(1);
    });

    // Guards against an answer to the confirming order that is lost as well.
    it("repeats the confirming order with higher tokens until it is accepted", () => {
        const scene = sceneWithOpenOrder();
        scene.advanceTime(50);
        scene.confirmPrimary();
        scene.handle({ kind: "ordered", fence: 2, outcome: "unknown" });
        scene.advanceTime(PRIMARY_CHECK_INTERVAL_MS);
        scene.confirmPrimary();
        scene.handle({ kind: "ordered", fence: 3, outcome: "refused" });
        scene.advanceTime(PRIMARY_CHECK_INTERVAL_MS);
        scene.confirmPrimary();
        expect(scene.confirmations()).toEqual([["a", 2], ["a", 3], ["a", 4]]);
        scene.handle({ kind: "ordered", fence: 4, outcome: "accepted" });
        scene.advanceTime(60_000);
        scene.confirmPrimary();
        expect(scene.confirmations()).toHaveLength(3);
    });

    // Guards against an order for an endpoint that only announces itself as the primary, which would promote it.
    it("orders no endpoint that has not just answered as the primary", () => {
        const scene = sceneWithOpenOrder();
        scene.advanceTime(50);
        scene.answerCheck({});
        scene.advanceTime(PRIMARY_CHECK_INTERVAL_MS);
        const check = scene.effects.findLast(effect => effect.kind === "read");
        const reading = { leads: false, term: 2, number: 10, isExact: true };
        scene.handle({ kind: "reading", endpoint: "a", reading, round: check?.round });
        expect(scene.confirmations()).toEqual([]);
        scene.advanceTime(PRIMARY_CHECK_INTERVAL_MS);
        scene.confirmPrimary();
        expect(scene.confirmations()).toEqual([["a", 2]]);
    });

    // Guards against a primary that fails again while it is being confirmed and is then not replaced.
    it("replaces the primary when it fails before the earlier order is void", () => {
        const scene = sceneWithOpenOrder();
        scene.advanceTime(50);
        scene.confirmPrimary();
        scene.advanceTime(MIN_RECHECK_INTERVAL_MS);
        scene.reportUnreachable();
        scene.reading("b", 10);
        scene.reading("c", 12);
        expect(scene.promotions().at(-1)).toEqual(["c", 3]);
    });

    // Guards against a call that is carried out after another endpoint has become the primary by itself.
    it("orders another endpoint that leads in the meantime", () => {
        const scene = sceneWithOpenOrder();
        scene.endpoints = [record("a"), record("b"), record("c", { role: EndpointRole.Primary })];
        ENTRIES.forEach(host => scene.report(host, true, "c", 2));
        scene.advanceTime(50);
        const check = scene.effects.findLast(effect => effect.kind === "read" && effect.round !== undefined);
        const reading = { leads: true, term: 2, number: 10, isExact: true };
        scene.handle({
            kind: "reading",
            endpoint: "c",
            reading,
            round: check?.kind === "read" ? check.round : undefined,
        });
        expect(scene.confirmations()).toEqual([["c", 2]]);
    });

    it("needs no further order when the endpoint that it names has become the primary", () => {
        const scene = sceneWithOpenOrder();
        scene.endpoints = [record("a"), record("b", { role: EndpointRole.Primary }), record("c")];
        ENTRIES.forEach(host => scene.report(host, true, "b", 2));
        scene.advanceTime(PRIMARY_CHECK_INTERVAL_MS);
        expect(scene.effects.filter(effect => effect.kind === "read" && effect.round !== undefined)).toEqual([]);
    });

    // Guards against an open order that nobody knows of because the leader of the control group has changed.
    it("makes the orders of earlier leaders void before it takes the group as calm", () => {
        const scene = new Scene(true);
        scene.advanceTime(50);
        scene.confirmPrimary();
        expect(scene.confirmations()).toEqual([["a", 1]]);
        scene.handle({ kind: "ordered", fence: 1, outcome: "accepted" });
        scene.advanceTime(60_000);
        scene.confirmPrimary();
        expect(scene.confirmations()).toHaveLength(1);
    });

    it("gives no such order where the first leader has given none, or where newer orders do not void earlier ones", () => {
        const first = new Scene();
        first.advanceTime(60_000);
        const unchecked = new Scene(true);
        unchecked.newerOrdersVoidEarlier = false;
        unchecked.advanceTime(60_000);
        expect([...first.effects, ...unchecked.effects]).toEqual([]);
    });
});

describe("where no entry host has used the primary since its own start", () => {
    // Guards against a primary that fails while all processes restart and is never replaced (RECOVER;
    // docs/incidents/review-7-primary-lost-with-restart.md).
    it("replaces a primary that most hosts do not reach, though none has seen it lead", () => {
        const scene = new Scene();
        ENTRIES.forEach(host => scene.report(host, false, "a", 0));
        scene.reading("b", 9);
        scene.reading("c", 10);
        expect(scene.promotions()).toEqual([["c", 1]]);
    });

    // Guards against a promoted endpoint that fails before any host has used it: hosts report only the former primary.
    it("asks about a primary that nobody reports, and replaces it when most hosts do not reach it", () => {
        const scene = new Scene();
        scene.reportUnreachable();
        scene.reading("b", 10);
        scene.reading("c", 9);
        scene.endpoints = [record("a"), record("b", { role: EndpointRole.Primary }), record("c")];
        scene.advanceTime(50);
        expect(scene.watch.phase).toBe("calm");
        const checks = (): number => scene.effects.filter(effect => effect.kind === "check").length;
        const before = checks();
        for (let passed = 0; passed <= 2 * REPORT_REQUEST_INTERVAL_MS; passed += 200) {
            scene.advanceTime(200);
            scene.reportUnreachable();
        }
        expect(checks() - before).toBe(2);
        ENTRIES.forEach(host => scene.report(host, false, "b", 0));
        scene.reading("c", 9);
        scene.reading("a", 8);
        expect(scene.promotions()).toEqual([["b", 1], ["c", 2]]);
    });

    it("asks nobody about a primary that a host reaches", () => {
        const scene = new Scene();
        scene.report("e1", true, "a", 0);
        for (let passed = 0; passed <= 3 * REPORT_REQUEST_INTERVAL_MS; passed += 200) {
            scene.advanceTime(200);
        }
        expect(scene.effects).toEqual([]);
    });

    // Guards against a replica that passes for the primary since it announced itself as one before.
    it("takes the announced primary, whatever hosts reported that have seen none lead", () => {
        const scene = new Scene();
        scene.report("e1", true, "b", 0);
        scene.report("e2", true, "a", 0);
        scene.report("e3", false, "b", 0);
        scene.advanceTime(CONFIRM_MS);
        expect(scene.effects).toEqual([]);
    });

    // Guards against an order that counts as carried out because a host reaches the endpoint, which does not lead yet.
    it("does not take an endpoint for promoted because a host reaches it", () => {
        const scene = new Scene();
        scene.reportUnreachable();
        scene.reading("b", 10);
        scene.reading("c", 9);
        scene.advanceTime(50);
        scene.report("e1", true, "b", 0);
        expect(scene.watch.phase).toBe("promoting");
        scene.report("e1", true, "b", 2);
        expect(scene.watch.phase).toBe("calm");
    });
});
