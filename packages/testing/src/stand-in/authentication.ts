import { messages } from "@medlarledge/postgres";
import { createHash, createHmac, pbkdf2Sync, randomBytes } from "node:crypto";

/** How callers of the stand-in prove their password; one password for all users. */
export interface PasswordSettings {
    readonly method: "password" | "md5" | "scram";
    readonly password: string;
}

/** Next message to send, or the outcome. */
export type AuthenticationStep = { readonly send: Buffer; } | { readonly accepted: boolean; readonly send?: Buffer; };

const CLEAR_TEXT = 3;
const MD5 = 5;
const SASL = 10;
const SASL_CONTINUE = 11;
const SASL_FINAL = 12;
const ITERATIONS = 4_096;

/** The server's side of one password exchange. */
export class PasswordExchange {
    readonly #settings: PasswordSettings;
    readonly #user: string;
    readonly #salt: Buffer;
    #firstBare = "";
    #serverFirst = "";

    constructor(settings: PasswordSettings, user: string) {
        this.#settings = settings;
        this.#user = user;
        this.#salt = randomBytes(settings.method === "md5" ? 4 : 16);
    }

    first(): Buffer {
        switch (this.#settings.method) {
            case "password":
                return messages.authentication(CLEAR_TEXT);
            case "md5":
                return messages.authentication(MD5, this.#salt);
            case "scram":
                return messages.authentication(SASL, Buffer.from("SCRAM-SHA-256\0\0"));
        }
    }

    /** Takes the body of a Password message. */
    answer(body: Buffer): AuthenticationStep {
        const { method, password } = this.#settings;
        if (method === "scram") {
            return this.#serverFirst === "" ? this.#scramFirst(body) : this.#scramFinal(body.toString("utf8"));
        }
        const inner = createHash("md5").update(password + this.#user).digest("hex");
        const hash = createHash("md5").update(inner).update(this.#salt).digest("hex");
        return { accepted: body.toString("utf8", 0, body.length - 1) === (method === "md5" ? `md5${hash}` : password) };
    }

    #scramFirst(body: Buffer): AuthenticationStep {
        this.#firstBare = body.toString("utf8", body.indexOf(0) + 5).replace(/^[ny],,/, "");
        const nonce = /r=([^,]*)/.exec(this.#firstBare)?.[1] ?? "";
        this.#serverFirst = `r=${nonce}${randomBytes(18).toString("base64")},s=${
            this.#salt.toString("base64")
        },i=${ITERATIONS}`;
        return { send: messages.authentication(SASL_CONTINUE, Buffer.from(this.#serverFirst)) };
    }

    #scramFinal(text: string): AuthenticationStep {
        const [, withoutProof = "", proof = ""] = /^(.*),p=(.*)$/.exec(text) ?? [];
        const salted = pbkdf2Sync(this.#settings.password, this.#salt, ITERATIONS, 32, "sha256");
        const clientKey = hmac(salted, "Client Key");
        const storedKey = createHash("sha256").update(clientKey).digest();
        const message = `${this.#firstBare},${this.#serverFirst},${withoutProof}`;
        const signature = hmac(storedKey, message);
        const expected = Buffer.from(clientKey.map((byte, index) => byte ^ (signature[index] ?? 0)));
        if (!expected.equals(Buffer.from(proof, "base64"))) {
            return { accepted: false };
        }
        const serverSignature = hmac(hmac(salted, "Server Key"), message).toString("base64");
        return { accepted: true, send: messages.authentication(SASL_FINAL, Buffer.from(`v=${serverSignature}`)) };
    }
}

function hmac(key: Buffer, text: string): Buffer {
    return createHmac("sha256", key).update(text).digest();
}
