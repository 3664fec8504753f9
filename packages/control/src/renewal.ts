import type { RenewLease } from "@medlarledge/protocol";
import type { Distribution } from "./distribution.js";
import type { LeaderContext } from "./leader-context.js";
import type { Membership } from "./membership.js";

/** Grants or refuses a renewal of a connected host while this leader may grant; see section 4.2 of the design. */
export function answerRenewal(
    context: LeaderContext,
    from: string,
    renewal: RenewLease,
    distribution: Distribution,
    membership: Membership,
): void {
    const record = context.hosts.connected(from);
    if (record === undefined) {
        refuseRenewal(context, from, renewal, context.options.hostId);
        return;
    }
    distribution.sendMissing(context, record);
    if (membership.isRegistered(context, record.host) && context.hosts.mayGrant(record)) {
        const { sequence } = renewal;
        const message = { kind: "leaseGranted", sequence, durationMs: context.options.leaseMs } as const;
        context.emit({ kind: "send", to: from, message });
        context.hosts.granted(from, context.now);
        return;
    }
    membership.register(context, record.host);
    refuseRenewal(context, from, renewal, context.options.hostId);
}

export function refuseRenewal(
    context: LeaderContext,
    from: string,
    renewal: RenewLease,
    leader: string | undefined,
): void {
    const { sequence } = renewal;
    context.emit({ kind: "send", to: from, message: { kind: "leaseRefused", sequence, leader } });
}
