import { FromCaller } from "./message-type.js";
import { bindComplete, closeComplete, noData, noParameters, parseComplete } from "./messages.js";
import type { Request } from "./request-assembler.js";

const STATEMENT_TARGET = 0x53;
const HEADER_BYTES = 5;

/** The result of a statement that the proxy handles without an endpoint. */
export interface LocalResult {
    /** RowDescription, if it returns rows. */
    readonly columns: Uint8Array | undefined;
    /** Rows and CommandComplete, or an ErrorResponse. */
    readonly result: readonly Uint8Array[];
    readonly failed: boolean;
}

/** Builds the messages that the caller expects for this request, without ReadyForQuery. */
export function localResponse(request: Request, local: LocalResult): Uint8Array {
    if (request.simple) {
        return Buffer.concat(local.columns === undefined ? local.result : [local.columns, ...local.result]);
    }
    const out: Uint8Array[] = [];
    for (const frame of request.frames) {
        switch (frame.type) {
            case FromCaller.Parse:
                out.push(parseComplete());
                break;
            case FromCaller.Bind:
                out.push(bindComplete());
                break;
            case FromCaller.Close:
                out.push(closeComplete());
                break;
            case FromCaller.Describe:
                if (frame.bytes[HEADER_BYTES] === STATEMENT_TARGET) {
                    out.push(noParameters());
                }
                out.push(local.columns ?? noData());
                break;
            case FromCaller.Execute:
                out.push(...local.result);
                if (local.failed) {
                    return Buffer.concat(out);
                }
                break;
            default:
                break;
        }
    }
    return Buffer.concat(out);
}
