import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

/** A source file by its path from the root of the repository. */
export interface SourceFile {
    readonly path: string;
    readonly text: string;
}

/** Reads the sources of the program; the code that only tests use is left out. */
export function readSources(root: string): readonly SourceFile[] {
    const packages = readdirSync(join(root, "packages")).filter(name => name !== "testing").sort();
    return packages.flatMap(name => {
        const folder = join("packages", name, "src");
        const files = readdirSync(join(root, folder), { recursive: true, encoding: "utf8" });
        return files.filter(file => file.endsWith(".ts")).sort().map(file => {
            const path = join(folder, file);
            return { path, text: readFileSync(join(root, path), "utf8") };
        });
    });
}

/** The sources of one package. */
export function ofPackage(sources: readonly SourceFile[], name: string): readonly SourceFile[] {
    return sources.filter(({ path }) => path.startsWith(join("packages", name, "src")));
}

/** Tells whether a name in quotes stands in a source other than its table. */
export function isUsed(name: string, sources: readonly SourceFile[], table: string): boolean {
    return sources.some(({ path, text }) => !path.endsWith(table) && text.includes(`"${name}"`));
}
