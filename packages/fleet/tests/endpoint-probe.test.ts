import { type EndpointRecord, EndpointRole, EndpointState } from "@medlarledge/protocol";
import { type CommandAnswer, type ConnectionHandler, type EndpointConnector, ErrorCode } from "@medlarledge/statements";
import { expect, test } from "vitest";
import { probeEndpoint } from "../src/endpoint-probe.js";

const RECORD: EndpointRecord = {
    id: "a",
    group: "orders",
    dataCentre: "ams",
    host: "10.0.0.1",
    port: 1,
    slots: 2,
    born: 1,
    sequence: 1,
    state: EndpointState.Active,
    role: EndpointRole.Replica,
};
const BUSY: CommandAnswer = {
    rows: [],
    completion: { kind: "error", code: ErrorCode.Busy, text: "" },
    state: "idle",
    position: undefined,
    status: undefined,
};

/** An endpoint that tells position 1.7 when a connection is opened and answers its first command as given. */
function endpointWith(answer: CommandAnswer | undefined): EndpointConnector {
    let handler: ConnectionHandler | undefined;
    const connection = {
        setHandler: (set: ConnectionHandler) => (handler = set),
        send: () => setTimeout(() => answer === undefined ? undefined : handler?.answered(answer), 1),
        close: () => undefined,
    };
    return { connect: () => Promise.resolve({ ok: true, connection, position: { term: 1, number: 7 } }) };
}

test("the status tells the received position", async () => {
    const status = { leads: false, term: 1, received: { term: 1, number: 9 } };
    const connector = endpointWith({ ...BUSY, completion: { kind: "done", signature: undefined }, status });
    expect(await probeEndpoint(connector, RECORD, 100)).toEqual({ leads: false, term: 1, number: 9, isExact: true });
});

// Guards against a busy endpoint that counts as one that has received nothing (review case 2, LOST).
test("a busy endpoint tells the position that it has applied", async () => {
    const position = { term: 1, number: 8 };
    expect(await probeEndpoint(endpointWith({ ...BUSY, position }), RECORD, 100))
        .toEqual({ leads: false, term: 1, number: 8, isExact: false });
    expect(await probeEndpoint(endpointWith(BUSY), RECORD, 100))
        .toEqual({ leads: false, term: 1, number: 7, isExact: false });
});

test("an endpoint that does not answer tells nothing", async () => {
    expect(await probeEndpoint(endpointWith(undefined), RECORD, 20)).toBeUndefined();
});
