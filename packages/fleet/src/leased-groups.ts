import type { GroupSettings } from "@medlarledge/gateway";

/**
 * True for a group whose primary hosts use only under a lease, and only the one that the newest promotion order names:
 * where a former primary goes on committing after a promotion, and where replicas acknowledge commits, since none may be
 * acknowledged from the reading of the replicas' positions to the promotion.
 * @param settings undefined for a group that the configuration does not name
 */
export function isLeasedGroup(settings: GroupSettings | undefined, primariesStepDown: boolean): boolean {
    return !primariesStepDown || (settings?.syncReplicas ?? 0) > 0;
}
