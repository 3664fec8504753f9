import type { Floor } from "@medlarledge/protocol";
import { parameterStatus } from "./messages.js";
import type { SessionState, TokenCodec } from "./ports.js";
import type { ResponseBuffer } from "./response-buffer.js";

/** Sends one caller its read floor as a token whenever the floor changed since the last report. */
export class FloorReporter {
    readonly #database: string;
    readonly #session: SessionState;
    readonly #tokens: TokenCodec;
    #reported: Floor | undefined;

    constructor(database: string, session: SessionState, tokens: TokenCodec) {
        this.#database = database;
        this.#session = session;
        this.#tokens = tokens;
    }

    push(response: ResponseBuffer): void {
        const floor = this.#session.floor();
        if (floor !== undefined && floor !== this.#reported) {
            this.#reported = floor;
            response.push(parameterStatus("medlarledge.session", this.#tokens.encode(this.#database, floor)));
        }
    }
}
