import type { Clock } from '@marjorampin/types';
import { QUORUM_TIMEOUT_MS } from './callQuorum';

/** Shortest time for which a request to a quorum is retried. */
const QUORUM_RETRY_TIMEOUT_MS = 1_000;
/** Shortest time for an attempt, also for the first one shortly before the deadline: several round trips
 * and syncs, and less than a stopping entry leaves after a deadline. */
const MINIMUM_ATTEMPT_MS = 100;

/** Options of a request to a quorum. */
export interface RequestOptions {
  /** Clock time until which the request is tried and by which its last attempt ends; by default, it is
   * retried for a second. */
  untilMs?: number | undefined;
  /** Aborts when the caller has left: from then on, the request is retried for a second at most. */
  signal?: AbortSignal | undefined;
}

/** Decides how long the attempts of one request to a quorum take, and whether another one begins. */
export class RequestAttempts {
  private readonly clock: Clock;

  private readonly options: RequestOptions;

  private readonly shortestUntilMs: number;

  constructor(clock: Clock, options: RequestOptions) {
    this.clock = clock;
    this.options = options;
    this.shortestUntilMs = clock.now() + QUORUM_RETRY_TIMEOUT_MS;
  }

  /** Timeout of an attempt that begins now. */
  get timeoutMs(): number {
    const { untilMs = Infinity } = this.options;
    const leftMs = untilMs - this.clock.now();
    return Math.min(QUORUM_TIMEOUT_MS, Math.max(MINIMUM_ATTEMPT_MS, leftMs));
  }

  /** Returns whether the request is tried again after an attempt that failed now, with this delay. */
  mayRetryAfter(delayMs: number): boolean {
    const { untilMs } = this.options;
    const nowMs = this.clock.now();
    if (untilMs === undefined) return nowMs < this.shortestUntilMs;
    return nowMs + delayMs + MINIMUM_ATTEMPT_MS <= untilMs && this.isAwaited;
  }

  /** Whether the caller still waits, or the request has been retried for the shortest time only. */
  get isAwaited(): boolean {
    return !this.options.signal?.aborted || this.clock.now() < this.shortestUntilMs;
  }
}
