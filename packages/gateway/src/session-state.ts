import { ErrorCode, type OrderedStatement, type Statement } from "@medlarledge/statements";

interface PreparedStatement {
    readonly writes: boolean;
    readonly shape: string;
}

/** A statement that runs on an endpoint, as a caller sent it. */
export type RunnableStatement = Extract<Statement, { kind: "read" | "write" | "execute"; }>;

/** What one caller's session has set and prepared. Connections are brought to it before they run its statements. */
export class SessionState {
    readonly #values = new Map<string, string>();
    readonly #prepared = new Map<string, PreparedStatement>();

    get values(): readonly (readonly [string, string])[] {
        return [...this.#values];
    }

    /** Takes over a statement on the session itself. Returns the code of a refusal. */
    apply(statement: Extract<Statement, { kind: "set" | "prepare" | "deallocate"; }>): ErrorCode | undefined {
        switch (statement.kind) {
            case "set":
                this.#values.set(statement.name, statement.value);
                return undefined;
            case "prepare":
                this.#prepared.set(statement.name, { writes: statement.writes, shape: statement.shape });
                return undefined;
            case "deallocate":
                return this.#prepared.delete(statement.name) ? undefined : ErrorCode.UnknownStatement;
        }
    }

    /** Resolves names of prepared statements; undefined for an unknown one. */
    resolve(statement: RunnableStatement): OrderedStatement | undefined {
        if (statement.kind !== "execute") {
            return statement;
        }
        const prepared = this.#prepared.get(statement.name);
        return prepared === undefined
            ? undefined
            : { kind: "execute", ...prepared, parameters: statement.parameters };
    }
}

/** True when the statement may change data. */
export function isWrite(statement: OrderedStatement): boolean {
    return statement.kind === "write" || (statement.kind === "execute" && statement.writes);
}
