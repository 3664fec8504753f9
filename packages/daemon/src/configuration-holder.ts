import type { ConfigurationChange } from "@medlarledge/protocol";
import { ClassMatcher, type Configuration, type Finding, mergeFolder } from "@medlarledge/settings";
import { open, readFile, rename } from "node:fs/promises";
import { join } from "node:path";
import { z } from "zod";

const FILE_NAME = "configuration.json";

/** A configuration together with what is computed from it once. */
export interface ConfigurationInForce {
    readonly change: ConfigurationChange;
    readonly configuration: Configuration;
    readonly classes: ClassMatcher;
    /** Wall-clock milliseconds since which it is in force on this host. */
    readonly since: number;
}

export type ConfigurationOutcome =
    | { readonly kind: "inForce"; }
    | { readonly kind: "old"; }
    | { readonly kind: "invalid"; readonly findings: readonly Finding[]; };

/** The configuration in force on this host. It never goes back to a lower number, not even over a restart. */
export class ConfigurationHolder {
    readonly #folder: string | undefined;
    #inForce: ConfigurationInForce | undefined;
    #saving: Promise<void> = Promise.resolve();

    /** Without a data folder the configuration is kept in memory only. */
    constructor(folder: string | undefined) {
        this.#folder = folder;
    }

    get inForce(): ConfigurationInForce | undefined {
        return this.#inForce;
    }

    get number(): number {
        return this.#inForce?.change.number ?? 0;
    }

    /** Takes the configuration that was last in force before a restart. Returns a reason when the file is damaged. */
    async restore(wallClock: number): Promise<string | undefined> {
        if (this.#folder === undefined) {
            return undefined;
        }
        const text = await readFile(join(this.#folder, FILE_NAME), "utf8").catch(() => undefined);
        if (text === undefined) {
            return undefined;
        }
        const change = parseChange(text);
        if (change === undefined || this.apply(change, wallClock).kind === "invalid") {
            return `${FILE_NAME} in the data folder is damaged`;
        }
        return undefined;
    }

    /** Puts a change in force at once and saves it in the background. */
    apply(change: ConfigurationChange, wallClock: number): ConfigurationOutcome {
        if (change.number <= this.number) {
            return { kind: "old" };
        }
        const merged = mergeFolder(change.files);
        if (!merged.ok) {
            return { kind: "invalid", findings: merged.findings };
        }
        const { configuration } = merged;
        this.#inForce = { change, configuration, classes: new ClassMatcher(configuration), since: wallClock };
        this.#saving = this.#saving.then(() => this.#save(change)).catch(() => undefined);
        return { kind: "inForce" };
    }

    /** Resolves when everything applied so far is on disk. */
    saved(): Promise<void> {
        return this.#saving;
    }

    async #save(change: ConfigurationChange): Promise<void> {
        if (this.#folder !== undefined) {
            await replaceFile(this.#folder, FILE_NAME, JSON.stringify(change));
        }
    }
}

const changeSchema = z.object({
    number: z.number().int().min(1),
    digest: z.string(),
    operator: z.string(),
    files: z.array(z.object({ name: z.string(), text: z.string() })),
});

function parseChange(text: string): ConfigurationChange | undefined {
    try {
        return changeSchema.parse(JSON.parse(text));
    }
    catch {
        return undefined;
    }
}

/** Replaces a file in one step, so that a crash leaves the former or the new one. */
export async function replaceFile(folder: string, name: string, text: string): Promise<void> {
    const temporary = join(folder, `${name}.new`);
    const file = await open(temporary, "w");
    try {
        await file.writeFile(text);
        await file.sync();
    }
    finally {
        await file.close();
    }
    await rename(temporary, join(folder, name));
    const directory = await open(folder, "r");
    try {
        await directory.sync();
    }
    finally {
        await directory.close();
    }
}
