import type { AppendFile, FileSystem } from "../src/index.js";

interface Content {
    bytes: Buffer;
    synced: number;
}

/** Creates an error like those of node:fs. */
export function fileError(code: string): Error {
    return Object.assign(new Error(code), { code });
}

/**
 * In-memory file system that loses unsynced changes on a crash: bytes as well as created, renamed and removed names.
 * `fault` is called before each operation and can throw an error.
 */
export class MemoryFiles implements FileSystem {
    fault: (operation: string, path: string) => void = () => undefined;
    readonly operations: string[] = [];
    #names = new Map<string, Content>();
    #syncedNames = new Map<string, Content>();

    /** Simulates a power loss. The first `kept` unsynced bytes of each file survive. */
    crash(kept = 0): void {
        this.#names = new Map(this.#syncedNames);
        for (const content of this.#names.values()) {
            content.bytes = content.bytes.subarray(0, content.synced + kept);
            content.synced = content.bytes.byteLength;
        }
    }

    names(): readonly string[] {
        return [...this.#names.keys()].map(path => path.slice(path.lastIndexOf("/") + 1)).sort();
    }

    /** Changes the content of a file, like a disk fault. */
    corrupt(name: string, change: (bytes: Buffer) => Buffer): void {
        const path = [...this.#names.keys()].find(path => path.endsWith(`/${name}`)) ?? name;
        const bytes = change(Buffer.from(this.#content(path).bytes));
        this.#names.set(path, { bytes, synced: bytes.byteLength });
        this.#syncedNames = new Map(this.#names);
    }

    async makeFolder(folder: string): Promise<void> {
        this.#start("makeFolder", folder);
    }

    async list(folder: string): Promise<readonly string[]> {
        this.#start("list", folder);
        return this.names();
    }

    async read(path: string): Promise<Uint8Array> {
        this.#start("read", path);
        return this.#content(path).bytes;
    }

    async append(path: string): Promise<AppendFile> {
        this.#start("append", path);
        const content = this.#names.get(path) ?? { bytes: Buffer.alloc(0), synced: 0 };
        this.#names.set(path, content);
        return {
            write: async bytes => {
                this.#start("write", path);
                content.bytes = Buffer.concat([content.bytes, bytes]);
            },
            sync: async () => {
                this.#start("sync", path);
                content.synced = content.bytes.byteLength;
            },
            close: async () => undefined,
        };
    }

    async truncate(path: string, bytes: number): Promise<void> {
        this.#start("truncate", path);
        const content = this.#content(path);
        content.bytes = content.bytes.subarray(0, bytes);
        content.synced = Math.min(content.synced, bytes);
    }

    async rename(from: string, to: string): Promise<void> {
        this.#start("rename", to);
        this.#names.set(to, this.#content(from));
        this.#names.delete(from);
    }

    async remove(path: string): Promise<void> {
        this.#start("remove", path);
        this.#names.delete(path);
    }

    async syncFolder(folder: string): Promise<void> {
        this.#start("syncFolder", folder);
        this.#syncedNames = new Map(this.#names);
    }

    #start(operation: string, path: string): void {
        this.operations.push(operation);
        this.fault(operation, path);
    }

    #content(path: string): Content {
        const content = this.#names.get(path);
        if (content === undefined) {
            throw fileError("ENOENT");
        }
        return content;
    }
}
