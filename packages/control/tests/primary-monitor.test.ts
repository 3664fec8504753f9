import { type EndpointRecord, EndpointRole, EndpointState } from "@medlarledge/protocol";
import { describe, expect, it } from "vitest";
import {
    CONFIRM_MS,
    type MonitorEffect,
    type MonitorEvent,
    type MonitorView,
    NO_PRIMARY_MS,
    PrimaryMonitor,
    PROMOTION_MS,
    READING_MS,
    RETRY_MS,
} from "../src/primary-monitor.js";

const ENTRIES = ["e1", "e2", "e3", "e4", "e5", "e6"];

function record(id: string, changes: Partial<EndpointRecord> = {}): EndpointRecord {
    const place = { group: "orders", dataCentre: "d1", host: "10.0.0.1", port: 1, slots: 2, born: 1, sequence: 1 };
    return { id, ...place, state: EndpointState.Active, role: EndpointRole.Replica, ...changes };
}

/** A watch with the time, the endpoints and the effects that it produced. */
class Scene {
    readonly watch = new PrimaryMonitor("orders");
    readonly effects: MonitorEffect[] = [];
    endpoints: EndpointRecord[] = [record("a", { role: EndpointRole.Primary }), record("b"), record("c")];
    entries: readonly string[] = ENTRIES;
    now = 10_000;
    #fence = 0;

