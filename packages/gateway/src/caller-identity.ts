import { type Customer, digestKey, type KeyDigest } from "@medlarledge/customers";
import type { Route, Routing } from "./route.js";

/** For whom a request runs. */
export type Identification =
    /** The deployment has no customers, or the route is public. */
    | { readonly kind: "anonymous"; }
    | { readonly kind: "customer"; readonly customer: Customer; }
    /** The key is missing, unknown or revoked. */
    | { readonly kind: "notAuthorized"; }
    /** Keys may have been revoked without this host's knowledge, so it accepts none. */
    | { readonly kind: "unproved"; };

const ANONYMOUS: Identification = { kind: "anonymous" };
const NOT_AUTHORIZED: Identification = { kind: "notAuthorized" };
const UNPROVED: Identification = { kind: "unproved" };

/** Identifies one caller by its key. Only a digest of the key is kept. */
export class CallerIdentity {
    readonly #digest: KeyDigest | undefined;
    readonly #acceptsKeys: () => boolean;

    /** `acceptsKeys` returns whether the keys of the configuration in force may be accepted now. */
    constructor(key: string | undefined, acceptsKeys: () => boolean) {
        this.#digest = key === undefined ? undefined : digestKey(key);
        this.#acceptsKeys = acceptsKeys;
    }

    /** Identifies the caller for a request on a route, by the configuration in force. */
    identify(route: Route, routing: Routing): Identification {
        if (!needsKey(route, routing)) {
            return ANONYMOUS;
        }
        return this.#acceptsKeys() ? this.ownerOf(routing) : UNPROVED;
    }

    /** Looks the key up in a configuration, whether or not keys are accepted now. */
    ownerOf({ customers }: Routing): Identification {
        const customer = this.#digest === undefined ? undefined : customers?.ownerOf(this.#digest);
        return customer === undefined ? NOT_AUTHORIZED : { kind: "customer", customer };
    }
}

/** Returns true when requests on a route need a key. */
export function needsKey({ isPublic }: Route, { customers }: Routing): boolean {
    return customers !== undefined && !isPublic;
}

/** The identified customer; undefined for an anonymous caller. */
export function customerOf(identification: Identification): Customer | undefined {
    return identification.kind === "customer" ? identification.customer : undefined;
}
