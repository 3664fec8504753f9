import { expect, test } from "vitest";
import { ErrorCode, guaranteesNoEffect, isEndpointFault } from "../src/index.js";

// Guards against telling a caller that nothing is kept while a statement may have run.
test("codes with an open or executed outcome promise nothing", () => {
    const promises = Object.values(ErrorCode).filter(guaranteesNoEffect).sort();
    expect(promises).toEqual(["aborted", "busy", "lagging", "misrouted", "readOnly", "tooManyConnections"]);
});

// Guards against repeated statements that were refused for what they are, which no other endpoint would run either.
test("only a failed run is the endpoint's fault, and it promises nothing", () => {
    const faults = Object.values(ErrorCode).filter(isEndpointFault).sort();
    expect(faults).toEqual(["failed", "timeout"]);
    expect(faults.filter(guaranteesNoEffect)).toEqual([]);
});
