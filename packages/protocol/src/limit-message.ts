/** One customer's tokens at the sender. */
export interface TokenNeed {
    readonly customer: string;
    /** Unspent tokens that the leader has granted. */
    readonly held: number;
    /** Operations that wait for a token. */
    readonly waiting: number;
    /** Tokens that are wanted for the operations of the next moments. */
    readonly ahead: number;
}

/** Entry host to the leader: what it holds of each customer, and what it needs. */
export interface TokenRequest {
    readonly kind: "tokenRequest";
    /** Increases with each request of a process. A grant applies only if it answers the latest one. */
    readonly sequence: number;
    /** Whether the host admits operations without the leader at present. */
    readonly isAutonomous: boolean;
    readonly isAnswerWanted: boolean;
    /** The customers of which the host holds or needs tokens; it holds none of the others. */
    readonly needs: readonly TokenNeed[];
}

export interface GrantedTokens {
    readonly customer: string;
    readonly tokens: number;
    /** Time after which there are tokens again, in ms; undefined unless the customer has reached its limit. */
    readonly retryAfterMs: number | undefined;
}

/** Leader to entry host: the answer to the request with the same number. */
export interface TokenGrant {
    readonly kind: "tokenGrant";
    readonly sequence: number;
    readonly grants: readonly GrantedTokens[];
}

export type LimitMessage = TokenRequest | TokenGrant;
