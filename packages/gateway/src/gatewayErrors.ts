import type { CallerLimits } from '@marjorampin/routing';
import { CallError } from '@marjorampin/types';

/** Another entry can serve the call at once. */
const OTHER_ENTRY_RETRY_MS = 10;
/** Time after which a caller may come back to an entry that knows nothing yet. */
const SAME_ENTRY_RETRY_MS = 500;

/** The entry knows no configuration, or not certainly the newest one. */
export function notConfigured(): CallError {
  return new CallError({
    kind: 'not-configured',
    message: `this entry does not know the newest configuration yet; retry after ${SAME_ENTRY_RETRY_MS} ms`,
    retryAfterMs: SAME_ENTRY_RETRY_MS,
  });
}

/** The entry is being stopped. */
export function entryStopping(): CallError {
  return new CallError({
    kind: 'leaving',
    message: `this entry stops; retry at another one after ${OTHER_ENTRY_RETRY_MS} ms`,
    retryAfterMs: OTHER_ENTRY_RETRY_MS,
  });
}

/** The headers exceed what the configuration allows. */
export function headersTooLarge({ headerBytes: limit }: CallerLimits): CallError {
  return new CallError({
    kind: 'header-too-large',
    message: `the headers are larger than ${limit} bytes; send smaller ones`,
  });
}

/** The target of the request is no path. */
export function invalidTarget(target: string): CallError {
  const message = `"${target}" is not a path; send one that begins with a slash`;
  return new CallError({ kind: 'invalid-request', message });
}

/** The deadline passed; a call that was never sent has not run. */
export function deadlinePassed(execution: CallError['execution']): CallError {
  const message = 'the deadline passed before the answer was there; allow more time';
  if (execution === 'not-run') {
    return new CallError({ kind: 'overloaded', message, retryAfterMs: SAME_ENTRY_RETRY_MS });
  }
  return new CallError({ kind: 'deadline-exceeded', message, execution });
}

/** Another entry serves the call sooner. */
export function entryLagging(lagMs: number): CallError {
  return new CallError({
    kind: 'overloaded',
    message: `this entry runs ${Math.round(lagMs)} ms late; retry at another one after ${OTHER_ENTRY_RETRY_MS} ms`,
    retryAfterMs: OTHER_ENTRY_RETRY_MS,
  });
}

/** No route leads to the target. */
export function unknownRoute(target: string): CallError {
  return new CallError({
    kind: 'unknown-route',
    message: `no route leads to ${target}; use a host and path of the configuration`,
  });
}
