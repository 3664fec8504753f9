import { expect, test } from "vitest";
import { explain, renderExplanation } from "../src/index.js";
import { LogText } from "./lines.js";

const REQUEST = { requestId: "r1", group: "orders", database: "confirm", statement: "write", latencyMs: 480 };

/** The primary of a group falls silent and is replaced, while a request waits. */
function failover(): LogText {
    return new LogText()
        .add("entry-1", 1_000, "endpointUnreachable", {
            group: "orders",
            endpoint: "a",
            reach: "silent",
            cause: "a probe was not answered",
        })
        .add("entry-2", 1_010, "endpointUnreachable", { group: "orders", endpoint: "a", reach: "silent" })
        .add("control-1", 1_100, "promotionOrdered", { group: "orders", endpoint: "b", fence: 7 })
        .add("entry-1", 1_102, "primaryOrdered", { group: "orders", endpoint: "b", fence: 7 })
        .add("entry-1", 1_500, "requestRefused", {
            ...REQUEST,
            cause: "unreachable",
            code: "busy",
            leaderlessMs: 500,
            primary: { endpoint: "a", term: 3, ageMs: 700 },
        })
        .add("entry-1", 1_750, "primarySeen", { group: "orders", endpoint: "b", term: 4 })
        .add("entry-1", 1_760, "primarySeen", { group: "seats", endpoint: "z", term: 4 });
}

function eventsOf(text: string, id = "r1"): readonly string[] {
    return explain({ kind: "request", id }, [{ name: "log", text }]).lines.map(line => `${line.host} ${line.event}`);
}

test("a refused request leads to the primary's loss and to its replacement", () => {
    const { cause, outcome } = explain({ kind: "request", id: "r1" }, [{ name: "log", text: failover().text }]);
    expect(outcome).toBe("requestRefused (busy) at entry-1, after 480 ms, database confirm, write");
    expect(cause).toBe(
        "no endpoint of group orders was known to lead for the last 500 ms; "
            + "a became silent (a probe was not answered) 500 ms before the answer; "
            + "the promotion of b was ordered 400 ms before the answer, and it led 650 ms later",
    );
});

// Guards against a timeline that drowns the cause in lines of other groups and in what every host says of one fact.
test("only lines that bear on the request are shown", () => {
    expect(eventsOf(failover().text)).toEqual([
        "entry-1 endpointUnreachable",
        "control-1 promotionOrdered",
        "entry-1 primaryOrdered",
        "entry-1 requestRefused",
        "entry-1 primarySeen",
    ]);
});

// Guards against a timeline in which a clock that jumped for a while puts effects before their causes.
test("a wall clock that jumps does not change the order", () => {
    const log = new LogText();
    for (let at = 0; at < 1_000; at += 100) {
        log.add("entry-1", at, "requestServed", { requestId: `s${at}`, group: "orders" });
    }
    log.add("entry-1", 1_000, "endpointUnreachable", { group: "orders", endpoint: "a", reach: "silent" }, -2_000)
        .add("control-1", 1_100, "promotionOrdered", { group: "orders", endpoint: "b", fence: 7 })
        .add("entry-1", 1_500, "requestRefused", { ...REQUEST, cause: "unreachable", code: "busy" }, 3_000);
    expect(eventsOf(log.text)).toEqual([
        "entry-1 endpointUnreachable",
        "control-1 promotionOrdered",
        "entry-1 requestRefused",
    ]);
});

// Guards against a host whose clock is wrong all the time: what it heard of must stand behind what caused it.
test("a host that heard of an order before it was given is shifted", () => {
    const text = new LogText()
        .add("control-1", 1_100, "promotionOrdered", { group: "orders", endpoint: "b", fence: 7 }, 5_000)
        .add("entry-1", 1_102, "primaryOrdered", { group: "orders", endpoint: "b", fence: 7 })
        .add("entry-1", 1_500, "requestRefused", { ...REQUEST, cause: "unreachable", code: "busy" })
        .text;
    expect(eventsOf(text)).toEqual([
        "control-1 promotionOrdered",
        "entry-1 primaryOrdered",
        "entry-1 requestRefused",
    ]);
});

// Guards against one line that was cut short and makes a whole file useless.
test("lines that cannot be read are named, the others used", () => {
    const text = `report of a day\n12.5 entry-1 {"time":"2026\n12.6 entry-1 {"host":"entry-1"}\n${failover().text}`;
    const { findings, lines } = explain({ kind: "request", id: "r1" }, [{ name: "day.txt", text }]);
    expect(findings).toEqual([
        { file: "day.txt", number: 2, problem: "the line is not complete JSON" },
        { file: "day.txt", number: 3, problem: "time, host or event is missing" },
    ]);
    expect(lines).toHaveLength(5);
});

test("the statements of a request's transaction are shown with it", () => {
    const text = new LogText()
        .add("entry-1", 100, "requestServed", { ...REQUEST, requestId: "r0", transaction: "t1", cause: "late" })
        .add("entry-1", 3_200, "transactionAborted", {
            group: "orders",
            transaction: "t1",
            requestId: "r0",
            cause: "its caller was idle for too long",
        })
        .add("entry-1", 3_900, "requestRefused", {
            ...REQUEST,
            transaction: "t1",
            code: "aborted",
            cause: "rolled back after r0: its caller was idle for too long",
        })
        .text;
    expect(eventsOf(text)).toHaveLength(3);
    const { cause } = explain({ kind: "request", id: "r1" }, [{ name: "log", text }]);
    expect(cause).toBe("its transaction was rolled back after r0: its caller was idle for too long");
});

test("a request that no line names is told apart from one whose line was left out", () => {
    const text = failover().add("entry-1", 2_000, "linesDropped", { kind: "requestRefused/busy", lines: 40 }).text;
    const explanation = explain({ kind: "request", id: "none" }, [{ name: "log", text }]);
    expect(renderExplanation(explanation)).toBe(
        "Request none: no line of these files tells about it; 40 lines were left out under load",
    );
});

test("an endpoint and a configuration have timelines too", () => {
    const text = failover().add("entry-1", 3_000, "configurationInForce", { number: 9 }).text;
    const files = [{ name: "log", text }];
    expect(explain({ kind: "endpoint", id: "b" }, files).lines.map(line => line.event)).toEqual([
        "promotionOrdered",
        "primaryOrdered",
        "primarySeen",
    ]);
    expect(explain({ kind: "configuration", number: 9 }, files).lines).toHaveLength(1);
});
