import type { Endpoint } from "@medlarledge/protocol";
import { StandInEndpoint, type StandInOptions } from "@medlarledge/testing";
import { PostgresConnector, type Row, ShortConnection } from "../src/index.js";
import { eventually } from "./listener-fixture.js";

export const TIMEOUT_MS = 5_000;
/** With each character that connection strings or SQL literals treat specially. */
export const PASSWORD = String.raw`it's a \ "pass'\\word" = x`;
export const credentials = { user: "control", password: PASSWORD };
export const connector = new PostgresConnector(() => credentials);

export const announced = (endpoint: StandInEndpoint): Endpoint => ({ ...endpoint.endpoint, sequence: 1 });
export const keys = (endpoint: StandInEndpoint) => endpoint.rows("t")?.map((row) => row.key);

/** Runs queries on one connection and returns all rows; an error is thrown with its SQLSTATE. */
export async function run(endpoint: StandInEndpoint, ...queries: readonly string[]): Promise<readonly Row[]> {
    const rows = await ShortConnection.use(connector, announced(endpoint), TIMEOUT_MS, async (connection) => {
        const all: Row[] = [];
        for (const sql of queries) {
            const result = await connection.query(sql);
            if (!result.ok) {
                throw new Error(JSON.stringify(result.error));
            }
            all.push(...result.rows);
        }
        return all;
    });
    if (rows === undefined) {
        throw new Error("no connection");
    }
    return rows;
}

/** A primary and two replicas that hold one row, with passwords. */
export class ReplicaGroup {
    readonly old = create({ id: "old" });
    /** Its control file shows a promotion only after the test. */
    readonly next = create({ id: "next", checkpointMs: 600_000 });
    readonly replica = create({ id: "replica" });

    async start(): Promise<void> {
        const { old, next, replica } = this;
        await Promise.all([old, next, replica].map((endpoint) => endpoint.start()));
        next.follow(old.replicationAddress);
        replica.follow(old.replicationAddress);
        await run(old, "CREATE TABLE t (key text primary key, value text)", "INSERT INTO t VALUES ('a', 'x')");
        await eventually(() => [keys(next), keys(replica)]).toEqual([["a"], ["a"]]);
    }

    end(): void {
        [this.old, this.next, this.replica].forEach((endpoint) => endpoint.crash());
    }
}

function create(options: StandInOptions): StandInEndpoint {
    const authentication = { method: "scram", password: PASSWORD } as const;
    return new StandInEndpoint({ connectDelayMs: 0, authentication, ...options });
}
