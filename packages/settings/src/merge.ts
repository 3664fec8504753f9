import type { ConfigurationFile } from "@medlarledge/protocol";
import type { z } from "zod";
import { type Configuration, configurationSchema } from "./configuration.js";
import { Document, type ValuePath } from "./document.js";
import type { Finding } from "./finding.js";
import { checkReferences } from "./references.js";

/** The file that the value of each path came from; the key is the path joined by dots. */
export type Origins = ReadonlyMap<string, string>;

export type Merged =
    | { readonly ok: true; readonly configuration: Configuration; readonly origins: Origins; }
    | { readonly ok: false; readonly findings: readonly Finding[]; };

/** Merges the files of a folder in the order of their names and checks the result. */
export function mergeFolder(files: readonly ConfigurationFile[]): Merged {
    const ordered = [...files].sort((left, right) => (left.name < right.name ? -1 : 1));
    const documents = ordered.map(file => new Document(file.name, file.text));
    const syntax = documents.flatMap(document => document.findings());
    if (syntax.length > 0) {
        return { ok: false, findings: syntax };
    }
    const origins = new Map<string, string>();
    const merged = emptyObject();
    for (const document of documents) {
        mergeInto(merged, document.value(), document.file, [], origins);
    }
    return checkMerged(merged, documents, origins);
}

function checkMerged(merged: unknown, documents: readonly Document[], origins: Origins): Merged {
    const parsed = configurationSchema.safeParse(merged);
    if (!parsed.success) {
        return { ok: false, findings: parsed.error.issues.flatMap(issue => findingsOf(issue, documents)) };
    }
    const findings = checkReferences(parsed.data, (path, text) => locate(documents, path, text));
    if (findings.length > 0) {
        return { ok: false, findings };
    }
    return { ok: true, configuration: parsed.data, origins };
}

/**
 * Objects merge by key; any other value, arrays among them, replaces the former one. `target` is changed in place:
 * a copy for each file made the time of a folder grow with the square of the number of its files.
 */
function mergeInto(
    target: Record<string, unknown>,
    next: Record<string, unknown>,
    file: string,
    path: readonly string[],
    origins: Map<string, string>,
): void {
    for (const [key, value] of Object.entries(next)) {
        const keyPath = [...path, key];
        if (isObject(value)) {
            const former = target[key];
            // Objects in the target were made here, so no document's own value is changed.
            const child = isObject(former) ? former : emptyObject();
            target[key] = child;
            mergeInto(child, value, file, keyPath, origins);
        }
        else {
            target[key] = value;
            origins.set(keyPath.join("."), file);
        }
    }
}

function emptyObject(): Record<string, unknown> {
    return Object.create(null) as Record<string, unknown>;
}

function findingsOf(issue: z.core.$ZodIssue, documents: readonly Document[]): readonly Finding[] {
    const path = issue.path.filter(part => typeof part !== "symbol");
    if (issue.code === "unrecognized_keys") {
        return issue.keys.map(key => locateKey(documents, [...path, key], `unknown key "${key}"`));
    }
    if (issue.code === "invalid_key") {
        return [locateKey(documents, path, `"${String(path.at(-1))}" ${issue.issues[0]?.message ?? issue.message}`)];
    }
    const name = path.length === 0 ? "" : `${path.join(".")}: `;
    return [locate(documents, path, `${name}${issue.message}`)];
}

/** Points at the last file that holds the value, since that one decides. */
function locate(documents: readonly Document[], path: ValuePath, text: string): Finding {
    const document = holder(documents, path);
    return document === undefined ? { file: "", line: 1, column: 1, text } : document.findingAt(path, text);
}

function locateKey(documents: readonly Document[], path: ValuePath, text: string): Finding {
    const document = holder(documents, path);
    return document === undefined ? { file: "", line: 1, column: 1, text } : document.findingAtKey(path, text);
}

function holder(documents: readonly Document[], path: ValuePath): Document | undefined {
    for (let length = path.length; length >= 0; length--) {
        const found = documents.findLast(document => document.has(path.slice(0, length)));
        if (found !== undefined) {
            return found;
        }
    }
    return documents.at(-1);
}

function isObject(value: unknown): value is Record<string, unknown> {
    return typeof value === "object" && value !== null && !Array.isArray(value);
}
