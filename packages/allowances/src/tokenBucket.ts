const MS_PER_SECOND = 1_000;
/** Longest time that a requester is told to wait while tokens become available earlier for others. */
const MAXIMUM_WAIT_MS = 500;
/** Share of the free capacity that may fill up while all requesters wait; beyond it, tokens would be lost. */
const WAITING_SHARE = 0.5;
/** Number of periods, with the present one, whose tokens can be returned. */
const RETURN_PERIODS = 4;
/** Compensates rounding errors of the level. */
const TOLERANCE = 1e-9;

/** Rate and capacity of a bucket. */
export interface BucketLimit {
  perSecond: number;
  /** Most tokens that accumulate. */
  capacity: number;
}

/** Options of `TokenBucket`. */
export interface TokenBucketOptions {
  limit: BucketLimit;
  /** Time from which tokens accumulate, from none; may be in the future. */
  sinceMs: number;
  /** Length of the periods by which grants are told apart. Tokens can be returned in the period of their
   * grant and in the next three. */
  periodMs: number;
}

/** What is known of the grants of one period. */
interface Period {
  index: number;
  /** Tokens granted in the period that have not been returned. */
  granted: number;
  /** Highest level in the period, with the tokens that were returned later. */
  highest: number;
}

/**
 * A token bucket that takes unused tokens back. In any time T, the granted tokens without the returned
 * ones are at most rate × T + capacity: a returned token is accepted only if the bucket would still hold
 * it without its grant, and not if the bucket would have been full meanwhile.
 */
export class TokenBucket {
  private limit: BucketLimit;

  private readonly periodMs: number;

  private level = 0;

  private updatedAtMs: number;

  /** Periods in which the bucket was used, the newest first. */
  private periods: Period[] = [];

  /** Time up to which tokens have been announced to requesters. */
  private announcedUntilMs = -Infinity;

  constructor({ limit, sinceMs, periodMs }: TokenBucketOptions) {
    this.limit = limit;
    this.periodMs = periodMs;
    this.updatedAtMs = sinceMs;
  }

  /** Index of the present period, which identifies grants. */
  get period(): number {
    return this.periods[0]?.index ?? -1;
  }

  /** Returns whether the bucket is full. */
  isFull(nowMs: number): boolean {
    this.update(nowMs);
    return this.level >= this.limit.capacity;
  }

  /** Changes the limit; what was spent stays spent. */
  setLimit(limit: BucketLimit, nowMs: number): void {
    const { perSecond, capacity } = this.limit;
    if (limit.perSecond === perSecond && limit.capacity === capacity) return;
    this.update(nowMs);
    this.limit = limit;
    this.level = Math.min(this.level, limit.capacity);
  }

  /** Takes tokens; returns their number, at most the level. */
  take(tokens: number, nowMs: number): number {
    this.update(nowMs);
    const granted = Math.min(tokens, Math.floor(this.level + TOLERANCE));
    this.level -= granted;
    const [current] = this.periods;
    if (current) current.granted += granted;
    return granted;
  }

  /** Takes back unused tokens that were granted in a period; later ones are lost. */
  giveBack(tokens: number, period: number, nowMs: number): void {
    this.update(nowMs);
    const since = this.periods.filter(({ index }) => index >= period);
    const origin = since.find(({ index }) => index === period);
    if (!origin) return;
    const highest = Math.max(...since.map((each) => each.highest));
    const room = Math.max(0, this.limit.capacity - highest);
    const accepted = Math.min(tokens, origin.granted, room);
    origin.granted -= accepted;
    this.level += accepted;
    since.forEach((each) => Object.assign(each, { highest: each.highest + accepted }));
  }

  /**
   * Returns the time after which a requester that lacks `missing` tokens should ask again. Answers demand
   * above the limit from many entries: each is told of tokens that were not announced to others, so that
   * they ask about as often as tokens become available. The time is bounded, as the demand of those that
   * were told may end.
   */
  waitMs(missing: number, nowMs: number): number {
    this.update(nowMs);
    const { perSecond, capacity } = this.limit;
    const intervalMs = MS_PER_SECOND / perSecond;
    const nextAtMs = this.updatedAtMs + Math.max(0, 1 - this.level) * intervalMs;
    const nextMs = Math.max(0, nextAtMs - nowMs);
    const fillMs = (capacity - this.level) * intervalMs;
    const longestMs = Math.max(nextMs, Math.min(fillMs * WAITING_SHARE, MAXIMUM_WAIT_MS));
    const firstAtMs = Math.max(nextAtMs, this.announcedUntilMs + intervalMs);
    const lastAtMs = firstAtMs + (missing - 1) * intervalMs;
    const waitMs = Math.min(longestMs, Math.max(nextMs, lastAtMs - nowMs));
    this.announcedUntilMs = nowMs + waitMs;
    return waitMs;
  }

  private update(nowMs: number): void {
    const { perSecond, capacity } = this.limit;
    if (nowMs > this.updatedAtMs) {
      const added = ((nowMs - this.updatedAtMs) * perSecond) / MS_PER_SECOND;
      this.level = Math.min(capacity, this.level + added);
      this.updatedAtMs = nowMs;
    }
    this.updatePeriods(Math.floor(nowMs / this.periodMs));
  }

  private updatePeriods(index: number): void {
    const { level, periods } = this;
    const [current] = periods;
    if (current && index <= current.index) {
      current.highest = Math.max(current.highest, level);
      return;
    }
    const kept = periods.filter((each) => each.index > index - RETURN_PERIODS);
    this.periods = [{ index, granted: 0, highest: level }, ...kept];
  }
}
