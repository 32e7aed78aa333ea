/** Smallest rate in effect: an endpoint that takes nothing is still asked whether that has changed. */
export const MINIMUM_REQUESTS_PER_SECOND = 0.1;
/** Largest rate in effect; no endpoint gets as many requests from all hosts together. */
export const MAXIMUM_REQUESTS_PER_SECOND = 1_000_000;

/** What an answer states about the endpoint's rate limit: requests per second from all hosts together,
 * no limit, or a value that can't be read. */
export type StatedRateLimit = number | 'none' | 'invalid';

/** A rate limit as one process knows it. */
export interface RateLimit {
  /** Requests per second from all hosts together; undefined if the endpoint has no limit. */
  perSecond: number | undefined;
  /** Clock time of the newest observation. */
  observedAtMs: number;
}

/** The rate limit of one endpoint, from answers that may arrive out of order. */
export class ObservedRateLimit {
  private limit: RateLimit = { perSecond: undefined, observedAtMs: -Infinity };

  /** The limit that follows from the newest observation. */
  get current(): RateLimit {
    return this.limit;
  }

  /**
   * Adds an observation. A limit is observed when its answer arrives, its absence when the request was
   * sent: an answer that was underway while another one stated a limit does not end that limit.
   */
  observe({ perSecond, observedAtMs }: RateLimit): void {
    const isNeverLimited = this.limit.observedAtMs === -Infinity;
    if (perSecond === undefined && isNeverLimited) return;
    const isNewer =
      perSecond === undefined
        ? observedAtMs > this.limit.observedAtMs
        : observedAtMs >= this.limit.observedAtMs;
    if (!isNewer) return;
    const bounded = perSecond === undefined ? undefined : boundedRate(perSecond);
    this.limit = { perSecond: bounded, observedAtMs };
  }
}

function boundedRate(perSecond: number): number {
  return Math.min(MAXIMUM_REQUESTS_PER_SECOND, Math.max(MINIMUM_REQUESTS_PER_SECOND, perSecond));
}