    handle(event: MonitorEvent): readonly MonitorEffect[] {
        const view: MonitorView = {
            endpoints: this.endpoints,
            entries: this.entries,
            nextFencingToken: () => (this.#fence += 1),
        };
        const effects = this.watch.handle(event, view, this.now);
        this.effects.push(...effects);
        return effects;
    }

    pass(ms: number): readonly MonitorEffect[] {
        this.now += ms;
        return this.handle({ kind: "tick" });
    }

    report(from: string, reachable: boolean, endpoint = "a", term = 1): readonly MonitorEffect[] {
        return this.handle({ kind: "report", from, report: { endpoint, term, reachable } });
    }

    reading(endpoint: string, number: number | undefined, leads = false, term = 1): readonly MonitorEffect[] {
        const reading = number === undefined ? undefined : { leads, term, number };
        return this.handle({ kind: "reading", endpoint, reading });
    }

    lose(hosts: readonly string[] = ENTRIES): void {
        hosts.forEach(host => this.report(host, false));
    }

    promotions(): readonly (readonly [string, number])[] {
        return this.effects.flatMap(effect =>
            effect.kind === "promote" ? [[effect.order.endpoint, effect.order.fence] as const] : []
        );
    }
}

describe("PrimaryWatch", () => {
    // Guards against a primary that stays dead because nobody orders a promotion, and against one that loses commits.
    it("promotes the replica with the most of the log when most entry hosts do not reach the primary", () => {
        const scene = new Scene();
        scene.lose(["e1", "e2", "e3", "e4"]);
        scene.reading("b", 1_205);
        scene.reading("c", 1_207);
        expect(scene.promotions()).toEqual([["c", 1]]);
    });

    // Guards against a promotion because one host is cut off, frozen or slow.
    it("leaves a primary alone that most hosts reach", () => {
        const scene = new Scene();
        ENTRIES.forEach(host => scene.report(host, true));
        scene.lose(["e1", "e2"]);
        expect(scene.effects).toContainEqual({ kind: "check", endpoint: "a" });
        ENTRIES.slice(2).forEach(host => scene.report(host, true));
        for (let step = 0; step < 40; step++) {
            scene.pass(50);
            scene.lose(["e1", "e2"]);
        }
        expect(scene.promotions()).toEqual([]);
    });

    // Guards against a primary that is never replaced because the hosts beside it are gone with it (zone_cut).
    it("counts only the hosts that answered once the time to confirm is over", () => {
        const scene = new Scene();
        scene.lose(["e1", "e2", "e3"]);
        scene.pass(CONFIRM_MS);
        scene.reading("b", 5);
        scene.reading("c", 5);
        expect(scene.promotions()).toHaveLength(1);
    });

    // Guards against a promotion that goes on although the primary is back before it was ordered.
    it("gives up when the primary is reached again", () => {
        const scene = new Scene();
        scene.lose();
        ENTRIES.forEach(host => scene.report(host, true));
        scene.reading("b", 5);
        scene.reading("c", 5);
        expect(scene.promotions()).toEqual([]);
        expect(scene.watch.phase).toBe("calm");
    });

    // Guards against a replica that receives nothing and is promoted because the better one answers a little later.
    it("waits for the positions of all replicas, but not for ever", () => {
        const scene = new Scene();
        scene.lose();
        scene.reading("b", 100);
        expect(scene.promotions()).toEqual([]);
        scene.pass(READING_MS);
        expect(scene.promotions()).toEqual([["b", 1]]);
    });

    // Guards against callers that wait for a primary that announced its end: it is replaced while it still serves.
    it("replaces a primary that leaves before it is gone", () => {
        const scene = new Scene();
        scene.endpoints = [
            record("a", { role: EndpointRole.Primary, state: EndpointState.Leaving }),
            record("b"),
            record("c", { state: EndpointState.Leaving }),
        ];
        scene.pass(50);
        scene.reading("b", 100);
        expect(scene.promotions()).toEqual([["b", 1]]);
    });

    // Guards against a second order for a promotion that is under way.
    it("ends when the ordered endpoint leads", () => {
        const scene = new Scene();
        scene.lose();
        scene.reading("b", 7);
        scene.reading("c", 7);
        scene.handle({ kind: "ordered", fence: 1, outcome: "accepted" });
        scene.pass(300);
        scene.endpoints = [record("a", { role: EndpointRole.Primary }), record("b", { role: EndpointRole.Primary })];
        scene.pass(300);
        expect(scene.watch.phase).toBe("calm");
        scene.pass(5_000);
        expect(scene.promotions()).toEqual([["b", 1]]);
    });

    // Guards against an order whose answer was lost and that is carried out later, after a newer one: only the token of
    // the newer one keeps it from taking effect.
    it("repeats an unanswered order with a higher token unless it has taken effect", () => {
        const scene = new Scene();
        scene.lose();
        scene.reading("b", 7);
        scene.reading("c", 6);
        scene.handle({ kind: "ordered", fence: 1, outcome: "unknown" });
        scene.pass(RETRY_MS);
        scene.reading("b", 7);
        scene.reading("c", 6);
        expect(scene.promotions()).toEqual([["b", 1], ["b", 2]]);
        scene.handle({ kind: "ordered", fence: 2, outcome: "unknown" });
        scene.pass(RETRY_MS);
        scene.reading("b", 7, true, 2);
        scene.reading("c", 6);
        expect(scene.promotions()).toHaveLength(2);
        expect(scene.watch.phase).toBe("calm");
    });

    // Guards against orders for an endpoint that has just died, again and again.
    it("takes another endpoint when the ordered one was refused or does not take the lead", () => {
        const scene = new Scene();
        scene.lose();
        scene.reading("b", 9);
        scene.reading("c", 7);
        scene.handle({ kind: "ordered", fence: 1, outcome: "refused" });
        scene.pass(RETRY_MS);
        scene.reading("b", 9);
        scene.reading("c", 7);
        expect(scene.promotions().at(-1)).toEqual(["c", 2]);
        scene.pass(PROMOTION_MS);
        expect(scene.watch.phase).toBe("choosing");
    });

    // Guards against a group that never gets a primary because the only one that led is forgotten.
    it("gives a group without any primary one", () => {
        const scene = new Scene();
        scene.endpoints = [record("b"), record("c")];
        scene.pass(0);
        scene.pass(NO_PRIMARY_MS);
        scene.reading("b", 0);
        scene.reading("c", 3);
        expect(scene.promotions()).toEqual([["c", 1]]);
    });

    // Guards against a promotion away from a primary that entry hosts found by themselves.
    it("believes what entry hosts saw before what endpoints say of themselves", () => {
        const scene = new Scene();
        scene.endpoints = [record("a", { role: EndpointRole.Primary }), record("b", { role: EndpointRole.Primary })];
        scene.report("e1", true, "b", 2);
        scene.report("e2", false, "a", 1);
        scene.pass(CONFIRM_MS);
        expect(scene.promotions()).toEqual([]);
    });
});
