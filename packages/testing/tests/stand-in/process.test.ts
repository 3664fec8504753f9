import { buildSync } from "esbuild";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, expect, it } from "vitest";
import type { StandInStatus } from "../../src/index.js";

let folder: string;

beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), "medlarledge-stand-in-"));
});

afterEach(() => rmSync(folder, { recursive: true }));

it("runs as a plain process from one bundled file", async () => {
    // Guards against an import that only resolves inside of the repository.
    const outfile = join(folder, "stand-in.cjs");
    const entry = join(import.meta.dirname, "../../src/stand-in-main.ts");
    buildSync({ entryPoints: [entry], bundle: true, platform: "node", format: "cjs", outfile, logLevel: "silent" });
    const child = spawn(process.execPath, [outfile, JSON.stringify({ id: "one", slots: 3 })], { cwd: folder });
    const [line] = await once(child.stdout, "data") as [Buffer];
    const status = JSON.parse(line.toString()) as StandInStatus;
    expect(status).toMatchObject({ id: "one", role: "primary", slots: { limit: 3 } });
    const exited = once(child, "exit");
    await fetch(`http://127.0.0.1:${status.controlPort}/crash`, { method: "POST" }).catch(() => undefined);
    expect(await exited).toEqual([0, null]);
});
