import { findNodeAtLocation, type Node, type ParseError, parseTree, printParseErrorCode } from "jsonc-parser";
import type { Finding } from "./finding.js";

/** Path of keys and array indexes to a value in a document. */
export type ValuePath = readonly (string | number)[];

/** A parsed file of JSON with comments that knows where each value stands. */
export class Document {
    readonly file: string;
    readonly #text: string;
    readonly #root: Node | undefined;
    readonly #errors: readonly ParseError[];

    constructor(file: string, text: string) {
        const errors: ParseError[] = [];
        this.file = file;
        this.#text = text;
        this.#root = parseTree(text, errors, { allowTrailingComma: true, disallowComments: false });
        this.#errors = errors;
    }

    /** Syntax errors, duplicate keys, and anything but an object at the top. */
    findings(): readonly Finding[] {
        const syntax = this.#errors.map(error => this.#findingAt(error.offset, printParseErrorCode(error.error)));
        if (syntax.length > 0) {
            return syntax;
        }
        if (this.#root?.type !== "object") {
            return [this.#findingAt(0, "the file must hold one object")];
        }
        return this.#duplicateKeys(this.#root);
    }

    /** The value of the whole document. */
    value(): Record<string, unknown> {
        return this.#root === undefined ? {} : (plainValue(this.#root) as Record<string, unknown>);
    }

    /** A finding at the value of a path, or at its nearest parent that this document holds. */
    findingAt(path: ValuePath, text: string): Finding {
        return this.#findingAt(this.#nodeAt(path)?.offset ?? 0, text);
    }

    /** A finding at the key that a path ends in. */
    findingAtKey(path: ValuePath, text: string): Finding {
        const node = this.#root === undefined ? undefined : findNodeAtLocation(this.#root, [...path]);
        const key = node?.parent?.type === "property" ? node.parent.children?.[0] : undefined;
        return this.#findingAt((key ?? this.#nodeAt(path))?.offset ?? 0, text);
    }

    /** True when the document holds a value at exactly this path. */
    has(path: ValuePath): boolean {
        return this.#root !== undefined && findNodeAtLocation(this.#root, [...path]) !== undefined;
    }

    #nodeAt(path: ValuePath): Node | undefined {
        for (let length = path.length; length >= 0 && this.#root !== undefined; length--) {
            const node = findNodeAtLocation(this.#root, path.slice(0, length));
            if (node !== undefined) {
                return node;
            }
        }
        return this.#root;
    }

    #duplicateKeys(node: Node): readonly Finding[] {
        const findings: Finding[] = [];
        const seen = new Set<string>();
        for (const child of node.children ?? []) {
            if (child.type === "property") {
                const key = child.children?.[0];
                const name = String(key?.value);
                if (seen.has(name)) {
                    findings.push(this.#findingAt(key?.offset ?? child.offset, `the key "${name}" stands twice`));
                }
                seen.add(name);
            }
            findings.push(...this.#duplicateKeys(child));
        }
        return findings;
    }

    #findingAt(offset: number, text: string): Finding {
        const before = this.#text.slice(0, offset);
        const line = before.split("\n").length;
        const column = offset - before.lastIndexOf("\n");
        return { file: this.file, line, column, text };
    }
}

/** Builds a value without a prototype for objects, so that a key such as `__proto__` stays an ordinary key. */
function plainValue(node: Node): unknown {
    if (node.type === "array") {
        return (node.children ?? []).map(plainValue);
    }
    if (node.type !== "object") {
        return node.value;
    }
    const result = Object.create(null) as Record<string, unknown>;
    for (const property of node.children ?? []) {
        const [key, value] = property.children ?? [];
        if (key !== undefined && value !== undefined) {
            result[String(key.value)] = plainValue(value);
        }
    }
    return result;
}
