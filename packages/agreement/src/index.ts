export { ConsensusMember } from "./consensus-member.js";
export { ConsensusStore, type OpenedStore } from "./consensus-store.js";
export type { AppendFile, FileSystem } from "./file-system.js";
export { nodeFileSystem } from "./file-system.js";
export { initialState } from "./initial-state.js";
export { mergeBatches } from "./merge-batches.js";
export { describeStoreError, isDiskError, type StoreError } from "./store-error.js";
export type * from "./types.js";
