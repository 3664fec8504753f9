import type { Routing } from "@medlarledge/gateway";
import type { ChangeResult, ConfigurationChange, ConfigurationFile, EndpointRecord } from "@medlarledge/protocol";
import type { ConfigurationReadResult } from "./group-member.js";

/** Parses and validates configurations as operators write them. */
export interface ConfigurationReader {
    /** Returns the findings; none means that the configuration is valid. */
    validate(files: readonly ConfigurationFile[]): readonly string[];
    /** Returns the routing of a valid configuration. */
    routing(change: ConfigurationChange): Routing;
}

export const PromotionOutcome = {
    Accepted: "accepted",
    /** The promotion is refused: a higher fencing token has been used, or the endpoint does not run. */
    Refused: "refused",
    /** No answer arrived; the endpoint may still be promoted. */
    Unknown: "unknown",
} as const;
export type PromotionOutcome = (typeof PromotionOutcome)[keyof typeof PromotionOutcome];

/** The external authority that promotes an endpoint to the primary of its group and demotes the former primary. */
export interface PromotionAuthority {
    promote(order: {
        readonly group: string;
        readonly endpoint: string;
        readonly holder: string;
        readonly fence: number;
    }): Promise<PromotionOutcome>;
}

/** Calls of endpoints and operators to a control host. */
export interface ControlService {
    /** Handles an endpoint's announcement of itself. Resolves to true once the announcement may be acknowledged. */
    announce(record: EndpointRecord): Promise<boolean>;
    /** Handles the message of an endpoint that it leaves now. Resolves as `announce` does. */
    left(id: string): Promise<boolean>;
    /** Proposes a configuration to the control group. */
    propose(change: ConfigurationChange): Promise<ChangeResult>;
    /** Reads the newest committed configuration. */
    read(): Promise<ConfigurationReadResult>;
}
