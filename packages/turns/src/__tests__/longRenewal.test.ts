/** Commits of turns whose long chain has to be sent to their keepers. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { create, type MessageInitShape } from '@bufbuild/protobuf';
import { type TurnRecord, TurnRecordSchema } from '@marjorampin/protocol';
import { SystemClock } from '@marjorampin/types';
import { KeeperCluster } from './keeperCluster';

const TURN_BYTES = 1_000_000;
const DEADLINE_MS = 6_000;

[8, 20].forEach((count) => {
  test(
    `a turn continues ${count} turns of 1 MB of another program`,
    { timeout: 60_000 },
    async () => {
      const clock = new SystemClock();
      const cluster = new KeeperCluster();
      try {
        for (const id of ['a', 'b', 'c']) await cluster.start(id);
        await cluster.untilRestored(['a', 'b', 'c']);
        const turns = await cluster.createTurnStore();
        const chain: TurnRecord[] = [];
        const recordOf = (init: MessageInitShape<typeof TurnRecordSchema>) =>
          create(TurnRecordSchema, {
            input: Buffer.from('in'),
            outputTokens: 1,
            retentionMs: 600_000,
            ancestors: chain.map(({ turn }) => turn),
            ...init,
          });
        for (let index = 0; index < count; index += 1) {
          const output = Buffer.alloc(TURN_BYTES, index);
          const record = recordOf({ turn: `q${index}`, program: 'q', output });
          await turns.commit(record);
          chain.push(record);
        }
        const last = recordOf({ turn: 'p0', program: 'p', output: Buffer.from('out') });
        const startedAtMs = clock.now();
        const deadlineMs = startedAtMs + DEADLINE_MS;
        const error = await turns.commit(last, { chain, deadlineMs }).catch(String);
        assert.equal(error, undefined, `after ${Math.round(clock.now() - startedAtMs)} ms`);
      } finally {
        await cluster.close();
      }
    },
  );
});
