import type { ConfigurationChange } from "@medlarledge/protocol";
import { digestOf } from "@medlarledge/settings";
import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, expect, it } from "vitest";
import { mayLogIn, mayUse } from "../src/caller-access.js";
import { ConfigurationHolder } from "../src/configuration-holder.js";

function change(number: number, users: unknown = {}): ConfigurationChange {
    const files = [{ name: "a.json", text: JSON.stringify({ number, databases: { orders: {}, dealers: {} }, users }) }];
    return { number, digest: digestOf(files), operator: "jan", files };
}

describe("ConfigurationHolder", () => {
    it("never goes back to a lower number, not over a restart either", async () => {
        const folder = await mkdtemp(join(tmpdir(), "medlarledge-configuration-"));
        const holder = new ConfigurationHolder(folder);
        expect(holder.apply(change(5), 1).kind).toBe("inForce");
        expect(holder.apply(change(4), 2).kind).toBe("old");
        await holder.saved();
        const restarted = new ConfigurationHolder(folder);
        expect(await restarted.restore(3)).toBeUndefined();
        expect(restarted.number).toBe(5);
        expect(restarted.apply(change(4), 4).kind).toBe("old");
    });

    it("reports a damaged file instead of ending the process with an exception", async () => {
        const folder = await mkdtemp(join(tmpdir(), "medlarledge-configuration-"));
        await writeFile(join(folder, "configuration.json"), `{"number": 5, "files"`);
        expect(await new ConfigurationHolder(folder).restore(1)).toMatch(/damaged/);
    });
});

describe("callers' access", () => {
    const holder = new ConfigurationHolder(undefined);
    holder.apply(
        change(1, { desk: { password: "trust", databases: ["dealers"] }, root: { password: "ab".repeat(32) } }),
        1,
    );
    const configuration = holder.inForce?.configuration;

    it("keeps a user with a list of databases out of the others", () => {
        expect(mayUse(configuration, "desk", "dealers")).toBe(true);
        expect(mayUse(configuration, "desk", "orders")).toBe(false);
        expect(mayUse(configuration, "root", "orders")).toBe(true);
        expect(mayUse(configuration, "nobody", "orders")).toBe(false);
        expect(mayUse(undefined, "desk", "dealers")).toBe(false);
    });

    it("refuses unknown users and wrong passwords", () => {
        expect(mayLogIn(configuration, "desk", "")).toBe(true);
        expect(mayLogIn(configuration, "root", "guess")).toBe(false);
        expect(mayLogIn(configuration, "nobody", "")).toBe(false);
    });
});
