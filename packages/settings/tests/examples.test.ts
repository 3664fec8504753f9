import { readdir, readFile } from "node:fs/promises";
import { join } from "node:path";
import { describe, expect, it } from "vitest";
import { formatFinding, mergeFolder, parseHostSettings, readFolder } from "../src/index.js";

const EXAMPLES = join(import.meta.dirname, "../../../examples");

describe("the examples", () => {
    it.each(["zonnekeuken", "vouwwerk"])("of %s are valid, so that a newcomer's first copy works", async user => {
        const read = await readFolder(join(EXAMPLES, user, "folder"));
        const merged = read.ok ? mergeFolder(read.files) : read;
        expect(merged.ok ? [] : merged.findings.map(formatFinding)).toEqual([]);
        const hosts = join(EXAMPLES, user, "hosts");
        const names = await readdir(hosts);
        expect(names.length).toBeGreaterThanOrEqual(6);
        for (const name of names) {
            const settings = parseHostSettings(name, await readFile(join(hosts, name), "utf8"));
            expect(settings.ok ? [] : settings.findings.map(formatFinding)).toEqual([]);
        }
    });
});
