/** What the registration of an empty disk costs while another keeper never comes back. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { KeeperCluster } from './keeperCluster';

const sleep = (ms: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

test(
  'programs that had a majority while one disk is lost and another keeper is away keep it',
  { timeout: 60_000 },
  async () => {
    const cluster = new KeeperCluster({ removalAfterMs: 1_000 });
    try {
      for (const id of ['a', 'b', 'c', 'd']) await cluster.start(id);
      await cluster.untilRestored(['a', 'b', 'c', 'd']);
      await Promise.all([cluster.stop('d'), cluster.wipe('c')]);
      await cluster.start('c', { isFirstStart: false });
      await sleep(4_000);
      const served = async (label: string) => {
        const turns = await cluster.createTurnStore();
        const names = Array.from({ length: 12 }, (_, index) => `${label}-${index}`);
        const results = await Promise.all(
          names.map((program) =>
            turns
              .reserve({
                program,
                turn: `${program}-t`,
                tokens: 1,
                budget: 10,
                previous: undefined,
                retentionMs: 60_000,
              })
              .then(
                () => true,
                () => false,
              ),
          ),
        );
        return results.filter(Boolean).length;
      };
      const before = await served('early');
      await sleep(20_000);
      const after = await served('late');
      assert.ok(before > 0 && after > 0, `${before} of 12 after 4 s, ${after} of 12 after 24 s`);
    } finally {
      await cluster.close();
    }
  },
);
