import type { Floor } from "@medlarledge/protocol";
import { createHmac, timingSafeEqual } from "node:crypto";

/** Why a token was not accepted. */
export type TokenError =
    | { readonly kind: "malformed"; }
    | { readonly kind: "forged"; }
    | { readonly kind: "otherDatabase"; readonly database: string; };

export type DecodedToken =
    | { readonly ok: true; readonly floor: Floor; }
    | { readonly ok: false; readonly error: TokenError; };

const VERSION = "1";

// 128 bits of the 256-bit HMAC: RFC 2104 recommends at least half of the hash length.
const MAC_BYTES = 16;

// A name of 63 bytes takes at most 84 characters; the rest of a token takes at most 50.
const MAX_TOKEN_CHARACTERS = 512;

const TOKEN_PATTERN = /^1\.([A-Za-z0-9_-]*)\.([0-9a-z]{1,11})\.([0-9a-z]{1,11})\.([A-Za-z0-9_-]{22})$/;

/**
 * Signs and checks session tokens: `1.DATABASE.TERM.POSITION.CODE`, the name in base64url, the numbers in base 36.
 * The text has no character that needs quoting in SQL, a URL or a cookie.
 */
export class TokenCodec {
    readonly #keys: readonly Uint8Array[];
    /** Last token, cached: after a write, the next reads of many sessions raise their floors to the same position. */
    #last: { readonly database: string; readonly floor: Floor; readonly token: string; } | undefined;

    /** The first key signs; all keys verify, so that a key can be rotated host by host. */
    constructor(keys: readonly Uint8Array[]) {
        if (keys.length === 0) {
            throw new RangeError("a token codec needs at least one key");
        }
        this.#keys = keys;
    }

    /** Returns the signed token of a floor. */
    encode(database: string, floor: Floor): string {
        const last = this.#last;
        if (
            last?.database === database && last.floor.term === floor.term && last.floor.position === floor.position
        ) {
            return last.token;
        }
        const token = this.#sign(database, floor);
        this.#last = { database, floor: { term: floor.term, position: floor.position }, token };
        return token;
    }

    /** Verifies a token and returns its floor, or why it was not accepted. */
    decode(text: string, database: string): DecodedToken {
        const match = text.length <= MAX_TOKEN_CHARACTERS ? TOKEN_PATTERN.exec(text) : null;
        if (match === null) {
            return { ok: false, error: { kind: "malformed" } };
        }
        const [, name = "", term = "", position = "", code = ""] = match;
        if (!this.#isSigned(text.slice(0, text.lastIndexOf(".")), code)) {
            return { ok: false, error: { kind: "forged" } };
        }
        const floor = { term: parseInt(term, 36), position: parseInt(position, 36) };
        if (!Number.isSafeInteger(floor.term) || !Number.isSafeInteger(floor.position)) {
            return { ok: false, error: { kind: "malformed" } };
        }
        const tokenDatabase = Buffer.from(name, "base64url").toString("utf8");
        if (tokenDatabase !== database) {
            return { ok: false, error: { kind: "otherDatabase", database: tokenDatabase } };
        }
        return { ok: true, floor };
    }

    #sign(database: string, floor: Floor): string {
        const [key] = this.#keys as [Uint8Array];
        const name = Buffer.from(database, "utf8").toString("base64url");
        const body = `${VERSION}.${name}.${floor.term.toString(36)}.${floor.position.toString(36)}`;
        return `${body}.${sign(key, body).toString("base64url")}`;
    }

    /** Checks every key without an early exit, so that the duration does not reveal which key matched. */
    #isSigned(body: string, code: string): boolean {
        const given = Buffer.from(code, "base64url");
        let signed = false;
        for (const key of this.#keys) {
            const expected = sign(key, body);
            signed = (given.length === expected.length && timingSafeEqual(given, expected)) || signed;
        }
        return signed;
    }
}

function sign(key: Uint8Array, body: string): Buffer {
    return createHmac("sha256", key).update(body).digest().subarray(0, MAC_BYTES);
}
