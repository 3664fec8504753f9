import { createAuthority, issueHostKeys, type KeyPair } from "@medlarledge/daemon";
import { mkdir, readFile, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { ExitCode } from "./exit-code.js";
import type { Output } from "./output.js";

const PRIVATE_MODE = 0o600;
const AUTHORITY_CERTIFICATE = "authority.pem";
const AUTHORITY_KEY = "authority-key.pem";

/** Makes a private authority, unless the folder holds one, and a key pair for each host. */
export async function makeKeys(
    folder: string,
    hosts: readonly string[],
    validDays: number,
    output: Output,
): Promise<ExitCode> {
    try {
        await mkdir(folder, { recursive: true });
        const authority = await readAuthority(folder) ?? await writeAuthority(folder, validDays);
        for (const host of hosts) {
            const keys = await issueHostKeys(authority, host, Date.now(), validDays);
            await writeFile(join(folder, `${host}.pem`), keys.certificate);
            await writeFile(join(folder, `${host}-key.pem`), keys.key, { mode: PRIVATE_MODE });
            output.out(`${host}: ${join(folder, `${host}.pem`)}`);
        }
        return ExitCode.Done;
    }
    catch (error) {
        output.error(`medlarledge: ${folder}: ${error instanceof Error ? error.message : String(error)}`);
        return ExitCode.Failed;
    }
}

async function readAuthority(folder: string): Promise<KeyPair | undefined> {
    try {
        return {
            certificate: await readFile(join(folder, AUTHORITY_CERTIFICATE), "utf8"),
            key: await readFile(join(folder, AUTHORITY_KEY), "utf8"),
        };
    }
    catch {
        return undefined;
    }
}

async function writeAuthority(folder: string, validDays: number): Promise<KeyPair> {
    const authority = await createAuthority(Date.now(), validDays);
    await writeFile(join(folder, AUTHORITY_CERTIFICATE), authority.certificate);
    await writeFile(join(folder, AUTHORITY_KEY), authority.key, { mode: PRIVATE_MODE });
    return authority;
}
