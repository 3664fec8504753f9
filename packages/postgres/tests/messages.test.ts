import { serialize } from "pg-protocol";
import { describe, expect, it } from "vitest";
import { findFrontendFault, type Frame, FrontendType, messages } from "../src/index.js";

const frame = (bytes: Buffer): Frame => ({ type: bytes[0]!, bytes });

describe("messages", () => {
    it("reads and rewrites names", () => {
        // Guards against a rewrite that changes the wrong name or leaves the length as it was.
        const bind = frame(serialize.bind({ portal: "p", statement: "old", values: ["x", null] }));
        expect([messages.portalNameOf(bind), messages.statementNameOf(bind)]).toEqual(["p", "old"]);
        const rewritten = messages.withStatementName(bind, "longer-é");
        expect(rewritten.bytes).toEqual(serialize.bind({ portal: "p", statement: "longer-é", values: ["x", null] }));
        const parse = frame(messages.parse("old", "SELECT $1", [25]));
        expect(messages.withStatementName(parse, "").bytes).toEqual(messages.parse("", "SELECT $1", [25]));
        expect([messages.sqlOf(parse), messages.parameterTypesOf(parse)]).toEqual(["SELECT $1", [25]]);
        for (const make of [serialize.describe, serialize.close]) {
            const statement = frame(make({ type: "S", name: "s" }));
            const portal = frame(make({ type: "P", name: "s" }));
            expect(messages.withStatementName(statement, "t").bytes).toEqual(make({ type: "S", name: "t" }));
            expect(messages.withStatementName(portal, "t")).toBe(portal);
            expect([messages.statementNameOf(statement), messages.portalNameOf(statement)]).toEqual(["s", undefined]);
            expect([messages.statementNameOf(portal), messages.portalNameOf(portal)]).toEqual([undefined, "s"]);
        }
        expect(messages.portalNameOf(frame(serialize.execute({ portal: "e" })))).toBe("e");
        expect(messages.sqlOf(frame(messages.query("SELECT 'é'")))).toBe("SELECT 'é'");
    });

    it("reads answers", () => {
        const error = frame(messages.errorResponse("ML002", "a\0b", "ERROR", "detail", "hint"));
        expect(messages.sqlstateOf(error)).toBe("ML002");
        expect(Object.fromEntries(messages.reportFieldsOf(error))).toMatchObject({ M: "ab", D: "detail", H: "hint" });
        expect(messages.transactionStatusOf(frame(messages.readyForQuery("E")))).toBe("E");
        expect(messages.commandTagOf(frame(messages.commandComplete("INSERT 0 1")))).toBe("INSERT 0 1");
        expect(messages.rowOf(frame(messages.dataRow(["a", undefined, ""])))).toEqual(["a", undefined, ""]);
        expect(messages.firstColumnOf(frame(messages.dataRow(["1/A"])))).toBe("1/A");
        expect(messages.firstColumnOf(frame(messages.dataRow([undefined])))).toBeUndefined();
        expect(messages.firstColumnOf(frame(messages.dataRow([])))).toBeUndefined();
    });

    it("accepts what pg sends and finds every truncation of it", () => {
        // Guards against a malformed message that reaches the proxy, and against refusing a correct one.
        const sent = [
            messages.query("SELECT 1"),
            messages.parse("a", "SELECT $1", [25, 0]),
            serialize.bind({ statement: "a", values: ["x", null, Buffer.from([0, 1])], binary: true }),
            serialize.describe({ type: "S", name: "a" }),
            serialize.execute({ portal: "p", rows: 3 }),
            serialize.close({ type: "P", name: "" }),
            serialize.copyFail("no"),
            messages.sync(),
        ].map((bytes) => Buffer.from(bytes));
        for (const bytes of sent) {
            expect(findFrontendFault(frame(bytes))).toBeUndefined();
            for (let end = 5; end < bytes.length; end++) {
                expect(findFrontendFault(frame(bytes.subarray(0, end)))).toBeDefined();
            }
            expect(findFrontendFault(frame(Buffer.concat([bytes, Buffer.from([1])])))).toBeDefined();
        }
        expect(findFrontendFault({ type: FrontendType.Password, bytes: messages.sync() })).toBeDefined();
    });
});
