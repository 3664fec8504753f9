import { readFileSync } from "node:fs";
import type { Socket } from "node:net";
import { createSecureContext, type PeerCertificate, type SecureContext, TLSSocket } from "node:tls";

/** Files of one process's identity. */
export interface IdentityFiles {
    readonly certificate: string;
    readonly key: string;
    readonly authority: string;
}

/** The contents of the identity files at one time. */
export interface IdentityMaterial {
    readonly cert: Buffer;
    readonly key: Buffer;
    readonly ca: Buffer;
}

export type IdentityRead =
    | { readonly ok: true; readonly material: IdentityMaterial; readonly context: SecureContext; }
    | { readonly ok: false; readonly reason: string; };

/** Reads the identity files and checks that they fit together. */
export function readIdentity(files: IdentityFiles): IdentityRead {
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

/** The host id that a peer's certificate was issued for; undefined without a verified certificate. */
export function certifiedHost(socket: Socket): string | undefined {
    if (!(socket instanceof TLSSocket) || !socket.authorized) {
        return undefined;
    }
    return commonName(socket.getPeerCertificate());
}

/** The common name of a certificate; a certificate with several is not accepted. */
export function commonName(certificate: PeerCertificate): string | undefined {
    const name: unknown = (certificate as Partial<PeerCertificate>).subject?.CN;
    return typeof name === "string" ? name : undefined;
}
