import type { Clock } from '@marjorampin/types';

/** When values were read from the store, by both clocks of this process. */
export interface ReadTime {
  monotonicMs: number;
  wallMs: number;
}

/** Returns the time of a read that began `agoMs` before now. */
export function readTimeOf(clock: Clock, agoMs = 0): ReadTime {
  return { monotonicMs: clock.now() - agoMs, wallMs: clock.wallTime() - agoMs };
}

/**
 * Returns the milliseconds since a read, by the clock that shows more: the monotonic clock doesn't count
 * a pause of the host, and the wall clock may be set back.
 */
export function ageOf({ monotonicMs, wallMs }: ReadTime, clock: Clock): number {
  return Math.max(clock.now() - monotonicMs, clock.wallTime() - wallMs);
}
