import { PostgresConnector, ShortConnection } from "@medlarledge/postgres";
import type { ReplicationAddress } from "./replication.js";

/** Answers with the port that followers connect to; there is no such setting in PostgreSQL. */
export const REPLICATION_PORT = "stand_in.replication_port";

const LOCATE_TIMEOUT_MS = 1_000;
const WORD = /\s*(\w+)\s*=\s*(?:'((?:[^'\\]|\\.)*)'|((?:[^\s'\\]|\\.)*))\s*/gsy;

/** Reads a connection string of libpq; undefined when it is malformed. */
export function parseConninfo(text: string): ReadonlyMap<string, string> | undefined {
    const words = new Map<string, string>();
    let end = 0;
    for (const match of text.matchAll(WORD)) {
        const [whole, name = "", quoted, plain = ""] = match;
        words.set(name, (quoted ?? plain).replace(/\\(.)/gs, "$1"));
        end = match.index + whole.length;
    }
    return end === text.length ? words : undefined;
}

/** Asks the stand-in at a connection string for its replication port; undefined when it does not answer. */
export async function locate(conninfo: string): Promise<ReplicationAddress | undefined> {
    const words = parseConninfo(conninfo);
    const host = words?.get("host");
    if (words === undefined || host === undefined) {
        return undefined;
    }
    const password = words.get("password");
    const connector = new PostgresConnector(() => ({
        user: words.get("user") ?? "",
        ...(password !== undefined && { password }),
    }));
    const port = Number(words.get("port") ?? 5_432);
    const server = {
        ...{ id: "", database: "replication", dataCentre: "", systemIdentifier: "" },
        ...{ host, port, slots: 0, connections: 0, sequence: 0 },
    };
    const result = await ShortConnection.use(
        connector,
        server,
        LOCATE_TIMEOUT_MS,
        (connection) => connection.query(`SHOW ${REPLICATION_PORT}`),
    );
    const found = result?.ok === true ? result.rows[0]?.[0] : undefined;
    return found === undefined ? undefined : { host, port: Number(found) };
}
