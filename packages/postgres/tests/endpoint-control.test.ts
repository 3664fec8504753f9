import type { StandInEndpoint } from "@medlarledge/testing";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { fenceEndpoint, promoteEndpoint } from "../src/index.js";
import { eventually } from "./listener-fixture.js";
import { announced, connector, keys, ReplicaGroup, run, TIMEOUT_MS } from "./replica-group.js";

let group: ReplicaGroup;
let old: StandInEndpoint;
let next: StandInEndpoint;

beforeEach(async () => {
    group = new ReplicaGroup();
    await group.start();
    ({ old, next } = group);
});

afterEach(() => group.end());

describe("promoteEndpoint", () => {
    it("ends the fencing of a former primary that became a replica", async () => {
        // Guards against a new term whose primary refuses every write.
        next.promote();
        await fenceEndpoint(connector, announced(old), TIMEOUT_MS);
        // A fenced primary is only read: a late promotion must not end the fencing.
        await promoteEndpoint(connector, announced(old), TIMEOUT_MS);
        await expect(run(old, "INSERT INTO t VALUES ('b', 'x')")).rejects.toThrow("25006");
        old.follow(next.replicationAddress);
        await eventually(() => old.status().timeline).toBe(2);
        expect(old.status().readOnly).toBe(true);
        next.crash();
        expect(await promoteEndpoint(connector, announced(old), TIMEOUT_MS)).toMatchObject({ role: "primary" });
        await run(old, "INSERT INTO t VALUES ('b', 'x')");
        expect(keys(old)).toEqual(["a", "b"]);
    });

    it("reports the new timeline before a checkpoint has recorded it", async () => {
        // Guards against a term that starts with the timeline of the one before.
        const start = next.status().position;
        const promoted = await promoteEndpoint(connector, announced(next), TIMEOUT_MS);
        expect(promoted).toMatchObject({ role: "primary", timeline: 2, position: start });
        const [control] = await run(next, "SELECT (pg_control_checkpoint()).timeline_id");
        expect(control).toEqual(["1"]);
    });
});
