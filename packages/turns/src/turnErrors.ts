import { CallError } from '@marjorampin/types';

/** Creates the error for a turn that does not exist. The answer for a turn of another account is the
 * same, so that it does not tell whether a turn exists. */
export function unknownTurn(turn: string): CallError {
  return new CallError({
    kind: 'unknown-turn',
    message: `turn ${turn} does not exist; start a new chain with a turn that continues none`,
  });
}

/** Creates the error for a turn whose account is not stored. It has no retry delay, as the turn stays
 * without an account; status 503 tells the caller that its call has not run. */
export function unrecordedTurn(turn: string): CallError {
  return new CallError({
    kind: 'keepers-unavailable',
    message: `turn ${turn} was stored without its account; start a new chain with a turn that continues none`,
  });
}
