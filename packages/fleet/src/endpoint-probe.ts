import type { MonitorProbeResult } from "@medlarledge/control";
import type { EndpointRecord } from "@medlarledge/protocol";
import type { CommandAnswer, EndpointConnector, LogPosition } from "@medlarledge/statements";

/**
 * Probes an endpoint for its role and position over a new connection. A busy endpoint tells only the position that it
 * has applied. Undefined when it does not answer in time.
 */
export async function probeEndpoint(
    connector: EndpointConnector,
    { id, group, host, port }: EndpointRecord,
    timeoutMs: number,
): Promise<MonitorProbeResult | undefined> {
    const connected = await connector.connect({ id, group, host, port }, undefined, timeoutMs);
    if (!connected.ok) {
        return undefined;
    }
    const { connection, position } = connected;
    return new Promise(resolve => {
        const finish = (result: MonitorProbeResult | undefined): void => {
            clearTimeout(timer);
            connection.close();
            resolve(result);
        };
        const timer = setTimeout(() => finish(undefined), timeoutMs);
        connection.setHandler({
            answered: answer => finish(toProbeResult(answer, position)),
            closed: () => finish(undefined),
        });
        connection.send([{ kind: "status" }]);
    });
}

/** @param applied position that the endpoint told when the connection was opened */
function toProbeResult(
    { status, position }: CommandAnswer,
    applied: LogPosition | undefined,
): MonitorProbeResult | undefined {
    if (status !== undefined) {
        return { leads: status.leads, ...status.received, isExact: true };
    }
    const known = position ?? applied;
    return known === undefined ? undefined : { leads: false, ...known, isExact: false };
}
