import type { KeptEvent } from '@marjorampin/protocol';
import type { Clock } from '@marjorampin/types';
import type { ProgramTable } from './programTable';

/**
 * Applies the events of a keeper's log to its memory. All events of a program live as long as the one
 * that expires last, as in the memory of a keeper that was not restarted.
 */
export function replayEvents(table: ProgramTable, events: KeptEvent[], clock: Clock): void {
  const wallTimeMs = clock.wallTime();
  const remainingMs = new Map<string, number>();
  events.forEach((event) => {
    const longestMs = remainingMs.get(event.program) ?? 0;
    remainingMs.set(event.program, Math.max(longestMs, remainingOf(event, wallTimeMs)));
  });
  events.forEach((event) => {
    const leftMs = remainingMs.get(event.program) ?? 0;
    if (leftMs <= 0) return;
    applyEvent(table, event, clock.now() + leftMs);
    // The first events may have been rewritten since.
    table.recordStart(event.program, -Infinity);
  });
}

/** The wall clock may have been set back since the event was written. */
function remainingOf({ writtenAtMs, retentionMs }: KeptEvent, wallTimeMs: number): number {
  return retentionMs - Math.max(0, wallTimeMs - writtenAtMs);
}

function applyEvent(table: ProgramTable, { body, program }: KeptEvent, expiresAtMs: number): void {
  if (body.case === 'reservation') table.reserve(program, body.value, expiresAtMs);
  if (body.case !== 'record') return;
  const { turn, outputTokens } = body.value;
  table.add(program, body.value, expiresAtMs);
  if (body.value.program === program) table.settle(program, turn, outputTokens, expiresAtMs);
}
