import type { Routing } from "@medlarledge/gateway";
import type { ChangeResult, ConfigurationChange, ConfigurationFile, EndpointRecord } from "@medlarledge/protocol";
import type { ConfigurationReadResult } from "./group-member.js";

/** Reads configurations in the form in which operators write them. */
export interface ConfigurationReader {
    /** Findings; none means that the configuration is valid. */
    validate(files: readonly ConfigurationFile[]): readonly string[];
    /** What a valid configuration says about requests. */
    routing(change: ConfigurationChange): Routing;
}

export const PromotionOutcome = {
    Accepted: "accepted",
    /** The order is void: a higher fencing token was seen, or the endpoint does not run. */
    Refused: "refused",
    /** No answer came; the order may still be carried out. */
    Unknown: "unknown",
} as const;
export type PromotionOutcome = (typeof PromotionOutcome)[keyof typeof PromotionOutcome];

/** The authority outside of the system that makes an endpoint the leader of its group, and ends the former lead. */
export interface PromotionAuthority {
    promote(order: {
        readonly group: string;
        readonly endpoint: string;
        readonly holder: string;
        readonly fence: number;
    }): Promise<PromotionOutcome>;
}

/** What endpoints and operators ask of a control host. */
export interface ControlService {
    /** Takes over what an endpoint says of itself. */
    announce(record: EndpointRecord): void;
    /** The endpoint ends now. */
    left(id: string): void;
    propose(change: ConfigurationChange): Promise<ChangeResult>;
    read(): Promise<ConfigurationReadResult>;
}
