/** What is checked before a program takes a turn. */
import { type Continuation, isWholeChain } from '@marjorampin/history';
import { CallError, type Segment } from '@marjorampin/types';
import type { Program } from './program';

/** Throws `out-of-turn` unless the continuation is a part of the program's history. */
export function checkChain(program: Program, { turn, digest }: Continuation): void {
  const known = program.segments[turn - 1]?.digest ?? '';
  if (program.turn >= turn && known === digest) return;
  const message = `the continuation's turn ${turn} is not part of the program's history; use the last answer's continuation`;
  throw new CallError({ kind: 'out-of-turn', message });
}

/** Returns the transcript when it is the history that the continuation ends. */
export function checkTranscript(
  transcript: Segment[] | undefined,
  { program, turn, digest }: Continuation,
): Segment[] | undefined {
  if (!transcript) return undefined;
  const isOwn = transcript.every((segment) => segment.program === program);
  const endsRight = transcript.length === turn && (transcript.at(-1)?.digest ?? '') === digest;
  if (isOwn && endsRight && isWholeChain(transcript)) return transcript;
  const message =
    'the transcript is not the history that the continuation ends; send the turns as the history call returned them';
  throw new CallError({ kind: 'invalid-request', message });
}

/** Returns the stored turn of a repeated request; throws when the call is out of turn. */
export function findStored(
  program: Program,
  continuation: Continuation,
  identity: string,
): Segment | undefined {
  checkChain(program, continuation);
  const next = program.segments[continuation.turn];
  if (next?.requestDigest === identity) return next;
  if (program.isEnded) {
    const message = 'the program has ended; open a new one';
    throw new CallError({ kind: 'program-ended', message });
  }
  if (!next) return undefined;
  const message = `the program is at turn ${program.turn}, the call follows turn ${continuation.turn}; use the last answer's continuation`;
  throw new CallError({ kind: 'out-of-turn', message });
}

/** Throws `program-expired` when the program's time under its contract is over. */
export function checkExpiry({ expiresMs }: Continuation, nowMs: number): void {
  if (nowMs <= expiresMs) return;
  const message = 'the program expired under its contract; open a new one';
  throw new CallError({ kind: 'program-expired', message });
}

/** Throws `not-owner` when a newer owner sealed the continuation than this process knows of. */
export function checkEpoch({ epoch }: Continuation, ownEpoch: number): void {
  if (epoch <= ownEpoch) return;
  const message = `the program has a newer owner (epoch ${epoch}, not ${ownEpoch}); ask that entry`;
  throw new CallError({ kind: 'not-owner', message, retryAfterMs: 100 });
}
