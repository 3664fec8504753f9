import type { EndpointRecord } from "@medlarledge/protocol";
import type { EndpointConnector, EndpointStatus } from "@medlarledge/statements";

/** Probes an endpoint for its role and position over a new connection; undefined when it does not answer in time. */
export async function probeEndpoint(
    connector: EndpointConnector,
    { id, group, host, port }: EndpointRecord,
    timeoutMs: number,
): Promise<EndpointStatus | undefined> {
    const connected = await connector.connect({ id, group, host, port }, undefined, timeoutMs);
    if (!connected.ok) {
        return undefined;
    }
    const { connection } = connected;
    return new Promise(resolve => {
        const finish = (status: EndpointStatus | undefined): void => {
            clearTimeout(timer);
            connection.close();
            resolve(status);
        };
        const timer = setTimeout(() => finish(undefined), timeoutMs);
        connection.setHandler({
            answered: answer => finish(answer.status),
            closed: () => finish(undefined),
        });
        connection.send([{ kind: "status" }]);
    });
}
