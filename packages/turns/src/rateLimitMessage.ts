import type { RateLimit as RateLimitMessage } from '@marjorampin/protocol';
import type { RateLimit } from '@marjorampin/routing';

/** Returns a limit as a message, with the age of its observation, since clocks of hosts differ. */
export function toRateLimitMessage({ perSecond = 0, observedAtMs }: RateLimit, nowMs: number) {
  return { perSecond, ageMs: nowMs - observedAtMs };
}

/** Returns the limit in a message; without one, no limit was ever observed. */
export function fromRateLimitMessage(
  message: RateLimitMessage | undefined,
  nowMs: number,
): RateLimit {
  const { perSecond = 0, ageMs = Infinity } = message ?? {};
  return { perSecond: perSecond > 0 ? perSecond : undefined, observedAtMs: nowMs - ageMs };
}
