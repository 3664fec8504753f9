/** Builds log text as processes write it. */
export class LogText {
    readonly #sequences = new Map<string, number>();
    readonly #lines: string[] = [];

    /** @param clockMs what the host's wall clock shows ahead of the true time */
    add(host: string, atMs: number, event: string, fields: object = {}, clockMs = 0): this {
        const sequence = (this.#sequences.get(host) ?? 0) + 1;
        this.#sequences.set(host, sequence);
        const time = new Date(START + atMs + clockMs).toISOString();
        const head = { time, level: "info", host, run: `run-${host}`, sequence, uptimeMs: atMs };
        this.#lines.push(JSON.stringify({ ...head, event, ...fields }));
        return this;
    }

    get text(): string {
        return this.#lines.join("\n");
    }
}

const START = Date.UTC(2026, 0, 1);
