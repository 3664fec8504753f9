export { Agreement } from "./agreement.js";
export type { AppendFile, FileSystem } from "./file-system.js";
export { nodeFileSystem } from "./file-system.js";
export { initialState } from "./initial-state.js";
export { mergeBatches } from "./merge-batches.js";
export { describeStoreError, type StoreError } from "./store-error.js";
export { AgreementStore, type OpenedStore } from "./store.js";
export type * from "./types.js";
