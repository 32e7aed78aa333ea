import { AccountRefusal } from '@marjorampin/accounts';
import { boundedDelayMs } from '@marjorampin/routing';
import { CallError, type ClientAccount } from '@marjorampin/types';

/** Shortest delay, about the time of a request to an owner. */
const MINIMUM_DELAY_MS = 10;
/** Typical time until keepers are available again or their roster has changed. */
const KEEPERS_RETRY_MS = 300;

/** When a refused caller can try again. */
export interface RefusalTimes {
  /** Shortest time until an owner of the allowance has tokens. */
  waitMs: number;
  /** Milliseconds until the caller's deadline. */
  remainingMs: number;
  /** Random number from 0 to 1 that spreads the returns of callers. */
  random: number;
}

/**
 * Returns the delay after which a refused caller should retry, in milliseconds. Answers the return of
 * many refused callers at the same time: they are spread over the time after the next tokens.
 */
export function allowanceDelayMs({ waitMs, remainingMs, random }: RefusalTimes): number {
  return boundedDelayMs(Math.max(waitMs, MINIMUM_DELAY_MS) * (1 + random), remainingMs);
}

/** Error when an account has used its allowance. */
export function allowanceExceeded({ name, limit }: ClientAccount, times: RefusalTimes): CallError {
  const retryAfterMs = allowanceDelayMs(times);
  return new AccountRefusal({
    reason: 'allowance',
    account: name,
    kind: 'rate-limited',
    message: `account ${name} has used its allowance of ${limit?.perSecond} requests per second; retry after ${retryAfterMs} ms or send fewer requests`,
    retryAfterMs,
  });
}

/** Error when no owner of an account's allowance replies. */
export function ownersUnavailable({ name }: ClientAccount, remainingMs: number): CallError {
  const retryAfterMs = boundedDelayMs(KEEPERS_RETRY_MS, remainingMs);
  return new CallError({
    kind: 'keepers-unavailable',
    message: `no keeper that shares the allowance of account ${name} replies; retry after ${retryAfterMs} ms`,
    retryAfterMs,
  });
}
