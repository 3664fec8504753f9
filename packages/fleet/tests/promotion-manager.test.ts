import { EndpointDirectory } from "@medlarledge/directory";
import { EndpointRole, EndpointState } from "@medlarledge/protocol";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { MISSING_PRIMARY_TIMEOUT_MS } from "../../control/src/primary-monitor.js";
import { PromotionOutcome } from "../src/index.js";
import { PromotionManager } from "../src/promotion-manager.js";

beforeEach(() => vi.useFakeTimers());
afterEach(() => vi.useRealTimers());

/** A manager that leads while one replica of a group is announced. Returns the groups whose endpoints it probed. */
async function groupsProbed(announced: string, configured: readonly string[]): Promise<readonly string[]> {
    const directory = new EndpointDirectory();
    const place = { id: "a", group: announced, dataCentre: "ams", host: "10.0.0.1", port: 1, slots: 2 };
    const state = { state: EndpointState.Active, role: EndpointRole.Replica };
    directory.merge({ ...place, ...state, born: 1, sequence: 1 }, 0);
    const probed = new Set<string>();
    const groups = new Map(configured.map(group => [group, { connections: 16, syncReplicas: 0 }]));
    const manager = new PromotionManager({
        directory,
        groups: () => groups,
        connector: {
            connect: ({ group }) => {
                probed.add(group);
                return Promise.resolve({ ok: false, failure: { kind: "timeout" } });
            },
        },
        authority: { promote: () => Promise.resolve(PromotionOutcome.Unknown) },
        holder: "control",
        clock: { now: () => performance.now(), wallClock: () => Date.now() },
        entries: () => [],
        check: () => undefined,
        announce: () => Promise.resolve(true),
        leads: () => true,
        newerOrdersVoidEarlier: true,
        orderedPrimary: () => undefined,
        event: () => undefined,
    });
    // The endpoint that a host last used for the group has left.
    const report = { group: announced, endpoint: "former", term: 1, reachable: false };
    for (let passed = 0; passed <= MISSING_PRIMARY_TIMEOUT_MS + 200; passed += 50) {
        manager.tick(1);
        manager.reportReceived("e1", { kind: "primaryReport", ...report });
        await vi.advanceTimersByTimeAsync(50);
    }
    return [...probed];
}

// Guards against orders that promote endpoints of a group which only another program announced.
test("a group that the configuration does not name gets no primary", async () => {
    expect(await groupsProbed("payroll", ["orders"])).toEqual([]);
});

test("a group of the configuration without a primary gets one", async () => {
    expect(await groupsProbed("orders", ["orders"])).toEqual(["orders"]);
});
