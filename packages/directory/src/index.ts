export { Directory, type MergeResult } from "./directory.js";
