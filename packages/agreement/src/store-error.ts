/** Why the store cannot be opened or written. Each one stops the host; no later write is tried after it. */
export type StoreError =
    /** A checksum or a length is wrong in data that was durable. */
    | { readonly kind: "corrupted"; readonly file: string; readonly offset: number; readonly reason: string; }
    /** The snapshot that the state file names is incomplete or damaged, and the log before it is gone. */
    | { readonly kind: "corruptedSnapshot"; readonly file: string; readonly reason: string; }
    | { readonly kind: "missingFile"; readonly file: string; }
    | { readonly kind: "diskFull"; readonly operation: string; readonly file: string; }
    /** What the disk holds is unknown after a failed sync, also when a later sync succeeds. */
    | { readonly kind: "syncFailed"; readonly file: string; readonly code: string; }
    | { readonly kind: "failed"; readonly operation: string; readonly file: string; readonly code: string; }
    /** The store was asked to save what does not continue its log. */
    | { readonly kind: "notContiguous"; readonly index: number; readonly lastIndex: number; }
    /** The folder belongs to a member already. */
    | { readonly kind: "alreadyInitialized"; readonly memberId: string; }
    | { readonly kind: "notInitialized"; }
    /** Refused because of an earlier error, or because the store is closed. */
    | { readonly kind: "stopped"; readonly cause: StoreError | undefined; };

/** Renders an error as one line for the log. */
export function describeStoreError(error: StoreError): string {
    const { kind, ...fields } = error;
    return `agreement store: ${kind} ${JSON.stringify(fields)}`;
}

/** Carries a StoreError through the code of the store, which returns it as a value at its edges. */
export class StoreFailure extends Error {
    readonly error: StoreError;

    constructor(error: StoreError) {
        super(describeStoreError(error));
        this.error = error;
    }
}

/** Runs a file operation and turns what it throws into a StoreFailure. */
export async function attempt<T>(operation: string, file: string, run: () => Promise<T>): Promise<T> {
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

/** Returns a StoreFailure's error as a value; other exceptions are faults of the program and pass. */
export async function asValue(run: () => Promise<void>): Promise<StoreError | undefined> {
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
