import { describe, expect, it } from "vitest";
import { formatFinding, parseHostSettings } from "../src/index.js";

const valid = {
    id: "a1",
    dataCentre: "mechelen",
    callerAddress: "127.0.0.1:6432",
    peerAddress: "127.0.0.1:6433",
    httpAddress: "127.0.0.1:6434",
    control: [{ id: "a1", address: "127.0.0.1:6433" }],
    dataFolder: "data",
    endpointUser: "proxy",
    sessionKeys: ["00".repeat(32)],
    announceKey: "11".repeat(32),
    plaintextPeers: true,
};

function findings(change: Record<string, unknown>): readonly string[] {
    const read = parseHostSettings("host.jsonc", JSON.stringify({ ...valid, ...change }, undefined, 1));
    return read.ok ? [] : read.findings.map(formatFinding);
}

describe("parseHostSettings", () => {
    it("accepts a complete file and fills in the timing defaults", () => {
        const read = parseHostSettings("host.jsonc", JSON.stringify(valid));
        expect(read.ok && read.settings.timing.leaseMs).toBe(400);
    });

    it.each([
        ["an unknown key", { leaseMs: 5 }, /unknown key "leaseMs"/],
        ["a control host without a data folder", { dataFolder: undefined }, /dataFolder/],
        ["plain text beyond loopback", { peerAddress: "10.0.0.1:1" }, /loopback/],
        ["missing TLS without consent to plain text", { plaintextPeers: false }, /tls/],
        ["a lease that a single late renewal ends", { timing: { leaseMs: 100, renewMs: 90 } }, /half of leaseMs/],
        ["operators' calls beyond loopback without a token", { httpAddress: "10.0.0.1:1" }, /operatorToken/],
        ["a host name where an IP number is needed", { httpAddress: "host:1" }, /IP:PORT/],
    ])("refuses %s", (_name, change, pattern) => {
        expect(findings(change).join("\n")).toMatch(pattern);
    });
});
