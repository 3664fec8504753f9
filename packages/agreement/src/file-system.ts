import { mkdir, open, readdir, readFile, rename, rm, truncate } from "node:fs/promises";

/** A file that is open for appending. */
export interface AppendFile {
    /** Appends all bytes. */
    write(bytes: Uint8Array): Promise<void>;
    /** Resolves when all written bytes are durable (fsync). */
    sync(): Promise<void>;
    close(): Promise<void>;
}

/** File operations used by the store. Failures are thrown as errors of Node with their `code`. */
export interface FileSystem {
    makeFolder(folder: string): Promise<void>;
    /** Returns the names of the files in a folder. */
    list(folder: string): Promise<readonly string[]>;
    read(path: string): Promise<Uint8Array>;
    /** Opens a file for appending, and creates it if it does not exist. */
    append(path: string): Promise<AppendFile>;
    truncate(path: string, bytes: number): Promise<void>;
    rename(from: string, to: string): Promise<void>;
    /** Removes a file if it exists. */
    remove(path: string): Promise<void>;
    /** Makes the creation, renaming and removal of files in a folder durable (fsync of the folder). */
    syncFolder(folder: string): Promise<void>;
}

async function append(path: string): Promise<AppendFile> {
    const handle = await open(path, "a");
    return {
        write: bytes => handle.appendFile(bytes),
        sync: () => handle.sync(),
        close: () => handle.close(),
    };
}

async function syncFolder(folder: string): Promise<void> {
    const handle = await open(folder, "r");
    try {
        await handle.sync();
    }
    finally {
        await handle.close();
    }
}

/** The file system of the operating system. */
export const nodeFileSystem: FileSystem = {
    makeFolder: async folder => {
        await mkdir(folder, { recursive: true });
    },
    list: folder => readdir(folder),
    read: path => readFile(path),
    append,
    truncate,
    rename,
    remove: path => rm(path, { force: true }),
    syncFolder,
};
