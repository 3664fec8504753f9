import { type Endpoint, type EndpointProbeResult, EndpointRole, parsePosition } from "@medlarledge/protocol";
import type { EndpointConnector } from "./endpoint-connection.js";
import { type Row, ShortConnection } from "./short-connection.js";

/**
 * After a promotion the control file keeps the old timeline until the next checkpoint. The name of the current log
 * file begins with the timeline in 8 hexadecimal digits and is exact on a primary.
 */
const TIMELINE_SQL = "CASE WHEN pg_is_in_recovery() THEN (pg_control_checkpoint()).timeline_id "
    + "ELSE ('x' || left(pg_walfile_name(pg_current_wal_insert_lsn()), 8))::bit(32)::int END";

/**
 * Role, timeline, position and identity in one answer. CASE keeps pg_current_wal_insert_lsn() and pg_walfile_name(),
 * which fail during recovery, from being evaluated on a replica.
 */
export const READING_SQL = `SELECT pg_is_in_recovery(), ${TIMELINE_SQL}, `
    + "CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn() ELSE pg_current_wal_insert_lsn() END, "
    + "(pg_control_system()).system_identifier";

/** As `READING_SQL`, with the position at which a promoted replica stopped replaying; NULL if it never was a replica. */
export const START_SQL = `SELECT pg_is_in_recovery(), ${TIMELINE_SQL}, `
    + "pg_last_wal_replay_lsn(), (pg_control_system()).system_identifier";

/** Reads an endpoint's role, timeline, position and identity; undefined when it does not answer in time. */
export function readEndpoint(
    connector: EndpointConnector,
    endpoint: Endpoint,
    timeoutMs: number,
): Promise<EndpointProbeResult | undefined> {
    return ShortConnection.use(connector, endpoint, timeoutMs, (connection) => read(connection, READING_SQL));
}

/**
 * Makes a replica the primary and reads it. The position of the result is the start of the new term: the last record
 * replayed. A fencing of its time as a former primary ends. A primary is not changed, only read. The result may still say replica, when the promotion did not finish;
 * undefined means that the endpoint did not answer, and the promotion may have happened.
 */
export function promoteEndpoint(
    connector: EndpointConnector,
    endpoint: Endpoint,
    timeoutMs: number,
): Promise<EndpointProbeResult | undefined> {
    return ShortConnection.use(connector, endpoint, timeoutMs, async (connection) => {
        const before = await read(connection, READING_SQL);
        if (before?.role === EndpointRole.Replica) {
            // Before the promotion, because a reload takes effect with a delay and the new term must accept writes. A
            // replica refuses writes anyway. A fenced primary stays fenced.
            await connection.query("ALTER SYSTEM RESET default_transaction_read_only");
            await connection.query("SELECT pg_reload_conf()");
            const seconds = Math.max(1, Math.ceil(timeoutMs / 1_000));
            await connection.query(`SELECT pg_promote(true, ${seconds})`);
        }
        if (before === undefined) {
            return undefined;
        }
        return await read(connection, START_SQL) ?? await read(connection, READING_SQL);
    });
}

/**
 * Makes an endpoint refuse writes in new transactions. True when it confirmed. The statements are separate queries,
 * because ALTER SYSTEM is not allowed in a transaction and two statements in one query are one.
 */
export async function fenceEndpoint(
    connector: EndpointConnector,
    endpoint: Endpoint,
    timeoutMs: number,
): Promise<boolean> {
    const fenced = await ShortConnection.use(connector, endpoint, timeoutMs, async (connection) => {
        const altered = await connection.query("ALTER SYSTEM SET default_transaction_read_only = on");
        const reloaded = altered.ok ? await connection.query("SELECT pg_reload_conf()") : altered;
        return reloaded.ok;
    });
    return fenced ?? false;
}

async function read(connection: ShortConnection, sql: string): Promise<EndpointProbeResult | undefined> {
    const result = await connection.query(sql);
    const row = result.ok ? result.rows[0] : undefined;
    return row && toReading(row);
}

/** Undefined for a row of another form. */
function toReading([inRecovery, timeline, position, systemIdentifier]: Row): EndpointProbeResult | undefined {
    const parsed = position === undefined ? undefined : parsePosition(position);
    if (parsed === undefined || timeline === undefined || systemIdentifier === undefined) {
        return undefined;
    }
    return {
        role: inRecovery === "t" ? EndpointRole.Replica : EndpointRole.Primary,
        timeline: Number(timeline),
        position: parsed,
        systemIdentifier,
    };
}
