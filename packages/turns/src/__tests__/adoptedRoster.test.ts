/** What a keeper promises with the roster that it copies under. */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { RosterSchema } from '@marjorampin/protocol';
import { parseRoster, ROSTER_KEY } from '../rosterRecord';
import { KeeperCluster } from './keeperCluster';

describe('a keeper that has copied its data to others under a newer roster', () => {
  [
    { name: 'goes on', restarts: false },
    { name: 'restarts before it can read that roster', restarts: true },
  ].forEach(({ name, restarts }) => {
    test(`${name}: accepts no write under the older roster`, { timeout: 30_000 }, async () => {
      const cluster = new KeeperCluster();
      try {
        for (const id of ['a', 'b', 'c']) await cluster.start(id);
        await cluster.untilRestored(['a', 'b', 'c']);
        const stored = await cluster.store.get(ROSTER_KEY);
        assert.ok(stored.ok && stored.val);
        const roster = parseRoster(stored.val.value, stored.val.version);
        assert.ok(roster);
        const newer = create(RosterSchema, { ...roster, version: roster.version + 1 });
        const address = roster.keepers.find(({ id }) => id === 'b')?.address ?? '';
        // Alone, the keeper can't restore under the newer roster.
        await Promise.all([cluster.stop('a'), cluster.stop('c')]);
        const copyPrograms = { roster: newer, receiver: 'a', after: '' };
        const copied = await cluster
          .createPool()
          .get(address)
          .call({ case: 'copyPrograms', value: copyPrograms });
        assert.equal(copied.body.case, 'programPage');
        if (restarts) {
          await cluster.stop('b');
          await cluster.start('b', { isFirstStart: false });
        }
        const reservation = { turn: 't', tokens: 10 };
        const value = {
          program: 'p',
          reservation,
          retentionMs: 60_000,
          rosterVersion: roster.version,
        };
        const reply = await cluster
          .createPool()
          .get(address)
          .call({ case: 'reserveTokens', value })
          .catch(() => undefined);
        const isCounted = reply?.body.case === 'reservations' && reply.body.value.complete;
        assert.equal(isCounted, false);
      } finally {
        await cluster.close();
      }
    });
  });
});
