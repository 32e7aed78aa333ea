const MS_PER_SECOND = 1_000;
/** Unused permits accumulate for this time, but always up to one. */
const BURST_MS = 250;

/** Request for one permit. */
export interface PermitRequest {
  nowMs: number;
  /** Longest time that the caller can wait for the permit. */
  maximumWaitMs: number;
}

/** Decision on a permit. */
export interface PermitDecision {
  isGranted: boolean;
  /** Time until the request may be sent, or until it could have been if it was denied. */
  waitMs: number;
  /** Time that a further request would have to wait. */
  nextWaitMs: number;
}

/**
 * Spaces the requests to one endpoint evenly at a rate (generic cell rate algorithm). Answers demand
 * above the rate: a request reserves the next free time or is denied, and callers with more patience
 * go ahead of others because they may reserve later times.
 */
export class PermitSchedule {
  private perSecond: number;

  /** Time at which the next request may be sent; in the past while permits are unused. */
  private nextAtMs: number;

  /** Starts without unused permits; the first one is available at `firstAtMs`. */
  constructor({ perSecond, firstAtMs }: { perSecond: number; firstAtMs: number }) {
    this.perSecond = perSecond;
    this.nextAtMs = firstAtMs;
  }

  /** Changes the rate; the time until the next permit changes in proportion. */
  setRate(perSecond: number, nowMs: number): void {
    if (perSecond === this.perSecond) return;
    this.nextAtMs = nowMs + ((this.nextAtMs - nowMs) * this.perSecond) / perSecond;
    this.perSecond = perSecond;
  }

  /** Grants a permit if the request can wait for it. */
  acquire({ nowMs, maximumWaitMs }: PermitRequest): PermitDecision {
    const intervalMs = MS_PER_SECOND / this.perSecond;
    const unusedMs = Math.max(0, BURST_MS - intervalMs);
    this.nextAtMs = Math.max(this.nextAtMs, nowMs - unusedMs);
    const waitMs = Math.max(0, this.nextAtMs - nowMs);
    if (waitMs > maximumWaitMs) return { isGranted: false, waitMs, nextWaitMs: waitMs };
    this.nextAtMs += intervalMs;
    return { isGranted: true, waitMs, nextWaitMs: Math.max(0, this.nextAtMs - nowMs) };
  }
}
