import type { Floor } from "@medlarledge/protocol";
import type { Answer } from "./answer.js";
import { parameterStatus } from "./messages.js";
import type { SessionState, TokenCodec } from "./ports.js";

/** Tells one caller its floor, as a token, whenever it changed since the caller was last told. */
export class FloorReport {
    readonly #database: string;
    readonly #session: SessionState;
    readonly #tokens: TokenCodec;
    #reported: Floor | undefined;

    constructor(database: string, session: SessionState, tokens: TokenCodec) {
        this.#database = database;
        this.#session = session;
        this.#tokens = tokens;
    }

    push(answer: Answer): void {
        const floor = this.#session.floor();
        if (floor !== undefined && floor !== this.#reported) {
            this.#reported = floor;
            answer.push(parameterStatus("medlarledge.session", this.#tokens.encode(this.#database, floor)));
        }
    }
}
