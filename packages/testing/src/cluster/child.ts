import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream } from "node:fs";

const EXIT_TIMEOUT_MS = 15_000;

/** One process that an experiment started. It is ended by its id and never outlives the experiment. */
export class Child {
    readonly #process: ChildProcess;
    readonly #exited: Promise<number>;
    #firstLine: Promise<string>;

    constructor(command: string, args: readonly string[], logFile: string) {
        this.#process = spawn(command, args, { stdio: ["ignore", "pipe", "pipe"] });
        const log = createWriteStream(logFile, { flags: "a" });
        this.#process.stderr?.pipe(log);
        this.#firstLine = this.#readFirstLine();
        this.#exited = new Promise(resolve => this.#process.once("exit", code => resolve(code ?? 1)));
        const killAtExit = (): boolean => this.#process.kill("SIGKILL");
        process.once("exit", killAtExit);
        this.#process.once("exit", () => process.off("exit", killAtExit));
    }

    get pid(): number | undefined {
        return this.#process.pid;
    }

    get running(): boolean {
        return this.#process.exitCode === null && this.#process.signalCode === null;
    }

    /** The first line that the process writes; empty when it ends before. */
    firstLine(): Promise<string> {
        return this.#firstLine;
    }

    kill(): Promise<number> {
        this.#process.kill("SIGCONT");
        this.#process.kill("SIGKILL");
        return this.#exited;
    }

    /** Asks the process to end and waits; it is killed when it takes too long. */
    async stop(): Promise<number> {
        this.#process.kill("SIGCONT");
        this.#process.kill("SIGTERM");
        const timer = setTimeout(() => this.#process.kill("SIGKILL"), EXIT_TIMEOUT_MS);
        const code = await this.#exited;
        clearTimeout(timer);
        return code;
    }

    pause(): void {
        this.#process.kill("SIGSTOP");
    }

    resume(): void {
        this.#process.kill("SIGCONT");
    }

    #readFirstLine(): Promise<string> {
        return new Promise(resolve => {
            let text = "";
            this.#process.stdout?.on("data", (chunk: Buffer) => {
                text += chunk.toString("utf8");
                if (text.includes("\n")) {
                    resolve(text.slice(0, text.indexOf("\n")));
                }
            });
            this.#process.once("exit", () => resolve(""));
        });
    }
}
