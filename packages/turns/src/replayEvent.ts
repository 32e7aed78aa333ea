import type { KeptEvent } from '@marjorampin/protocol';
import type { Clock } from '@marjorampin/types';
import type { ProgramTable } from './programTable';

/** Applies an event from a keeper's log to its memory, unless the event has expired. */
export function replayEvent(
  table: ProgramTable,
  { body, program, writtenAtMs, retentionMs }: KeptEvent,
  clock: Clock,
): void {
  const ageMs = Math.max(0, clock.wallTime() - writtenAtMs);
  if (ageMs >= retentionMs) return;
  const expiresAtMs = clock.now() + retentionMs - ageMs;
  if (body.case === 'reservation') table.reserve(program, body.value, expiresAtMs);
  if (body.case !== 'record') return;
  const { turn, outputTokens } = body.value;
  table.add(body.value, expiresAtMs);
  table.settle(program, turn, outputTokens, expiresAtMs);
}
