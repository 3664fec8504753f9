import { expect, test } from "vitest";
import { ErrorCode, guaranteesNoEffect, isEndpointFault } from "../src/index.js";

// Guards against reporting to a caller that its statement had no effect although it may have run.
test("codes of statements that ran or may have run do not guarantee that they had no effect", () => {
    const codes = Object.values(ErrorCode).filter(guaranteesNoEffect).sort();
    expect(codes).toEqual(["aborted", "busy", "lagging", "misrouted", "readOnly", "tooManyConnections"]);
});

// Guards against retries on other endpoints of statements that every endpoint would refuse.
test("only failed and timed-out statements are the endpoint's fault, without a guarantee of no effect", () => {
    const faults = Object.values(ErrorCode).filter(isEndpointFault).sort();
    expect(faults).toEqual(["failed", "timeout"]);
    expect(faults.filter(guaranteesNoEffect)).toEqual([]);
});
