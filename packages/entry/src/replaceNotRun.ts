import { CallError } from '@marjorampin/types';

/** Returns an error that reports `unknown` in place of `not-run`, as an earlier attempt may have run the
 * call. */
export function replaceNotRun({ kind, message, retryAfterMs, execution }: CallError): CallError {
  const reportedExecution = execution === 'not-run' ? 'unknown' : execution;
  return new CallError({ kind, message, retryAfterMs, execution: reportedExecution });
}
