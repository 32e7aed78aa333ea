/** Turns and the log's events after steps of the wall clock. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { CopyHolderSchema, TurnRecordSchema } from '@marjorampin/protocol';
import { toCallError } from '@marjorampin/types';
import { relevantHolders } from '../copyHolders';
import { MAXIMUM_RETENTION_MS, MISSING_COPY_EXPIRY_MS, RETENTION_MARGIN_MS } from '../retention';
import { ReachableKeepers } from './reachableKeepers';

/** Time for which the route promises to retain turns. */
const PROMISED_MS = 60_000;
const RETENTION_MS = PROMISED_MS + RETENTION_MARGIN_MS;
const LAST_MS = PROMISED_MS - 100;

interface Phase {
  atMs: number;
  /** Seconds by which the wall clocks are ahead from now on. */
  wallOffsetS: number;
  /** Keepers that restart then. */
  restarted?: string;
}

/** Steps by seconds, as clocks of hosts may take. */
const CASES: { name: string; phases: Phase[] }[] = [
  ...[5, 15, -5, -15].map((wallOffsetS) => ({
    name: `a step of ${wallOffsetS} s, and a restart of all keepers at once`,
    phases: [{ atMs: LAST_MS, wallOffsetS, restarted: 'abc' }],
  })),
  ...[15, -15].map((wallOffsetS) => ({
    name: `a step of ${wallOffsetS} s that is undone, and restarts before and after it`,
    phases: [
      { atMs: 20_000, wallOffsetS, restarted: 'abc' },
      { atMs: 40_000, wallOffsetS: 0, restarted: 'abc' },
    ],
  })),
  {
    name: 'a step back before the turn that is undone, and a restart',
    phases: [
      { atMs: 0, wallOffsetS: -15 },
      { atMs: LAST_MS, wallOffsetS: 0, restarted: 'abc' },
    ],
  },
  {
    name: 'steps in both directions, and restarts in turn',
    phases: [
      { atMs: 10_000, wallOffsetS: 8, restarted: 'a' },
      { atMs: 20_000, wallOffsetS: -8, restarted: 'b' },
      { atMs: 30_000, wallOffsetS: 8, restarted: 'c' },
      { atMs: 50_000, wallOffsetS: -8, restarted: 'abc' },
    ],
  },
  ...[3_600, 86_400].map((wallOffsetS) => ({
    name: `a step of ${wallOffsetS} s while keepers run, and a restart 6 s later`,
    phases: [
      { atMs: 20_000, wallOffsetS },
      { atMs: 26_000, wallOffsetS, restarted: 'abc' },
    ],
  })),
];

CASES.forEach(({ name, phases }) => {
  test(`LOST: a turn goes on until its retention ends despite ${name}`, async (context) => {
    const keepers = new ReachableKeepers();
    await keepers.start();
    context.after(() => keepers.close());
    const program = 'p';
    const reservationOf = (turn: string, previous?: string) => ({
      program,
      turn,
      tokens: 1,
      budget: 10,
      previous,
      retentionMs: RETENTION_MS,
    });
    const play = async (phase: Phase) => {
      await keepers.advance(phase.atMs - keepers.clock.now());
      keepers.clock.wallOffsetMs = phase.wallOffsetS * 1_000;
      await Promise.all([...(phase.restarted ?? '')].map((id) => keepers.restart(id)));
    };
    const [first, ...rest] = phases;
    if (first?.atMs === 0) await play(first);
    const store = keepers.createTurnStore();
    await store.reserve(reservationOf('t1'));
    const output = Buffer.alloc(1_000, 1);
    await store.commit(
      create(TurnRecordSchema, { turn: 't1', program, output, retentionMs: RETENTION_MS }),
    );
    for (const phase of first?.atMs === 0 ? rest : phases) await play(phase);
    await keepers.advance(LAST_MS - keepers.clock.now());
    const found = await keepers
      .createTurnStore()
      .reserve(reservationOf('t2', 't1'))
      .then(
        (chain) => chain.map(({ turn }) => turn),
        (error: unknown) => toCallError(error).kind,
      );
    assert.deepEqual(found, ['t1']);
  });
});

/** Longest timeout of a route for which this has to hold. */
const TURN_MS = 600_000;
const NOW_MS = 10 * MISSING_COPY_EXPIRY_MS;

[5, 15, -5, -15].forEach((aheadS) => {
  test(`LOST: a missing copy is needed while it may be retained, by a clock that is ${aheadS} s ahead of the writer's`, () => {
    const holders = [create(CopyHolderSchema, { id: 'a', disk: 'a1', missingSinceMs: NOW_MS })];
    const retainedMs = MAXIMUM_RETENTION_MS + TURN_MS + RETENTION_MARGIN_MS;
    const nowMs = NOW_MS + retainedMs + aheadS * 1_000;
    assert.equal(relevantHolders({ holders }, nowMs).length, 1);
  });
});
