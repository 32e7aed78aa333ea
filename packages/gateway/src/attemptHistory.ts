import type { Route } from '@marjorampin/routing';
import { CallError } from '@marjorampin/types';

/** Failed connections don't count as attempts of the call; this limits them separately. */
const MAXIMUM_CONNECTION_FAILURES = 4;

/** Attempts of one call so far; decides whether it may be sent again and what its caller is told. */
export class AttemptHistory {
  /** Endpoints that are not tried again. */
  readonly triedIds = new Set<string>();

  private readonly route: Route;

  private attempts = 0;

  private connectionFailures = 0;

  private wasPossiblyRun = false;

  constructor(route: Route) {
    this.route = route;
  }

  /** Whether an endpoint may have run the call. */
  get mayHaveRun(): boolean {
    return this.wasPossiblyRun;
  }

  /** Records the failure of an attempt. */
  record({ kind, execution }: CallError): void {
    const wasSent = kind !== 'endpoint-failed' || execution !== 'not-run';
    if (wasSent) this.attempts += 1;
    else this.connectionFailures += 1;
    if (execution !== 'not-run') this.wasPossiblyRun = true;
  }

  /** Returns whether the call may be sent again after the failure that was recorded last. */
  allowsRepeat({ kind: failureKind, execution }: CallError): boolean {
    if (failureKind === 'invalid-request') return false;
    const { kind, isResumable, maximumAttempts } = this.route;
    const isRepeatable = kind === 'idempotent' || isResumable;
    if (execution !== 'not-run' && !isRepeatable) return false;
    const isExhausted =
      this.attempts >= maximumAttempts || this.connectionFailures >= MAXIMUM_CONNECTION_FAILURES;
    return !isExhausted;
  }

  /** Returns the error for the caller: a call that may have run is never reported as not run. */
  outcomeOf(error: CallError): CallError {
    if (!this.wasPossiblyRun || error.execution !== 'not-run') return error;
    const message = `${error.message}; an earlier attempt may have run`;
    return new CallError({ kind: 'endpoint-failed', message, execution: 'unknown' });
  }
}
