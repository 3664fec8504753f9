import { Client } from "pg";

/** SQLSTATE of a request whose outcome is unknown. */
export const UNKNOWN_OUTCOME = "ML002";

export interface WriteResult {
    readonly key: string;
    readonly outcome: "acknowledged" | "notRun" | "unknown";
    readonly at: number;
    readonly text: string;
}

/** Opens a caller's connection with the unmodified `pg` client. */
export async function connect(url: string, session?: string): Promise<Client> {
    const options = session === undefined ? {} : { options: `-c medlarledge.session=${session}` };
    const client = new Client({ connectionString: url, connectionTimeoutMillis: 3_000, ...options });
    client.on("error", () => undefined);
    await client.connect();
    return client;
}

/** Inserts one row and tells what became of it. */
export async function write(client: Client, key: string): Promise<WriteResult> {
    try {
        await client.query("INSERT INTO orders VALUES ($1, $2)", [key, `value of ${key}`]);
        return { key, outcome: "acknowledged", at: performance.now(), text: "" };
    }
    catch (error) {
        const code = sqlstate(error);
        const known = code !== undefined && code !== UNKNOWN_OUTCOME;
        const text = `${code ?? "no code"}: ${error instanceof Error ? error.message : ""}`;
        return { key, outcome: known ? "notRun" : "unknown", at: performance.now(), text };
    }
}

/** True when the row of a key is visible. */
export async function isVisible(client: Client, key: string): Promise<boolean> {
    const result = await client.query("SELECT key, value FROM orders WHERE key = $1", [key]);
    return result.rowCount === 1;
}

function sqlstate(error: unknown): string | undefined {
    const code: unknown = error instanceof Error && "code" in error ? error.code : undefined;
    return typeof code === "string" && /^[0-9A-Z]{5}$/.test(code) ? code : undefined;
}
