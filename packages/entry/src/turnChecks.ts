/** Checks of a call and its continuation before a program takes a turn. */
import { type Continuation, isValidChain } from '@marjorampin/history';
import { CallError, type Segment } from '@marjorampin/types';
import type { Program } from './program';

/** Throws `out-of-turn` unless the continuation matches a turn of the program's history. */
export function checkChain(program: Program, { turn, digest }: Continuation): void {
  const knownDigest = program.segments[turn - 1]?.digest ?? '';
  if (program.turn >= turn && knownDigest === digest) return;
  const message = `the continuation's turn ${turn} is not part of the program's history; use the last answer's continuation`;
  throw new CallError({ kind: 'out-of-turn', message });
}

/** Returns the transcript if it ends at the continuation's turn; else throws `invalid-request`. */
export function checkTranscript(
  transcript: Segment[] | undefined,
  { program, turn, digest }: Continuation,
): Segment[] | undefined {
  if (!transcript) return undefined;
  const isSameProgram = transcript.every((segment) => segment.program === program);
  const endsAtContinuation =
    transcript.length === turn && (transcript.at(-1)?.digest ?? '') === digest;
  if (isSameProgram && endsAtContinuation && isValidChain(transcript)) return transcript;
  const message =
    'the transcript does not match the continuation; send the turns as the history call returned them';
  throw new CallError({ kind: 'invalid-request', message });
}

/**
 * Returns the stored turn of a repeated request, or undefined for a new one; throws
 * `out-of-turn` or `program-ended`.
 */
export function findStoredTurn(
  program: Program,
  continuation: Continuation,
  requestDigest: string,
): Segment | undefined {
  checkChain(program, continuation);
  const next = program.segments[continuation.turn];
  if (next?.requestDigest === requestDigest) return next;
  if (program.isEnded) {
    const message = 'the program has ended; open a new one';
    throw new CallError({ kind: 'program-ended', message });
  }
  if (!next) return undefined;
  const message = `the program is at turn ${program.turn}, the call follows turn ${continuation.turn}; use the last answer's continuation`;
  throw new CallError({ kind: 'out-of-turn', message });
}

/** Throws `program-expired` after the lifetime that the contract allows the program. */
export function checkExpiry({ expiresMs }: Continuation, nowMs: number): void {
  if (nowMs <= expiresMs) return;
  const message = 'the program has reached the lifetime that its contract allows; open a new one';
  throw new CallError({ kind: 'program-expired', message });
}

/** Throws `not-owner` if the continuation was sealed under a newer epoch than `ownEpoch`. */
export function checkEpoch({ epoch }: Continuation, ownEpoch: number): void {
  if (epoch <= ownEpoch) return;
  const message = `the program has a newer owner (epoch ${epoch}, not ${ownEpoch}); send the call to that entry`;
  throw new CallError({ kind: 'not-owner', message, retryAfterMs: 100 });
}
