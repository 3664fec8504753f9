import { readFile } from "node:fs/promises";
import { z } from "zod";
import { Document } from "./document.js";
import type { Finding } from "./finding.js";

const ADDRESS = z.string().regex(/^(\[[0-9a-fA-F:]+\]|[0-9.]+):\d{1,5}$/, "must be IP:PORT");
const HEX_KEY = z.string().regex(/^[0-9a-f]{64}$/, "must be 32 bytes in lower-case hexadecimal");

const tls = z.strictObject({
    certificate: z.string(),
    key: z.string(),
    authority: z.string(),
});

const timing = z.strictObject({
    leaseMs: z.number().int().min(50).max(60_000).default(400),
    renewMs: z.number().int().min(10).max(20_000).default(100),
    driftMarginMs: z.number().int().min(1).max(5_000).default(20),
    heartbeatMs: z.number().int().min(5).max(5_000).default(50),
    electionMs: z.number().int().min(50).max(30_000).default(300),
    probeMs: z.number().int().min(10).max(10_000).default(100),
    probeTimeoutMs: z.number().int().min(10).max(30_000).default(250),
});

/** Schema of one process's settings file. Unknown keys are refused. */
export const hostSettingsSchema = z.strictObject({
    id: z.string().regex(/^[A-Za-z0-9][A-Za-z0-9.-]{0,62}$/, "must be a name of letters, digits, . -"),
    dataCentre: z.string().min(1),
    callerAddress: ADDRESS,
    peerAddress: ADDRESS,
    httpAddress: ADDRESS,
    /** The control group: the same list on every host. */
    control: z.array(z.strictObject({ id: z.string().min(1), address: ADDRESS })).min(1).max(9),
    /** Needed by control hosts; files that must survive live here. */
    dataFolder: z.string().min(1).optional(),
    /** A folder that this host watches and proposes when it changes. */
    watchFolder: z.string().min(1).optional(),
    operator: z.string().min(1).default("folder"),
    endpointUser: z.string().min(1),
    endpointPassword: z.string().default(""),
    /** Newest first: the first key signs, all verify. */
    sessionKeys: z.array(HEX_KEY).min(1),
    announceKey: HEX_KEY,
    /** Asked of operators' HTTP calls; needed when the HTTP address is not loopback. */
    operatorToken: z.string().min(16).optional(),
    tls: tls.optional(),
    /** Certificate shown to callers; without it callers connect in plain text. */
    callerTls: z.strictObject({ certificate: z.string(), key: z.string() }).optional(),
    plaintextPeers: z.boolean().default(false),
    statsdAddress: ADDRESS.optional(),
    logLevel: z.enum(["debug", "info", "warn", "error"]).default("info"),
    timing: timing.prefault({}),
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
