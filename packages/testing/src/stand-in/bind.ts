import { type Frame, HEADER_BYTES } from "@medlarledge/postgres";
import type { Parameters } from "./executor.js";

/** Reads the parameters of a well-formed Bind message; binary ones are taken as UTF-8 text. */
export function readBind({ bytes }: Frame): Parameters {
    const names = bytes.indexOf(0, bytes.indexOf(0, HEADER_BYTES) + 1) + 1;
    let offset = names + 2 + bytes.readUInt16BE(names) * 2;
    const parameters: (string | undefined)[] = [];
    const count = bytes.readUInt16BE(offset);
    offset += 2;
    for (let index = 0; index < count; index++) {
        const length = bytes.readInt32BE(offset);
        const end = offset + 4 + Math.max(0, length);
        parameters.push(length < 0 ? undefined : bytes.toString("utf8", offset + 4, end));
        offset = end;
    }
    return parameters;
}
