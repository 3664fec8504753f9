export { EndpointDirectory, type MergeResult } from "./endpoint-directory.js";
