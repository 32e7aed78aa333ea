/** Time over which the rate of requests is smoothed. */
const SMOOTHING_MS = 200;
/** Time for which tokens are acquired ahead. With a longer one, more tokens are lost when an account's
 * traffic moves to other entries; with a shorter one, more messages are sent. */
const AHEAD_MS = 50;

/** Smoothed rate of an account's requests at this entry. */
export class AccountDemand {
  private perMs = 0;

  private updatedAtMs = -Infinity;

  /** Records a request. */
  record(nowMs: number): void {
    this.perMs = this.perMsAt(nowMs) + 1 / SMOOTHING_MS;
    this.updatedAtMs = nowMs;
  }

  /**
   * Returns the number of tokens to ask for while `waiting` requests need one. Answers accounts with many
   * requests at few entries: one message serves those of a short time. Accounts with few requests get
   * single tokens, of which none is lost.
   */
  tokensFor(waiting: number, nowMs: number): number {
    const expected = Math.floor(this.perMsAt(nowMs) * AHEAD_MS);
    return Math.max(1, waiting, expected);
  }

  private perMsAt(nowMs: number): number {
    return this.perMs * Math.exp((this.updatedAtMs - nowMs) / SMOOTHING_MS);
  }
}
