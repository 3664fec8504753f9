import type { LeaderRequest } from "@medlarledge/protocol";
import { expect, test } from "vitest";
import { LeaderClient } from "../src/index.js";

/** A client of a process, with the requests that it has sent. */
function clientOf(incarnation: string): { client: LeaderClient; sent: LeaderRequest[]; } {
    const sent: LeaderRequest[] = [];
    return { client: new LeaderClient(incarnation, request => sent.push(request) > 0), sent };
}

// Guards against a change that is acknowledged because the leader answers a change of the host's former process.
test("a restarted process takes no reply to a request of its former process", async () => {
    const former = clientOf("1");
    void former.client.request("propose", "change 7", 900, 0);
    const restarted = clientOf("2");
    const answer = restarted.client.request("propose", "change 8", 900, 0);
    const [{ id: formerId } = { id: "" }] = former.sent;
    const [{ id } = { id: "" }] = restarted.sent;
    restarted.client.handleReply({ kind: "leaderReply", id: formerId, ok: true, body: "accepted 7" });
    restarted.client.handleReply({ kind: "leaderReply", id, ok: true, body: "accepted 8" });
    expect(await answer).toEqual({ kind: "answered", ok: true, body: "accepted 8" });
});

test("a request without a reply is sent again, and given up at its deadline", async () => {
    const { client, sent } = clientOf("1");
    const answer = client.request("read", undefined, 900, 0);
    client.tick(500);
    expect(sent.map(({ id }) => id)).toEqual([sent[0]?.id, sent[0]?.id]);
    client.tick(900);
    expect(await answer).toMatchObject({ kind: "unavailable" });
});
