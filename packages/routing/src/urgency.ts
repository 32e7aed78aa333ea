/** What the urgency of a call depends on. */
export interface UrgencyRequest {
  /** Priority rank of the call's account, or of its route if the account states none; 0 is the highest. */
  rank: number;
  /** Rank of the call's route, which orders the calls of equal accounts. */
  routeRank: number;
  /** Whether the call continues a program whose earlier calls would be lost with it. */
  isContinuation: boolean;
  /** Milliseconds until the call's program should have ended; undefined if the caller states no time. */
  finishMs: number | undefined;
}

/** Urgency levels of each rank: two for calls of the highest route rank, two for all others. */
const LEVELS_PER_RANK = 4;
const LEVELS_PER_ROUTE_RANK = 2;

/**
 * Returns the order of a call among those of an endpoint, 0 first. Answers bursts beyond the capacity:
 * within a rank, programs in progress that can still end in time go before new ones and before those that
 * are late already. Endpoints preempt less urgent calls for more urgent ones, so a new program never
 * preempts one of its own rank.
 */
export function urgencyOf(request: UrgencyRequest): number {
  const { rank, routeRank, isContinuation, finishMs } = request;
  const isLate = finishMs !== undefined && finishMs <= 0;
  const routeLevel = routeRank === 0 ? 0 : LEVELS_PER_ROUTE_RANK;
  return rank * LEVELS_PER_RANK + routeLevel + (isContinuation && !isLate ? 0 : 1);
}
