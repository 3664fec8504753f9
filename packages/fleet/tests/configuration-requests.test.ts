import { expect, test } from "vitest";
import { ConfigurationRequests } from "../src/configuration-requests.js";

const LINKED = ["lagging", "current", "other"] as const;

// Guards against a host that is asked again and again for a configuration that it does not have (CONFIG).
test("after an old answer another host is asked at once, and the former one only after a pause", () => {
    const requests = new ConfigurationRequests();
    requests.offered("lagging", 1);
    expect(requests.next(0, LINKED, 0)).toBe("lagging");
    requests.offered("current", 2);
    expect(requests.next(0, LINKED, 1)).toBeUndefined();
    requests.answered("lagging", 1);
    expect(requests.next(1, LINKED, 2)).toBe("current");
    requests.answered("current", 2);
    expect(requests.next(2, LINKED, 3)).toBeUndefined();
});

// Guards against a request that is lost, or waits at a frozen host, until that host answers.
test("a host that does not answer within 400 ms is asked after the others", () => {
    const requests = new ConfigurationRequests();
    LINKED.forEach(host => requests.offered(host, 5));
    expect(requests.next(4, LINKED, 0)).toBe("lagging");
    expect(requests.next(4, LINKED, 399)).toBeUndefined();
    expect(requests.next(4, LINKED, 400)).toBe("current");
    expect(requests.next(4, LINKED, 800)).toBe("other");
    expect(requests.next(4, LINKED, 1_200)).toBe("lagging");
});

// Guards against a stream of requests to hosts that all lag behind a number that the leader has confirmed.
test("hosts that have nothing newer are each asked once in 400 ms", () => {
    const requests = new ConfigurationRequests();
    requests.confirmed(9);
    const asked: string[] = [];
    for (let now = 0; now < 2_000; now += 1) {
        const host = requests.next(4, LINKED, now);
        if (host !== undefined) {
            asked.push(host);
            requests.answered(host, 4);
        }
    }
    expect(asked).toHaveLength(15);
    expect(asked.slice(0, 3).sort()).toEqual([...LINKED].sort());
});

// Guards against requests that go to a host whose link was lost, and against its last offer after a restart without it.
test("what a host offered is forgotten when the link to it is lost", () => {
    const requests = new ConfigurationRequests();
    requests.offered("lagging", 9);
    requests.offered("current", 8);
    expect(requests.next(7, LINKED, 0)).toBe("lagging");
    requests.disconnected("lagging");
    expect(requests.next(7, ["current", "other"], 1)).toBe("current");
});

// Guards against a transfer for each of many changes in quick succession from each of the linked hosts.
test("while an answer is awaited, offers cause no further request", () => {
    const requests = new ConfigurationRequests();
    let requestCount = 0;
    for (let number = 1; number <= 30; number += 1) {
        for (const host of LINKED) {
            requests.offered(host, number);
            requestCount += requests.next(0, LINKED, number) === undefined ? 0 : 1;
        }
    }
    expect(requestCount).toBe(1);
    requests.answered("lagging", 30);
    expect(requests.next(30, LINKED, 31)).toBeUndefined();
});
