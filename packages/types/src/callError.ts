/** Whether the action behind a failed call was executed. */
export type Execution = 'not-run' | 'done' | 'unknown';

/** Every reason for which a call can fail. */
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
  'unknown-turn': 404,
  'unknown-route': 404,
  'keepers-unavailable': 503,
  'not-configured': 503,
  'header-too-large': 431,
  'request-timeout': 408,
  internal: 500,
};

/** What a `CallError` is made of. `retryAfterMs` is the time after which to come back. */
export interface CallErrorOptions {
  kind: CallErrorKind;
  message: string;
  execution?: Execution;
  retryAfterMs?: number;
}

/** A call that failed, with its remedy in the message and whether its action ran. */
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

  /** The HTTP status that callers get for this error. */
  get status(): number {
    return HTTP_STATUS[this.kind];
  }
}

/** Returns true when `kind` is one of the known reasons, for errors read from a peer. */
export function isCallErrorKind(kind: string): kind is CallErrorKind {
  return Object.hasOwn(HTTP_STATUS, kind);
}

/** Turns anything thrown into a `CallError`; `execution` says what is known about the action. */
export function toCallError(error: unknown, execution: Execution = 'unknown'): CallError {
  if (error instanceof CallError) return error;
  const reason = error instanceof Error ? error.message : String(error);
  return new CallError({
    kind: 'internal',
    message: `unexpected failure: ${reason}; report it with the log of this process`,
    execution,
  });
}
