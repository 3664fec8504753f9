import { type Customer, digestKey, type KeyDigest } from "@medlarledge/customers";
import type { Route, Routing } from "./route.js";

/** For whom a request runs. */
export type Identification =
    /** The deployment has no customers, or the route is public. */
    | { readonly kind: "anonymous"; }
    | { readonly kind: "customer"; readonly customer: Customer; }
    /** The key is missing, unknown or revoked. */
    | { readonly kind: "notAuthorized"; };

const ANONYMOUS: Identification = { kind: "anonymous" };
const NOT_AUTHORIZED: Identification = { kind: "notAuthorized" };

/** Identifies one caller by its key. Only a digest of the key is kept. */
export class CallerIdentity {
    readonly #digest: KeyDigest | undefined;

    constructor(key: string | undefined) {
        this.#digest = key === undefined ? undefined : digestKey(key);
    }

    /** Identifies the caller for a request on a route, by the configuration in force. */
    identify({ isPublic }: Route, { customers }: Routing): Identification {
        if (customers === undefined || isPublic) {
            return ANONYMOUS;
        }
        const customer = this.#digest === undefined ? undefined : customers.ownerOf(this.#digest);
        return customer === undefined ? NOT_AUTHORIZED : { kind: "customer", customer };
    }
}

/** The identified customer; undefined for an anonymous caller. */
export function customerOf(identification: Identification): Customer | undefined {
    return identification.kind === "customer" ? identification.customer : undefined;
}
