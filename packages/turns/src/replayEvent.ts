import type { KeptEvent } from '@marjorampin/protocol';
import type { Clock } from '@marjorampin/types';
import type { ProgramBook } from './programBook';

/** Takes an event that a keeper wrote to its disk into memory again, unless it has expired. */
export function replayEvent(
  book: ProgramBook,
  { body, program, writtenAtMs, retentionMs }: KeptEvent,
  clock: Clock,
): void {
  const ageMs = Math.max(0, clock.wallTime() - writtenAtMs);
  if (ageMs >= retentionMs) return;
  const expiresAtMs = clock.now() + retentionMs - ageMs;
  if (body.case === 'reservation') book.reserve(program, body.value, expiresAtMs);
  if (body.case !== 'record') return;
  const { turn, outputTokens } = body.value;
  book.add(body.value, expiresAtMs);
  book.settle(program, turn, outputTokens, expiresAtMs);
}
