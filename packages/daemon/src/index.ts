export { folderEvent } from "./folder-watch.js";
export { createAuthority, issueHostKeys, type KeyPair } from "./host-keys.js";
export { HostProcess, type StartFailure } from "./host-process.js";
export { SIGNATURE_HEADER, signBody } from "./http-server.js";
export { SlotTask } from "./slot-task.js";
export { ViewTable } from "./view-table.js";
