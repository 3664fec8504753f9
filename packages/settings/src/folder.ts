import type { ConfigurationFile } from "@medlarledge/protocol";
import { createHash } from "node:crypto";
import { readdir, readFile } from "node:fs/promises";
import { join } from "node:path";
import type { Finding } from "./finding.js";

const SETTINGS_FILE = /\.jsonc?$/;

/** Largest folder accepted, in characters over all files; a change travels to every host in one message. */
const MAX_FOLDER_CHARACTERS = 4 * 1024 * 1024;

export type FolderRead =
    | { readonly ok: true; readonly files: readonly ConfigurationFile[]; }
    | { readonly ok: false; readonly findings: readonly Finding[]; };

/** Reads the settings files of a folder in the order of their names. Hidden files and other endings are left out. */
export async function readFolder(folder: string): Promise<FolderRead> {
    const files: ConfigurationFile[] = [];
    let characters = 0;
    try {
        const names = (await readdir(folder)).filter(name => SETTINGS_FILE.test(name) && !name.startsWith("."));
        for (const name of names.sort()) {
            const text = await readFile(join(folder, name), "utf8");
            characters += text.length;
            files.push({ name, text });
        }
    }
    catch (error) {
        return failure(folder, `cannot be read: ${error instanceof Error ? error.message : String(error)}`);
    }
    if (files.length === 0) {
        return failure(folder, "holds no file that ends in .json or .jsonc");
    }
    if (characters > MAX_FOLDER_CHARACTERS) {
        return failure(folder, `holds ${characters} characters; at most ${MAX_FOLDER_CHARACTERS} are accepted`);
    }
    return { ok: true, files };
}

/** SHA-256 over the names and texts, with lengths so that moving text between files changes it. */
export function digestOf(files: readonly ConfigurationFile[]): string {
    const hash = createHash("sha256");
    for (const file of files) {
        hash.update(`${file.name.length}:${file.name}:${file.text.length}:`);
        hash.update(file.text);
    }
    return hash.digest("hex");
}

function failure(folder: string, text: string): FolderRead {
    return { ok: false, findings: [{ file: folder, line: 1, column: 1, text }] };
}
