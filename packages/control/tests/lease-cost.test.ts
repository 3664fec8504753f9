import { encodeMessage, type Message } from "@medlarledge/protocol";
import { readFileSync } from "node:fs";
import { expect, test } from "vitest";

const RENEWALS_PER_SECOND = 10;

/** Bytes of one renewal and its grant, with the numbers of a group that has run for a day. */
function exchangeBytes(database?: string): number {
    const scope = database === undefined ? {} : { database };
    const known = { configurationNumber: 240, configurationSince: 1_780_000_000_000, viewVersion: 5_000 };
    const renewal: Message = { kind: "renewLease", sequence: 864_000, ...known, draining: false, ...scope };
    const grant: Message = { kind: "leaseGranted", sequence: 864_000, durationMs: 400, ...scope };
    return encodeMessage(renewal).byteLength + encodeMessage(grant).byteLength;
}

function row(hosts: number, databases: number): string {
    const perSecond = hosts * RENEWALS_PER_SECOND;
    const one = exchangeBytes();
    const each = exchangeBytes("database-001");
    const cells = [
        `${hosts} × ${databases}`,
        2 * perSecond,
        perSecond * one,
        2 * perSecond * databases,
        perSecond * databases * each,
    ];
    return `| ${cells.map((cell) => cell.toLocaleString("en")).join(" | ")} |`;
}

// Guards against figures in the documentation that no longer match the codec.
test("the page on leases states the messages and bytes per second that the codec produces", () => {
    const page = readFileSync(new URL("../../../docs/notes/leases.md", import.meta.url), "utf8");
    const rows = [row(7, 3), row(50, 64), row(550, 640)];
    rows.forEach((expected) => expect(page).toContain(expected));
    expect(page).toContain(`${exchangeBytes()} bytes`);
    expect(page).toContain(`${exchangeBytes("database-001")} bytes`);
});
