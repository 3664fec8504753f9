import { readFileSync } from "node:fs";
import type { Socket } from "node:net";
import { createSecureContext, type PeerCertificate, type SecureContext, TLSSocket } from "node:tls";

/** Paths of the TLS files of a process, in PEM: its certificate, its private key and the certificate authority. */
export interface IdentityFiles {
    readonly certificate: string;
    readonly key: string;
    readonly authority: string;
}

/** Contents of the identity files, read together. */
export interface IdentityMaterial {
    readonly cert: Buffer;
    readonly key: Buffer;
    readonly ca: Buffer;
}

export type IdentityReadResult =
    | { readonly ok: true; readonly material: IdentityMaterial; readonly context: SecureContext; }
    | { readonly ok: false; readonly reason: string; };

/** Reads the identity files and checks that the key matches the certificate. */
export function readIdentity(files: IdentityFiles): IdentityReadResult {
    try {
        const material = {
            cert: readFileSync(files.certificate),
            key: readFileSync(files.key),
            ca: readFileSync(files.authority),
        };
        return { ok: true, material, context: createSecureContext(material) };
    }
    catch (error) {
        return { ok: false, reason: error instanceof Error ? error.message : String(error) };
    }
}

/** Returns the host id in the certificate of a peer; undefined without a verified certificate. */
export function certifiedHostId(socket: Socket): string | undefined {
    if (!(socket instanceof TLSSocket) || !socket.authorized) {
        return undefined;
    }
    return commonName(socket.getPeerCertificate());
}

/** Returns the common name of a certificate; undefined if it has none or several. */
export function commonName(certificate: PeerCertificate): string | undefined {
    const name: unknown = (certificate as Partial<PeerCertificate>).subject?.CN;
    return typeof name === "string" ? name : undefined;
}
