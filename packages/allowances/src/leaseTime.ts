const MS_PER_SECOND = 1_000;
/** Share of the tolerated excess of a window that leases take up; the rest covers small bursts. */
const LEASE_SHARE = 0.8;
/** Share of the tolerated number of requests that all parts together may hold besides the burst; the rest is for
 * parts that are rounded up to whole tokens. */
const TOLERANCE_SHARE = 0.75;
/** Lease time without stated bounds. */
const DEFAULT_LEASE_MS = 400;

/** Tolerance of the rule on allowances. */
export interface AllowanceBounds {
  /** Length of the windows in which requests are counted. */
  windowS?: number | undefined;
  /** Share by which the requests of a window may exceed the allowance. */
  overage?: number | undefined;
  /** Number of requests by which those of a window may exceed the allowance besides that share. */
  slack?: number | undefined;
}

/**
 * Returns for how long tokens of a lease may be spent, in milliseconds. A request that falls into a window
 * has a token that was granted at most this long before the window.
 */
export function leaseTimeMs({ windowS, overage }: AllowanceBounds): number {
  if (windowS === undefined || overage === undefined) return DEFAULT_LEASE_MS;
  return windowS * MS_PER_SECOND * overage * LEASE_SHARE;
}

/**
 * Returns the tokens that an account may save up besides its burst. Answers accounts with small limits whose requests
 * come several at a time, as programs send them: a window allows what they ask on average, a burst of a few tokens
 * that is split between owners would refuse a part of it.
 */
export function toleratedTokens({ slack = 0 }: AllowanceBounds): number {
  return slack * TOLERANCE_SHARE;
}
