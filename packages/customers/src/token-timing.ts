/** A host that gets no answer of the leader for this long admits operations by its own part of the limit. */
export const AUTONOMY_AFTER_MS = 600;

/** The leader leaves a host's part to the host after this time, which is shorter, so that no part is used twice. */
export const LEADER_CONTACT_MS = 500;

/** Granted tokens expire at this time after the request that was answered last. */
export const TOKEN_LIFE_MS = 1_000;

/** A request arrives later than it is sent, so tokens have expired by then, with a margin for the drift of clocks. */
export const LEDGER_MEMORY_MS = TOKEN_LIFE_MS + 100;
