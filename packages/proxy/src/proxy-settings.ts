import type { DatabaseContext } from "./database-context.js";
import type { LocalResult } from "./local-response.js";
import { commandComplete, dataRow, errorResponse, rowDescription } from "./messages.js";
import type { ProxySettingStatement, SessionState, TokenCodec } from "./ports.js";
import { ErrorCode } from "./request-failure.js";

const TOKEN_SETTING = "medlarledge.session";

/** The `medlarledge.*` settings of one caller, which the proxy handles itself. */
export class ProxySettings {
    readonly #database: DatabaseContext;
    readonly #session: SessionState;
    readonly #tokens: TokenCodec;
    readonly #values = new Map<string, string>();

    constructor(database: DatabaseContext, session: SessionState, tokens: TokenCodec) {
        this.#database = database;
        this.#session = session;
        this.#tokens = tokens;
    }

    /** Raises the session's read floor to that of the token. Returns the reason if the token is refused. */
    acceptToken(text: string): string | undefined {
        const decoded = this.#tokens.decode(text, this.#database.name);
        if (!decoded.ok) {
            return decoded.error.kind;
        }
        this.#session.accept(decoded.floor);
        return undefined;
    }

    /** Runs SHOW, SET or RESET of one setting. */
    run(setting: ProxySettingStatement): LocalResult {
        switch (setting.action) {
            case "show":
                return {
                    columns: rowDescription(setting.name),
                    result: [dataRow(this.#show(setting.name)), commandComplete("SHOW")],
                    failed: false,
                };
            case "reset":
                this.#values.delete(setting.name);
                return { columns: undefined, result: [commandComplete("RESET")], failed: false };
            case "set":
                return this.#set(setting);
        }
    }

    #set(setting: ProxySettingStatement): LocalResult {
        const refusal = setting.name === TOKEN_SETTING ? this.acceptToken(setting.value) : undefined;
        if (refusal !== undefined) {
            const error = errorResponse(ErrorCode.TokenRefused, `session token refused: ${refusal}`);
            return { columns: undefined, result: [error], failed: true };
        }
        if (setting.name !== TOKEN_SETTING) {
            this.#values.set(setting.name, setting.value);
        }
        return { columns: undefined, result: [commandComplete("SET")], failed: false };
    }

    #show(name: string): string {
        const floor = this.#session.floor();
        if (name !== TOKEN_SETTING) {
            return this.#values.get(name) ?? "";
        }
        return floor === undefined ? "" : this.#tokens.encode(this.#database.name, floor);
    }
}
