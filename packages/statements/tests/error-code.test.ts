import { expect, test } from "vitest";
import { ErrorCode, isPromise } from "../src/index.js";

// Guards against telling a caller that nothing is kept while a statement may have run.
test("codes with an open or executed outcome promise nothing", () => {
    const promises = Object.values(ErrorCode).filter(isPromise).sort();
    expect(promises).toEqual(["aborted", "busy", "lagging", "misrouted", "readOnly", "tooManyConnections"]);
});
