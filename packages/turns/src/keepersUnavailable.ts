import { CallError } from '@marjorampin/types';

/** Keepers are back, or their roster has changed, after about this long. */
const RETRY_AFTER_MS = 300;

/** Makes the error of a turn that did not run because keepers could not be asked. */
export function keepersUnavailable(reason: string): CallError {
  return new CallError({
    kind: 'keepers-unavailable',
    message: `${reason}; retry after ${RETRY_AFTER_MS} ms`,
    retryAfterMs: RETRY_AFTER_MS,
  });
}
