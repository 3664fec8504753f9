/** The part used of pg's SCRAM-SHA-256 client, which has no published types. */
declare module "pg/lib/crypto/sasl.js" {
    export interface SaslSession {
        readonly mechanism: string;
        /** Text to send next. */
        readonly response: string;
    }
    export function startSession(mechanisms: readonly string[]): SaslSession;
    export function continueSession(session: SaslSession, password: string, serverData: string): Promise<void>;
    export function finalizeSession(session: SaslSession, serverData: string): void;
}
