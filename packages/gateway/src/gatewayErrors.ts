import type { ByteAccount } from '@marjorampin/http';
import type { CallerLimits } from '@marjorampin/routing';
import { CallError } from '@marjorampin/types';

/** Retry delay when another entry can serve the call at once. */
const OTHER_ENTRY_RETRY_MS = 10;
/** Retry delay at the same entry, while it loads its configuration or is overloaded. */
const SAME_ENTRY_RETRY_MS = 500;

/** Error when the entry has no configuration, or possibly an outdated one. */
export function notConfigured(): CallError {
  return new CallError({
    kind: 'not-configured',
    message: `this entry does not have the current configuration yet; retry after ${SAME_ENTRY_RETRY_MS} ms`,
    retryAfterMs: SAME_ENTRY_RETRY_MS,
  });
}

/** Error when the entry is stopping. */
export function entryStopping(): CallError {
  return new CallError({
    kind: 'leaving',
    message: `this entry is stopping; retry at another one after ${OTHER_ENTRY_RETRY_MS} ms`,
    retryAfterMs: OTHER_ENTRY_RETRY_MS,
  });
}

/** Error when the headers exceed the configured size limit. */
export function headersTooLarge({ headerBytes: limit }: CallerLimits): CallError {
  return new CallError({
    kind: 'header-too-large',
    message: `the request headers exceed ${limit} bytes; send fewer or smaller ones`,
  });
}

/** Error when the target of the request is not a path. */
export function invalidTarget(target: string): CallError {
  const message = `the request target "${withoutQuery(target)}" is not a path; send one that begins with a slash`;
  return new CallError({ kind: 'invalid-request', message });
}

/** Error when the deadline passed; `overloaded` with a retry delay if the call did not run. */
export function deadlinePassed(execution: CallError['execution']): CallError {
  const message = 'the deadline passed before the call was answered; allow more time';
  if (execution === 'not-run') {
    return new CallError({ kind: 'overloaded', message, retryAfterMs: SAME_ENTRY_RETRY_MS });
  }
  return new CallError({ kind: 'deadline-exceeded', message, execution });
}

/** Error when the event loop lags and another entry is expected to serve the call sooner. */
export function entryLagging(lagMs: number): CallError {
  return new CallError({
    kind: 'overloaded',
    message: `the event loop of this entry lags by ${Math.round(lagMs)} ms; retry at another one after ${OTHER_ENTRY_RETRY_MS} ms`,
    retryAfterMs: OTHER_ENTRY_RETRY_MS,
  });
}

/** Error when the inputs and answers in progress leave no room for another input. */
export function inputsTooLarge({ limitBytes }: ByteAccount): CallError {
  return new CallError({
    kind: 'overloaded',
    message: `the calls in progress at this entry hold nearly ${limitBytes} bytes; retry at another one after ${OTHER_ENTRY_RETRY_MS} ms`,
    retryAfterMs: OTHER_ENTRY_RETRY_MS,
  });
}

/** Error when no route matches the host and target. */
export function unknownRoute(target: string): CallError {
  return new CallError({
    kind: 'unknown-route',
    message: `no route matches the host and path of ${withoutQuery(target)}; use those of a configured route`,
  });
}

/** Returns a target as messages may contain it: a query may contain a key. */
function withoutQuery(target: string): string {
  return target.split('?', 1)[0] ?? '';
}
