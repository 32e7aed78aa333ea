/** What a commit costs keepers while it is retried. */
import assert from 'node:assert/strict';
import { readdir, stat } from 'node:fs/promises';
import { join } from 'node:path';
import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { TurnRecordSchema } from '@marjorampin/protocol';
import { SystemClock } from '@marjorampin/types';
import { KeeperCluster } from './keeperCluster';

const OUTPUT_BYTES = 100_000;
const RETRY_MS = 4_000;

async function bytesOf(folder: string): Promise<number> {
  const names = await readdir(folder);
  const sizes = await Promise.all(names.map(async (name) => (await stat(join(folder, name))).size));
  return sizes.reduce((sum, size) => sum + size, 0);
}

test(
  'a turn that is retried until its deadline is written to a disk a few times at most',
  { timeout: 30_000 },
  async () => {
    const clock = new SystemClock();
    const cluster = new KeeperCluster();
    try {
      for (const id of ['a', 'b', 'c']) await cluster.start(id);
      await cluster.untilRestored(['a', 'b', 'c']);
      const turns = await cluster.createTurnStore();
      await Promise.all([cluster.stop('c'), cluster.wipe('b')]);
      await cluster.start('b', { isFirstStart: false });
      const record = create(TurnRecordSchema, {
        turn: 't',
        program: 'p',
        input: Buffer.from('in'),
        output: Buffer.alloc(OUTPUT_BYTES, 1),
        outputTokens: 1,
        retentionMs: 60_000,
      });
      const folder = cluster.keepers.get('a')?.folder ?? '';
      const before = await bytesOf(folder);
      const isStored = await turns.commit(record, { deadlineMs: clock.now() + RETRY_MS }).then(
        () => true,
        () => false,
      );
      const written = (await bytesOf(folder)) - before;
      assert.equal(isStored, false);
      assert.ok(written < 3 * OUTPUT_BYTES, `${written} bytes for a turn of ${OUTPUT_BYTES}`);
    } finally {
      await cluster.close();
    }
  },
);
