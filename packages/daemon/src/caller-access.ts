import type { Configuration } from "@medlarledge/settings";
import { createHash, timingSafeEqual } from "node:crypto";

/** Password entry that accepts a user without one; allowed for trials on loopback. */
const TRUST = "trust";

/** Checks a caller's user and password against the configuration in force. */
export function mayLogIn(configuration: Configuration | undefined, user: string, password: string): boolean {
    const entry = configuration?.users[user];
    if (entry === undefined) {
        return false;
    }
    if (entry.password === TRUST) {
        return true;
    }
    const given = createHash("sha256").update(password).digest();
    const expected = Buffer.from(entry.password, "hex");
    return given.byteLength === expected.byteLength && timingSafeEqual(given, expected);
}

/** Checks that a user may use a database. A user without a list may use all. */
export function mayUse(configuration: Configuration | undefined, user: string, database: string): boolean {
    const entry = configuration?.users[user];
    return entry !== undefined && (entry.databases?.includes(database) ?? true);
}
