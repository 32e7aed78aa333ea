import { CallError } from '@marjorampin/types';

/** Typical time until keepers are available again or their roster has changed. */
const RETRY_AFTER_MS = 300;

/** Creates the error of a turn that did not run because keepers were unavailable. */
export function keepersUnavailable(reason: string): CallError {
  return new CallError({
    kind: 'keepers-unavailable',
    message: `${reason}; retry after ${RETRY_AFTER_MS} ms`,
    retryAfterMs: RETRY_AFTER_MS,
  });
}
