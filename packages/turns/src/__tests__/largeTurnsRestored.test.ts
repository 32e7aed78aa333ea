/** Restoration of a lost disk that stored large turns. */
import assert from 'node:assert/strict';
import { rm } from 'node:fs/promises';
import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { TurnRecordSchema } from '@marjorampin/protocol';
import { KeeperCluster } from './keeperCluster';

const OUTPUT_BYTES = 900_000;
const RESTORATION_MS = 12_000;

[40, 80].forEach((count) => {
  test(`a lost disk with ${count} turns of 0.9 MB is restored`, { timeout: 90_000 }, async () => {
    const cluster = new KeeperCluster({ removalAfterMs: 600_000 });
    let timer: NodeJS.Timeout | undefined;
    try {
      for (const id of ['a', 'b', 'c']) await cluster.start(id);
      await cluster.untilRestored(['a', 'b', 'c']);
      // Both other keepers store all turns.
      await cluster.stop('c');
      const turns = await cluster.createTurnStore();
      for (let index = 0; index < count; index += 1) {
        await turns.commit(
          create(TurnRecordSchema, {
            turn: `t${index}`,
            program: `p${index}`,
            input: Buffer.from('in'),
            output: Buffer.alloc(OUTPUT_BYTES, index),
            outputTokens: 1,
            retentionMs: 600_000,
          }),
        );
      }
      await rm(cluster.keepers.get('c')?.folder ?? '', { recursive: true });
      await cluster.start('c', { isFirstStart: false });
      const outcome = await Promise.race([
        cluster.untilRestored(['a', 'b', 'c']).then(() => 'restored'),
        new Promise((resolve) => {
          timer = setTimeout(() => resolve('not restored'), RESTORATION_MS);
        }),
      ]);
      assert.equal(outcome, 'restored');
    } finally {
      clearTimeout(timer);
      cluster.store.get = () => Promise.reject(new Error('the test is over'));
      await cluster.close();
    }
  });
});
