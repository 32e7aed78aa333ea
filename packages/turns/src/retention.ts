/** Added to the time for which a route promises to retain turns, and to the time of a turn: covers steps
 * of clocks and the time of a restart. */
export const RETENTION_MARGIN_MS = 20_000;

/** Age up to which data needs no renewal while its program goes on: it is retained from its first write
 * for the margin longer than promised, and the rest of the margin still covers clocks and restarts. */
export const RENEWAL_AGE_MS = RETENTION_MARGIN_MS / 2;

/** Longest time for which a route may promise to retain turns. */
export const MAXIMUM_RETENTION_MS = 3_600_000;

/** Time after which copies on a disk that no roster has listed since are no longer needed: all that it stored
 * has expired. Covers the longest retention, the time of a turn and steps of clocks. */
export const MISSING_COPY_EXPIRY_MS = 2 * MAXIMUM_RETENTION_MS;
