/** Reason why the store cannot be opened or written. Each one stops the host; no write is attempted after it. */
export type StoreError =
    /** A checksum or a length is wrong in data that had been synced. */
    | { readonly kind: "corrupted"; readonly file: string; readonly offset: number; readonly reason: string; }
    /** The snapshot that the state file names is incomplete or damaged, and the log before it is gone. */
    | { readonly kind: "corruptedSnapshot"; readonly file: string; readonly reason: string; }
    | { readonly kind: "missingFile"; readonly file: string; }
    | { readonly kind: "diskFull"; readonly operation: string; readonly file: string; }
    /** After a failed sync the content of the disk is unknown, even if a later sync succeeds. */
    | { readonly kind: "syncFailed"; readonly file: string; readonly code: string; }
    | { readonly kind: "failed"; readonly operation: string; readonly file: string; readonly code: string; }
    /** The entries of a batch do not follow the end of the log. */
    | { readonly kind: "notContiguous"; readonly index: number; readonly lastIndex: number; }
    /** The folder is already initialized, for the member `memberId`. */
    | { readonly kind: "alreadyInitialized"; readonly memberId: string; }
    | { readonly kind: "notInitialized"; }
    /** The call was refused because of an earlier error (`cause`), or because the store is closed. */
    | { readonly kind: "stopped"; readonly cause: StoreError | undefined; };

/**
 * Returns true for an error of the disk or its file system, after which the stored data can be opened again later. Other
 * errors mean that the data itself is wrong.
 */
export function isDiskError({ kind }: StoreError): boolean {
    return kind === "diskFull" || kind === "syncFailed" || kind === "failed";
}

/** Formats an error as one line of text for the log. */
export function describeStoreError(error: StoreError): string {
    const { kind, ...fields } = error;
    return `agreement store: ${kind} ${JSON.stringify(fields)}`;
}

/** Exception that carries a StoreError inside the store; its public methods return the StoreError as a value. */
export class StoreFailure extends Error {
    readonly error: StoreError;

    constructor(error: StoreError) {
        super(describeStoreError(error));
        this.error = error;
    }
}

/** Runs a file operation and wraps an error that it throws in a StoreFailure. */
export async function wrapErrors<T>(operation: string, file: string, run: () => Promise<T>): Promise<T> {
    try {
        return await run();
    }
    catch (error) {
        throw new StoreFailure(toStoreError(operation, file, error));
    }
}

function toStoreError(operation: string, file: string, error: unknown): StoreError {
    const code = error instanceof Error && "code" in error ? String(error.code) : "unknown";
    if (operation === "sync") {
        return { kind: "syncFailed", file, code };
    }
    if (code === "ENOSPC" || code === "EDQUOT") {
        return { kind: "diskFull", operation, file };
    }
    return code === "ENOENT" ? { kind: "missingFile", file } : { kind: "failed", operation, file, code };
}

/** Returns the error of a StoreFailure as a value. Other exceptions are bugs and are thrown on. */
export async function catchStoreFailure(run: () => Promise<void>): Promise<StoreError | undefined> {
    try {
        await run();
        return undefined;
    }
    catch (error) {
        if (error instanceof StoreFailure) {
            return error.error;
        }
        throw error;
    }
}
