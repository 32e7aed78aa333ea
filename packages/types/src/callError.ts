/** Whether a failed call ran; `unknown`: it may have run. */
export type Execution = 'not-run' | 'done' | 'unknown';

/**
 * Kinds of call errors; part of the API for callers and of the peer protocol. Those whose names
 * are not self-explanatory:
 * - `out-of-turn`: the call does not follow the program's latest turn, or a change of the
 *   configuration does not follow the latest revision.
 * - `key-reused`: another request used the idempotency key.
 * - `not-owner`: another process owns the partition or ledger shard.
 * - `stale-epoch`: the sender is a former owner, or prepared the call for an earlier incarnation of
 *   the agent.
 * - `voided`: the call was voided before the agent received it, and never runs.
 * - `leaving`: the process is shutting down.
 * - `outcome-unknown`: a call that runs at most once may have run.
 * - `quarantined`: the call's input crashed several endpoints.
 * - `transcript-required`: the caller or owner must send the earlier turns again.
 * - `not-configured`: the process has no current configuration.
 */
export type CallErrorKind =
  | 'unauthenticated'
  | 'forbidden'
  | 'invalid-request'
  | 'too-large'
  | 'unknown-contract'
  | 'unknown-program'
  | 'unknown-service'
  | 'invalid-continuation'
  | 'out-of-turn'
  | 'key-reused'
  | 'program-ended'
  | 'program-expired'
  | 'budget-exhausted'
  | 'overloaded'
  | 'rate-limited'
  | 'no-endpoint'
  | 'platform-unavailable'
  | 'owner-unavailable'
  | 'not-owner'
  | 'stale-epoch'
  | 'voided'
  | 'leaving'
  | 'connection-lost'
  | 'endpoint-failed'
  | 'deadline-exceeded'
  | 'cancelled'
  | 'outcome-unknown'
  | 'transcript-required'
  | 'quarantined'
  | 'unknown-turn'
  | 'unknown-route'
  | 'keepers-unavailable'
  | 'not-configured'
  | 'header-too-large'
  | 'request-timeout'
  | 'internal';

const HTTP_STATUS: Record<CallErrorKind, number> = {
  unauthenticated: 401,
  forbidden: 403,
  'invalid-request': 400,
  'too-large': 413,
  'unknown-contract': 404,
  'unknown-program': 404,
  'unknown-service': 404,
  'invalid-continuation': 400,
  'out-of-turn': 409,
  'key-reused': 409,
  'program-ended': 410,
  'program-expired': 410,
  'budget-exhausted': 402,
  overloaded: 503,
  'rate-limited': 429,
  'no-endpoint': 503,
  'platform-unavailable': 503,
  'owner-unavailable': 503,
  'not-owner': 503,
  'stale-epoch': 503,
  voided: 409,
  leaving: 503,
  'connection-lost': 502,
  'endpoint-failed': 502,
  'deadline-exceeded': 504,
  cancelled: 499,
  'outcome-unknown': 502,
  'transcript-required': 409,
  quarantined: 503,
  'unknown-turn': 404,
  'unknown-route': 404,
  'keepers-unavailable': 503,
  'not-configured': 503,
  'header-too-large': 431,
  'request-timeout': 408,
  internal: 500,
};

/** Options of `CallError`. */
export interface CallErrorOptions {
  kind: CallErrorKind;
  /** Cause and, where the caller can act, the remedy. */
  message: string;
  /** `not-run` by default. */
  execution?: Execution;
  /** Recommended retry delay in milliseconds; 0, the default, recommends none. */
  retryAfterMs?: number;
}

/**
 * Error of a failed call. Its message includes the cause and, where the caller can act, the remedy.
 */
export class CallError extends Error {
  readonly kind: CallErrorKind;

  readonly execution: Execution;

  readonly retryAfterMs: number;

  constructor({ kind, message, execution = 'not-run', retryAfterMs = 0 }: CallErrorOptions) {
    super(message);
    this.name = 'CallError';
    this.kind = kind;
    this.execution = execution;
    this.retryAfterMs = retryAfterMs;
  }

  /** HTTP status of the response to the caller. */
  get status(): number {
    return HTTP_STATUS[this.kind];
  }
}

/** Returns true if `kind` is a known error kind; peers of other versions may send others. */
export function isCallErrorKind(kind: string): kind is CallErrorKind {
  return Object.hasOwn(HTTP_STATUS, kind);
}

/**
 * Returns a `CallError` as it is, and wraps any other thrown value in one of kind `internal` with the
 * given `execution`.
 */
export function toCallError(error: unknown, execution: Execution = 'unknown'): CallError {
  if (error instanceof CallError) return error;
  const reason = error instanceof Error ? error.message : String(error);
  return new CallError({
    kind: 'internal',
    message: `unexpected error: ${reason}; report it together with the log of this process`,
    execution,
  });
}
