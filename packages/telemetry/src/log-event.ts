/** Levels from the most to the least talkative, with tslog's numbers. */
export const LOG_LEVELS = { debug: 2, info: 3, warn: 4, error: 5 } as const;
export type LogLevel = keyof typeof LOG_LEVELS;

/** Every event name that may stand in a log line, with its level and meaning. */
export const LOG_EVENTS = {
    hostStarted: { level: "info", meaning: "The process listens on its addresses." },
    hostStopping: { level: "info", meaning: "A graceful shutdown began." },
    hostStopped: { level: "info", meaning: "The process ends; `cut` counts the requests it had to cut." },
    storeFailed: {
        level: "error",
        meaning:
            "The data folder cannot be read or written. The host stops; on the platform it opens the folder again while the disk is at fault.",
    },
    peerConnected: { level: "info", meaning: "A connection to another process is open." },
    peerDisconnected: { level: "warn", meaning: "A connection to another process closed." },
    peerRefused: { level: "warn", meaning: "Another process was refused: certificate, protocol or identity." },
    messageRejected: { level: "warn", meaning: "A message of another process could not be decoded." },
    messageOversized: {
        level: "error",
        meaning: "A message was not sent, since it is larger than another process accepts.",
    },
    leaderChanged: { level: "info", meaning: "The control group has another leader, or none." },
    primaryConfirmed: {
        level: "info",
        meaning:
            "The present primary was ordered again, so that earlier orders which may still be carried out become void; `outcome` is the answer.",
    },
    voteHandover: {
        level: "info",
        meaning: "A control host that stops asked for a successor of its vote; `outcome` tells what became of it.",
    },
    leaseLost: { level: "warn", meaning: "This host may not acknowledge writes at present." },
    leaseRegained: { level: "info", meaning: "This host may acknowledge writes again." },
    configurationInForce: { level: "info", meaning: "A configuration took effect on this host." },
    configurationOffered: {
        level: "info",
        meaning: "A control host told this host of a newer configuration than any that it had heard of.",
    },
    controlContactLost: {
        level: "warn",
        meaning:
            "For 1.5 s no control host has confirmed that this host has the newest configuration; it looks for others. `linked` names those with a link.",
    },
    controlContactRegained: {
        level: "info",
        meaning: "A control host confirms again that this host has the newest configuration.",
    },
    configurationOutdated: {
        level: "info",
        meaning: "A control host sent an older configuration than another one has; its disk or links may be at fault.",
    },
    configurationAnswered: { level: "info", meaning: "The leader answered a proposed configuration change." },
    folderInvalid: { level: "warn", meaning: "The watched folder holds findings and was not proposed." },
    endpointAnnounced: { level: "info", meaning: "A new endpoint, or a new state of one, was accepted." },
    announcementRefused: { level: "warn", meaning: "An announcement was refused: signature, form or age." },
    endpointClosed: { level: "warn", meaning: "An endpoint closed or refused connections." },
    endpointSilent: { level: "warn", meaning: "A probe of an endpoint has not been answered for `forMs`." },
    failoverStep: { level: "warn", meaning: "A failover reached its next step." },
    controlEvent: { level: "info", meaning: "A decision of the leader; `name` tells which." },
    callerRejected: { level: "warn", meaning: "A caller was refused at start-up or sent invalid bytes." },
    burnAlert: { level: "error", meaning: "An error budget burns faster than its objective allows." },
    requestServed: { level: "info", meaning: "A request was answered; `cause` tells why the line was written." },
    requestRefused: { level: "warn", meaning: "A request has not run and its caller was told so." },
    requestUnknown: { level: "warn", meaning: "A request was sent and not answered: it may have run." },
    requestFailed: { level: "warn", meaning: "The endpoint ran a request and answered an error, or it is malformed." },
    requestRetried: { level: "info", meaning: "An attempt of a request ended without an answer; another one follows." },
    transactionAborted: { level: "warn", meaning: "This host rolled back a caller's open transaction." },
    sessionCut: { level: "warn", meaning: "A caller's connection was closed while a request was outstanding." },
    endpointReached: { level: "info", meaning: "An endpoint answers again, or for the first time." },
    endpointUnreachable: { level: "warn", meaning: "An endpoint does not answer; `reach` tells in which way." },
    endpointFailing: { level: "warn", meaning: "An endpoint fails a large share of its orders and gets fewer reads." },
    endpointRecovered: { level: "info", meaning: "An endpoint that failed many orders answers most of them again." },
    primarySeen: { level: "info", meaning: "An endpoint answered as the leader of a term, which is news." },
    primaryDenied: { level: "info", meaning: "The endpoint taken for the primary answered that it does not lead." },
    isolationChanged: { level: "warn", meaning: "This host is cut off from other data centres, or no longer is." },
    leaseChanged: {
        level: "warn",
        meaning: "This host has had no lease to use primaries for 0.5 s and is not ready, or has one again.",
    },
    keyLeaseChanged: {
        level: "warn",
        meaning:
            "This host cannot confirm that its configuration is the newest and refuses keys, or accepts them again.",
    },
    keyRefused: { level: "warn", meaning: "A caller or its request was refused because of its key; sampled." },
    databaseUnknown: {
        level: "warn",
        meaning:
            "A caller was refused because the configuration in force, whose number is given, has no such database; sampled.",
    },
    keysRevoked: {
        level: "info",
        meaning: "Sessions were ended because their key is no longer in the configuration.",
    },
    limitsAutonomous: {
        level: "warn",
        meaning:
            "The leader does not answer, and this host admits operations by its part of each limit; or it answers.",
    },
    customerLimited: {
        level: "warn",
        meaning: "Operations of a customer were refused: the first one, or the `refused` ones of the last second.",
    },
    limitLedgerStarted: { level: "info", meaning: "This host leads and grants the operations of customers' limits." },
    hostsChanged: {
        level: "info",
        meaning:
            "The list of hosts changed, and with it the shares of connections; `from` sent it, `control` names the control hosts.",
    },
    primaryOrdered: { level: "info", meaning: "News of an order that makes an endpoint the primary." },
    promotionChoosing: { level: "warn", meaning: "A primary is to be replaced; the other endpoints are asked." },
    primarySuspended: {
        level: "warn",
        meaning:
            "No host is to acknowledge commits of a group until the next order, so that none is missing at its next primary.",
    },
    promotionWaits: {
        level: "warn",
        meaning:
            "A primary cannot be replaced yet: no endpoint is known to have every acknowledged commit, or none answers.",
    },
    promotionOrdered: { level: "warn", meaning: "The platform was asked to promote an endpoint." },
    promotionAnnounced: {
        level: "info",
        meaning:
            "All hosts were told of a promotion order: whether none uses the former primary any more, and the hosts that were waited for last.",
    },
    promotionAnswered: { level: "info", meaning: "The platform's answer to a promotion; unknown when none came." },
    promotionDone: { level: "info", meaning: "A replacement of a primary ended; `why` tells how." },
    membersChanged: {
        level: "info",
        meaning: "The control group has other members; this host applied the entry of its log that says so.",
    },
    votersBelowTolerance: {
        level: "warn",
        meaning:
            "The control group has fewer voters than it needs to tolerate the losses that the settings name; it serves all the same.",
    },
    votersSufficient: {
        level: "info",
        meaning:
            "The control group again has as many voters as it needs to tolerate the losses that the settings name.",
    },
    memberStatus: {
        level: "info",
        meaning:
            "The place of this control host in the control group, the last entries that it knows to be committed and has applied, and the time since it last heard from a leader; written when its place changes, and every 10 s.",
    },
    storeReopened: { level: "info", meaning: "The data folder was opened again after a failure, or still fails." },
    lastKnownFailed: { level: "warn", meaning: "What this host knows could not be saved for a restart, or read." },
    settingsChanged: { level: "info", meaning: "The settings file changed and was taken over." },
    settingsInvalid: {
        level: "error",
        meaning: "The settings file changed and has findings; the former settings stay.",
    },
    linesDropped: {
        level: "warn",
        meaning: "Lines of one kind were left out in the last second; their budget is spent.",
    },
    unexpected: { level: "error", meaning: "A failure that no handler expected; please report it." },
} as const satisfies Record<string, { readonly level: LogLevel; readonly meaning: string; }>;
export type LogEvent = keyof typeof LOG_EVENTS;
