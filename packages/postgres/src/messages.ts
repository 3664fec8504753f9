import * as builders from "./message-builders.js";
import * as readers from "./message-readers.js";

/** Builders and readers of PostgreSQL protocol messages. */
export const messages = { ...builders, ...readers } as const;
