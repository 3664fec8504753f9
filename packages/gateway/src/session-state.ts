import { ErrorCode, type OrderedStatement, type Statement } from "@medlarledge/statements";

interface PreparedStatement {
    readonly writes: boolean;
    readonly shape: string;
}

/** A statement as sent by a caller, if it runs on an endpoint. */
export type RunnableStatement = Extract<Statement, { kind: "read" | "write" | "execute"; }>;

/** Session values and prepared statements of one caller. Connections are set up with them before they run its statements. */
export class SessionState {
    readonly #values = new Map<string, string>();
    readonly #prepared = new Map<string, PreparedStatement>();

    get values(): readonly (readonly [string, string])[] {
        return [...this.#values];
    }

    /** Applies a statement that changes the session itself. Returns an error code when it is refused. */
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

    /** Replaces the name of a prepared statement by the statement; undefined when the name is unknown. */
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

/** Returns true when the statement may change data. */
export function isWrite(statement: OrderedStatement): boolean {
    return statement.kind === "write" || (statement.kind === "execute" && statement.writes);
}
