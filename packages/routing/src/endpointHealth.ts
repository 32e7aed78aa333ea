/** Weight of a new outcome in the smoothed share of failed calls. */
const SMOOTHING = 0.2;
/** Time after which a share has lost most of its meaning without new outcomes. */
const SHARE_MEMORY_MS = 20_000;
/** Share of failed calls from which an endpoint is avoided: two failures shortly after each other. */
const AVOIDED_SHARE = 0.3;
/** Share below which an endpoint that was avoided gets more than one call at a time again. */
const TRUSTED_SHARE = 0.15;
const SHORTEST_AVOIDANCE_MS = 1_000;
const LONGEST_AVOIDANCE_MS = 16_000;
/** Cost of a failed call in milliseconds of latency: it is repeated late or ends its program. */
const FAILED_CALL_MS = 1_000;

/**
 * Share of this process's calls that an endpoint fails. Answers endpoints that fail a part of their
 * calls while their health checks pass: a failure costs more than a wait elsewhere, and an endpoint
 * that fails often is avoided for growing times, between which it gets one call at a time.
 */
export class EndpointHealth {
  private share = 0;

  private changedAtMs = 0;

  private avoidances = 0;

  private avoidedUntilMs = -Infinity;

  /** Records a call that failed because of the endpoint. */
  recordFailure(nowMs: number): void {
    this.update(1, nowMs);
    if (this.share < AVOIDED_SHARE) return;
    // Failures of calls that were sent before the endpoint was avoided are no further evidence.
    if (nowMs < this.avoidedUntilMs) return;
    const durationMs = SHORTEST_AVOIDANCE_MS * 2 ** this.avoidances;
    this.avoidedUntilMs = nowMs + Math.min(LONGEST_AVOIDANCE_MS, durationMs);
    this.avoidances += 1;
  }

  /** Records a call that the endpoint answered. */
  recordSuccess(nowMs: number): void {
    if (this.share === 0) return;
    this.update(0, nowMs);
    if (this.share < TRUSTED_SHARE) this.avoidances = 0;
  }

  /** Returns whether other endpoints are preferred regardless of their cost; `ownCalls` is the number
   * of this process's calls in progress there. */
  isAvoided(nowMs: number, ownCalls: number): boolean {
    if (this.avoidances === 0) return false;
    return nowMs < this.avoidedUntilMs || ownCalls > 0;
  }

  /** Returns the expected cost of a failure, in milliseconds of latency. */
  failureCostMs(nowMs: number): number {
    // Rounded: the rest of an old share would decide between endpoints that are otherwise equal.
    return this.share === 0 ? 0 : Math.round(this.shareAt(nowMs) * FAILED_CALL_MS);
  }

  /** Returns the smoothed share of failed calls. */
  shareAt(nowMs: number): number {
    return this.share * Math.exp((this.changedAtMs - nowMs) / SHARE_MEMORY_MS);
  }

  private update(outcome: 0 | 1, nowMs: number): void {
    const share = this.shareAt(nowMs);
    this.share = share + (outcome - share) * SMOOTHING;
    this.changedAtMs = nowMs;
  }
}
