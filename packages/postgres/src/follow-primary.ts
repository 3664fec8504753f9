import type { Endpoint } from "@medlarledge/protocol";
import type { Credentials, EndpointConnector } from "./endpoint-connection.js";
import { ShortConnection } from "./short-connection.js";

/**
 * Makes a replica follow another primary. PostgreSQL 13 and later apply it without a restart; an unchanged value
 * changes nothing. False when the endpoint is not in recovery, so that a primary keeps its settings, and when it did
 * not confirm. True means that the setting is in force, not that the replica has reached the primary.
 *
 * `credentials` are those of the replication connection, which the endpoint itself opens.
 */
export async function followPrimary(
    connector: EndpointConnector,
    endpoint: Endpoint,
    primary: Endpoint,
    credentials: Credentials,
    timeoutMs: number,
): Promise<boolean> {
    const value = sqlLiteral(connectionString(primary, credentials));
    const followed = await ShortConnection.use(connector, endpoint, timeoutMs, async (connection) => {
        const role = await connection.query("SELECT pg_is_in_recovery()");
        if (!role.ok || role.rows[0]?.[0] !== "t") {
            return false;
        }
        const altered = await connection.query(`ALTER SYSTEM SET primary_conninfo = ${value}`);
        const reloaded = altered.ok ? await connection.query("SELECT pg_reload_conf()") : altered;
        return reloaded.ok && reloaded.rows[0]?.[0] === "t";
    });
    return followed ?? false;
}

/** Connection string of libpq. A password sent only with TLS here is sent only with TLS there too. */
export function connectionString(primary: Endpoint, { user, password, tls }: Credentials): string {
    const words: readonly (readonly [string, string | undefined])[] = [
        ["host", primary.host],
        ["port", String(primary.port)],
        ["user", user],
        ["password", password],
        ["sslmode", tls && "require"],
    ];
    return words
        .flatMap(([name, text]) => text === undefined ? [] : [`${name}='${text.replace(/['\\]/g, "\\$&")}'`])
        .join(" ");
}

/** The form with E means the same whatever standard_conforming_strings is. */
function sqlLiteral(text: string): string {
    return `E'${text.replace(/['\\]/g, "$&$&")}'`;
}
