import { build } from "hdr-histogram-js";
import type { Client } from "pg";
import { connect } from "../quickstart/workload.js";
import { pause } from "./measure.js";

const UNKNOWN_OUTCOME = "ML002";
const RETRY_MS = 5;
const MICROSECONDS = 1_000;

/** One caller that inserts a row after the other and keeps what it was told about each. */
export class Writer {
    readonly acknowledged: string[] = [];
    readonly notRun: string[] = [];
    readonly unknown: string[] = [];
    readonly #acknowledgedAt: { readonly key: string; readonly sentAt: number; readonly at: number; }[] = [];
    readonly #latencies = build();
    readonly #url: string;
    readonly #name: string;
    #client: Client | undefined;
    #stopped = false;
    #running: Promise<void> = Promise.resolve();

    private constructor(url: string, name: string) {
        this.#url = url;
        this.#name = name;
    }

    /** Different names let several callers write to one database. */
    static async start(url: string, name = "key"): Promise<Writer> {
        const writer = new Writer(url, name);
        writer.#client = await connect(url);
        await writer.#client.query("CREATE TABLE IF NOT EXISTS bench (key text primary key, value text)");
        writer.#running = writer.#run();
        return writer;
    }

    /** Time at which the last acknowledged write was sent. */
    get lastSentAt(): number {
        return this.#acknowledgedAt.at(-1)?.sentAt ?? 0;
    }

    /** A write sent before the time may have been acknowledged by the old primary, so it does not count. */
    firstAcknowledgedAfter(time: number): number {
        return this.#acknowledgedAt.find(entry => entry.sentAt > time)?.at ?? NaN;
    }

    acknowledgedSince(time: number): readonly string[] {
        return this.#acknowledgedAt.filter(entry => entry.at > time).map(entry => entry.key);
    }

    medianLatencyMs(): number {
        return this.#latencies.getValueAtPercentile(50) / MICROSECONDS;
    }

    summary(): string {
        return `${this.acknowledged.length} acknowledged, ${this.notRun.length} not run, ${this.unknown.length} unknown`;
    }

    async stop(): Promise<void> {
        this.#stopped = true;
        await this.#running;
        await this.#client?.end();
    }

    async #run(): Promise<void> {
        for (let index = 0; !this.#stopped; index++) {
            const acknowledged = await this.#write(`${this.#name}-${index}`);
            if (!acknowledged) {
                await pause(RETRY_MS);
            }
        }
    }

    async #write(key: string): Promise<boolean> {
        const sentAt = performance.now();
        try {
            this.#client ??= await connect(this.#url);
            await this.#client.query("INSERT INTO bench VALUES ($1, $2)", [key, key]);
            const at = performance.now();
            this.acknowledged.push(key);
            this.#acknowledgedAt.push({ key, sentAt, at });
            this.#latencies.recordValue(Math.round((at - sentAt) * MICROSECONDS));
            return true;
        }
        catch (error) {
            this.#failed(key, error);
            return false;
        }
    }

    #failed(key: string, error: unknown): void {
        const code: unknown = error instanceof Error && "code" in error ? error.code : undefined;
        const isSqlstate = typeof code === "string" && /^[0-9A-Z]{5}$/.test(code);
        if (!isSqlstate) {
            this.#client = undefined;
        }
        (isSqlstate && code !== UNKNOWN_OUTCOME ? this.notRun : this.unknown).push(key);
    }
}
