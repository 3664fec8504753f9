import { createHash } from "node:crypto";
import type { Customer } from "./customer.js";

/** Digest of a key. Keys are looked up by digest, so that the time of a look-up tells nothing about other keys. */
export type KeyDigest = string;

/** Returns the digest of a key. */
export function digestKey(key: string): KeyDigest {
    return createHash("sha256").update(key).digest("base64");
}

export interface CustomerKeys {
    readonly customer: Customer;
    readonly keys: readonly string[];
}

/** The customers of one configuration, by name and by key. */
export class CustomerDirectory {
    readonly #byDigest = new Map<KeyDigest, Customer>();
    readonly #byName = new Map<string, Customer>();

    constructor(entries: readonly CustomerKeys[]) {
        for (const { customer, keys } of entries) {
            this.#byName.set(customer.name, customer);
            for (const key of keys) {
                this.#byDigest.set(digestKey(key), customer);
            }
        }
    }

    /** Number of customers. */
    get size(): number {
        return this.#byName.size;
    }

    /** The customer that owns a key; undefined for an unknown or revoked key. */
    ownerOf(digest: KeyDigest): Customer | undefined {
        return this.#byDigest.get(digest);
    }

    customer(name: string): Customer | undefined {
        return this.#byName.get(name);
    }

    customers(): IterableIterator<Customer> {
        return this.#byName.values();
    }
}

/** Returns the pairs of customers that share a key, as findings for the operator. */
export function findSharedKeys(entries: readonly CustomerKeys[]): readonly string[] {
    const owners = new Map<string, string>();
    const findings: string[] = [];
    for (const { customer, keys } of entries) {
        for (const key of keys) {
            const owner = owners.get(key);
            if (owner !== undefined && owner !== customer.name) {
                findings.push(`customers ${owner} and ${customer.name} share a key`);
            }
            owners.set(key, customer.name);
        }
    }
    return findings;
}
