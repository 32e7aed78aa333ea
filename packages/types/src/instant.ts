import type { Clock } from './clock';

/** A point in time on both clocks of a host. */
export interface Instant {
  /** Reading of the monotonic clock, which does not count the time of a pause of the process. */
  monotonicMs: number;
  /** Reading of the wall clock, which may be set back. */
  wallMs: number;
}

/** Returns the present time on both clocks. */
export function instantOf(clock: Clock): Instant {
  return { monotonicMs: clock.now(), wallMs: clock.wallTime() };
}

/** Returns the milliseconds since an instant: the longer of the times on both clocks, so that neither a
 * pause of the process nor a step back of the wall clock hides them. */
export function elapsedMs({ monotonicMs, wallMs }: Instant, clock: Clock): number {
  return Math.max(clock.now() - monotonicMs, clock.wallTime() - wallMs);
}
