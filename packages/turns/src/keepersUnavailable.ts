import { CallError } from '@marjorampin/types';

/** Typical time until keepers are available again or their roster has changed. */
const RETRY_AFTER_MS = 300;

/**
 * Creates the error for too few available keepers. `TurnStore.commit` also throws it, after the
 * turn ran, so its callers must not conclude that the turn did not run.
 */
export function keepersUnavailable(reason: string): CallError {
  return new CallError({
    kind: 'keepers-unavailable',
    message: `${reason}; retry after ${RETRY_AFTER_MS} ms`,
    retryAfterMs: RETRY_AFTER_MS,
  });
}
