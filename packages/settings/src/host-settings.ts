import { readFile } from "node:fs/promises";
import { z } from "zod";
import { Document } from "./document.js";
import type { Finding } from "./finding.js";

const ADDRESS = z.string().regex(/^(\[[0-9a-fA-F:]+\]|[0-9.]+):\d{1,5}$/, "must be IP:PORT");
const HEX_KEY = z.string().regex(/^[0-9a-f]{64}$/, "must be 32 bytes in lower-case hexadecimal");

const tls = z.strictObject({
    certificate: z.string().describe("File of the certificate; its common name is the id of the host."),
    key: z.string().describe("File of the private key."),
    authority: z.string().describe("File of the certificates of the authorities that are trusted."),
});

const timing = z.strictObject({
    leaseMs: z.number().int().min(50).max(60_000).default(400).describe(
        "Length of a lease, in ms. The same on all hosts.",
    ),
    renewMs: z.number().int().min(10).max(20_000).default(100).describe(
        "Interval of renewals, in ms; at most half of leaseMs.",
    ),
    driftMarginMs: z.number().int().min(1).max(5_000).default(20).describe(
        "Margin for clocks that run differently during a lease, in ms. The same on all hosts.",
    ),
    heartbeatMs: z.number().int().min(5).max(5_000).default(50).describe(
        "Interval of the leader's heartbeats to the control hosts, in ms.",
    ),
    electionMs: z.number().int().min(50).max(30_000).default(300).describe(
        "Silence after which a control host may stand for election, in ms; it waits once to twice this time. The same on all control hosts.",
    ),
});

/** Schema of one process's settings file. Unknown keys are refused. */
export const hostSettingsSchema = z.strictObject({
    id: z.string().regex(/^[A-Za-z0-9][A-Za-z0-9.-]{0,62}$/, "must be a name of letters, digits, . -").describe(
        "Name of the host; the common name of its certificate.",
    ),
    dataCentre: z.string().min(1).describe("Data centre of the host."),
    callerAddress: ADDRESS.describe("Where callers connect."),
    peerAddress: ADDRESS.describe("Where other processes connect; on loopback only without tls."),
    httpAddress: ADDRESS.describe(
        "Where the platform, endpoints and operators call; beyond loopback operatorToken is needed.",
    ),
    control: z.array(z.strictObject({
        id: z.string().min(1).describe("Id of a control host."),
        address: ADDRESS.describe("Its peerAddress."),
    })).min(1).max(9).describe("The control group: the same list on every host."),
    dataFolder: z.string().min(1).optional().describe(
        "Folder of the files that must survive; needed by control hosts.",
    ),
    watchFolder: z.string().min(1).optional().describe(
        "Configuration folder that this host watches and proposes when it changes.",
    ),
    operator: z.string().min(1).default("folder").describe(
        "Name kept in the history for changes of the watched folder.",
    ),
    endpointUser: z.string().min(1).describe("User that connects to the endpoints."),
    endpointPassword: z.string().default("").describe("Its password."),
    sessionKeys: z.array(HEX_KEY).min(1).describe(
        "Keys of session tokens, the same on all hosts; the first key signs, all verify.",
    ),
    announceKey: HEX_KEY.describe("Key that signs announcements of endpoints; the same on all hosts."),
    operatorToken: z.string().min(16).optional().describe("Token of operators' HTTP calls; needed beyond loopback."),
    tls: tls.optional().describe("Identity among the processes; its files are read again every 5 s."),
    callerTls: z.strictObject({
        certificate: z.string().describe("File of the certificate; read when the process starts."),
        key: z.string().describe("File of the private key; read when the process starts."),
    }).optional().describe("Certificate shown to callers; without it callers connect in plain text."),
    plaintextPeers: z.boolean().default(false).describe("Allows plain text between processes on loopback addresses."),
    statsdAddress: ADDRESS.optional().describe("Where metrics are sent; without it none are."),
    logLevel: z.enum(["debug", "info", "warn", "error"]).default("info").describe(
        "Least level of the log lines written.",
    ),
    timing: timing.prefault({}).describe("Times of the leases, the control group and probes."),
});

export type HostSettings = z.infer<typeof hostSettingsSchema>;

export type HostSettingsRead =
    | { readonly ok: true; readonly settings: HostSettings; }
    | { readonly ok: false; readonly findings: readonly Finding[]; };

/** Reads and checks a process's settings file. */
export async function loadHostSettings(file: string): Promise<HostSettingsRead> {
    let text: string;
    try {
        text = await readFile(file, "utf8");
    }
    catch (error) {
        const reason = error instanceof Error ? error.message : String(error);
        return { ok: false, findings: [{ file, line: 1, column: 1, text: `cannot be read: ${reason}` }] };
    }
    return parseHostSettings(file, text);
}

/** Checks the text of a process's settings file. */
export function parseHostSettings(file: string, text: string): HostSettingsRead {
    const document = new Document(file, text);
    const syntax = document.findings();
    if (syntax.length > 0) {
        return { ok: false, findings: syntax };
    }
    const parsed = hostSettingsSchema.safeParse(document.value());
    if (!parsed.success) {
        return { ok: false, findings: parsed.error.issues.flatMap(issue => findingsOf(issue, document)) };
    }
    const findings = checkHostRules(parsed.data, document);
    return findings.length > 0 ? { ok: false, findings } : { ok: true, settings: parsed.data };
}

function checkHostRules(settings: HostSettings, document: Document): readonly Finding[] {
    const findings: Finding[] = [];
    const isControl = settings.control.some(member => member.id === settings.id);
    if (isControl && settings.dataFolder === undefined) {
        findings.push(document.findingAt(["control"], "a control host needs a dataFolder"));
    }
    if (settings.tls === undefined && !settings.plaintextPeers) {
        findings.push(document.findingAt([], "tls is missing; plaintextPeers: true allows plain text on loopback"));
    }
    if (settings.tls === undefined && !isLoopback(settings.peerAddress)) {
        findings.push(document.findingAt(["peerAddress"], "plain text is accepted on loopback addresses only"));
    }
    if (settings.operatorToken === undefined && !isLoopback(settings.httpAddress)) {
        findings.push(document.findingAt(["httpAddress"], "beyond loopback an operatorToken is needed"));
    }
    if (settings.timing.renewMs * 2 > settings.timing.leaseMs) {
        findings.push(document.findingAt(["timing", "renewMs"], "renewMs must be at most half of leaseMs"));
    }
    return findings;
}

function findingsOf(issue: z.core.$ZodIssue, document: Document): readonly Finding[] {
    const path = issue.path.filter(part => typeof part !== "symbol");
    if (issue.code === "unrecognized_keys") {
        return issue.keys.map(key => document.findingAtKey([...path, key], `unknown key "${key}"`));
    }
    const name = path.length === 0 ? "" : `${path.join(".")}: `;
    return [document.findingAt(path, `${name}${issue.message}`)];
}

function isLoopback(address: string): boolean {
    return address.startsWith("127.") || address.startsWith("[::1]");
}
