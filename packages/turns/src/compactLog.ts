import { create } from '@bufbuild/protobuf';
import { type KeptEvent, KeptEventSchema } from '@marjorampin/protocol';
import type { Clock } from '@marjorampin/types';
import type { DurableLog } from './durableLog';
import type { ProgramTable } from './programTable';
import { RENEWAL_AGE_MS } from './retention';

/** Options of `compactLog`. */
export interface CompactLogOptions {
  table: ProgramTable;
  durableLog: DurableLog;
  clock: Clock;
}

/**
 * Removes what has expired from a keeper's memory and log. Answers programs that outlast the retention
 * of their first events: these are written again before their segments are deleted. Segments with
 * programs that could not be rewritten stay; rejects with the error of the first of these.
 */
export async function compactLog({ table, durableLog, clock }: CompactLogOptions): Promise<void> {
  table.expire(clock.now());
  const wallTimeMs = clock.wallTime();
  const programs = durableLog
    .expiringPrograms(wallTimeMs)
    .filter(({ program, expiresAtMs }) => {
      const remainingMs = table.remainingMs(program, clock.now());
      return remainingMs === 0 || remainingMs - (expiresAtMs - wallTimeMs) > RENEWAL_AGE_MS;
    })
    .map(({ program }) => program);
  const results = await Promise.allSettled(
    programs.map((program) => durableLog.rewrite(program, eventsOf(table, program, clock))),
  );
  const isFailed = (index: number) => results[index]?.status === 'rejected';
  const failed = new Set(programs.filter((_, index) => isFailed(index)));
  await durableLog.dropExpired(wallTimeMs, failed);
  const rejected = results.find((result) => result.status === 'rejected');
  if (rejected) throw rejected.reason;
}

/** Returns the events that restore a program; none if it has expired. */
function eventsOf(table: ProgramTable, program: string, clock: Clock): KeptEvent[] {
  const { reservations, records } = table.contents(program);
  const retentionMs = table.remainingMs(program, clock.now());
  const writtenAtMs = clock.wallTime();
  const bodies: KeptEvent['body'][] = [
    ...records.map((value) => ({ case: 'record' as const, value })),
    ...reservations.map((value) => ({ case: 'reservation' as const, value })),
  ];
  return bodies.map((body) => create(KeptEventSchema, { body, program, writtenAtMs, retentionMs }));
}
