import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, expect, it } from "vitest";
import { ExitCode, runProgram } from "../src/index.js";

async function run(...args: readonly string[]): Promise<{ code: number; out: string; error: string; }> {
    let out = "";
    let error = "";
    const code = await runProgram(args, { out: text => (out += `${text}\n`), error: text => (error += `${text}\n`) });
    return { code, out, error };
}

describe("runProgram", () => {
    it.each([
        ["no command", [], /a command is missing/],
        ["an unknown command", ["serv"], /no command "serv"/],
        ["an unknown flag", ["status", "--jsn"], /no flag "--jsn"/],
        ["a flag without its value", ["status", "--host"], /needs a value/],
        ["a missing argument", ["serve"], /argument is missing/],
        ["an extra argument", ["serve", "a", "b"], /too many/],
        ["a missing required flag", ["keys", "folder"], /"--hosts" is missing/],
        ["a prototype key as command", ["constructor"], /no command/],
    ])("answers %s with one message and exit code 2", async (_name, args, pattern) => {
        const { code, error, out } = await run(...args);
        expect(code).toBe(ExitCode.Usage);
        expect(error).toMatch(pattern);
        expect(error.trim().split("\n")).toHaveLength(1);
        expect(out).toBe("");
    });

    it.each([[[]], [["serve"]], [["settings"]], [["settings", "check"]], [["report", "burn"]]])(
        "prints help of %s",
        async words => {
            const { code, out } = await run(...words, "--help");
            expect(code).toBe(ExitCode.Done);
            expect(out).toMatch(/USAGE/i);
        },
    );

    it("reports an unreadable and a wrong settings file with their place and changes nothing", async () => {
        const folder = await mkdtemp(join(tmpdir(), "medlarledge-cli-"));
        const file = join(folder, "host.jsonc");
        await writeFile(file, `{\n    "idd": "a1"\n}`);
        expect(await run("serve", join(folder, "missing.jsonc"))).toMatchObject({ code: ExitCode.Usage });
        const wrong = await run("serve", file);
        expect(wrong.code).toBe(ExitCode.Usage);
        expect(wrong.error).toContain(`${file}:2:5: unknown key "idd"`);
    });

    it("shows the file that each merged value came from", async () => {
        const folder = await mkdtemp(join(tmpdir(), "medlarledge-cli-"));
        await writeFile(
            join(folder, "10-base.jsonc"),
            `{ "number": 3, "databases": { "orders": { "replicaWaitMs": 1 } } }`,
        );
        await writeFile(join(folder, "20-later.jsonc"), `{ "databases": { "orders": { "replicaWaitMs": 9 } } }`);
        const { code, out } = await run("settings", "show", folder);
        expect(code).toBe(ExitCode.Done);
        expect(out).toContain(`databases.orders.replicaWaitMs = 9  // 20-later.jsonc`);
        expect(out).toContain(`databases.orders.roaming = "strict"  // default`);
    });
});

describe("explain", () => {
    const line = JSON.stringify({
        time: "2026-01-01T00:00:00.000Z",
        level: "warn",
        host: "entry-1",
        run: "a1",
        sequence: 1,
        uptimeMs: 5_000,
        event: "requestRefused",
        requestId: "r1",
        cause: "lagging",
        code: "lagging",
        endpoint: "b",
    });

    async function logFile(text: string): Promise<string> {
        const file = join(await mkdtemp(join(tmpdir(), "medlarledge-explain-")), "entry-1.log");
        await writeFile(file, text);
        return file;
    }

    it("tells the cause of a request, and names a broken line", async () => {
        const file = await logFile(`{"time":"20\n${line}\n`);
        const { code, out, error } = await run("explain", "r1", file);
        expect(code).toBe(ExitCode.Done);
        expect(out).toContain("Cause: the log of endpoint b had not reached the position that the read demanded");
        expect(error).toContain(`${file}:1: the line is not complete JSON`);
    });

    it("prints JSON for programs", async () => {
        const { out } = await run("explain", "r1", await logFile(line), "--json");
        expect(JSON.parse(out)).toMatchObject({ subject: { kind: "request", id: "r1" }, lines: [{ host: "entry-1" }] });
    });

    it.each([
        [["explain", "r1"], /at least one log file/],
        [["explain", "log", "--configuration", "x"], /needs a number/],
        [["explain", "r1", "/no/such/file"], /no such file/],
    ])("answers %j with a message", async (words, pattern) => {
        const { code, error } = await run(...words);
        expect(code).toBe(ExitCode.Usage);
        expect(error).toMatch(pattern);
    });

    it("fails when no line names the request", async () => {
        const { code, out } = await run("explain", "r2", await logFile(line));
        expect(code).toBe(ExitCode.Failed);
        expect(out).toContain("no line of these files tells about it");
    });
});
