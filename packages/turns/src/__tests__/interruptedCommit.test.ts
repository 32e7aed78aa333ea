import assert from 'node:assert/strict';
import test from 'node:test';
import { create } from '@bufbuild/protobuf';
import { TurnRecordSchema } from '@marjorampin/protocol';
import { SystemClock, toCallError } from '@marjorampin/types';
import { KeeperCluster } from './keeperCluster';

const CASES = [
  { ids: ['a', 'b'], stopped: ['b'], stoppedMs: 2_500, deadlineMs: 8_000, outcome: 'ok' },
  { ids: ['a', 'b', 'c'], stopped: ['b', 'c'], stoppedMs: 2_500, deadlineMs: 8_000, outcome: 'ok' },
  {
    ids: ['a', 'b'],
    stopped: ['b'],
    stoppedMs: 4_000,
    deadlineMs: 1_500,
    outcome: 'keepers-unavailable',
  },
];

const clock = new SystemClock();

CASES.forEach(({ ids, stopped, stoppedMs, deadlineMs, outcome }) => {
  test(`the answer to a turn that has run is cut while keepers restart: ${stopped.length} of ${ids.length}, for ${stoppedMs} ms, with ${deadlineMs} ms left: ${outcome}`, async () => {
    const cluster = new KeeperCluster();
    try {
      await Promise.all(ids.map((id) => cluster.start(id)));
      await cluster.untilRestored(ids);
      const turns = await cluster.createTurnStore();
      const turn = { program: 'p', turn: 't1', retentionMs: 60_000 };
      await turns.reserve({ ...turn, tokens: 10, budget: 100, previous: undefined });
      await Promise.all(stopped.map((id) => cluster.stop(id)));
      const committed = turns
        .commit(create(TurnRecordSchema, turn), { deadlineMs: clock.now() + deadlineMs })
        .then(
          () => 'ok',
          (error: unknown) => toCallError(error).kind,
        );
      await clock.sleep(stoppedMs);
      await Promise.all(stopped.map((id) => cluster.start(id, { isFirstStart: false })));
      assert.equal(await committed, outcome);
    } finally {
      await cluster.close();
    }
  });
});
