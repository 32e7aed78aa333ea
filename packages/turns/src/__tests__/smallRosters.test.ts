/** How many keepers have to be listed before turns are stored. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { TurnRecordSchema } from '@marjorampin/protocol';
import { toCallError } from '@marjorampin/types';
import { KeeperCluster } from './keeperCluster';

const RETENTION_MS = 60_000;

interface Case {
  name: string;
  lossLimit: number;
  keepers: number;
  isServed: boolean;
}

const CASES: Case[] = [
  { name: 'one keeper, no loss', lossLimit: 0, keepers: 1, isServed: true },
  { name: 'one keeper, one loss', lossLimit: 1, keepers: 1, isServed: false },
  { name: 'two keepers, one loss', lossLimit: 1, keepers: 2, isServed: true },
  { name: 'two keepers, two losses', lossLimit: 2, keepers: 2, isServed: false },
  { name: 'three keepers, two losses', lossLimit: 2, keepers: 3, isServed: true },
];

const outcomeOf = (promise: Promise<unknown>): Promise<string> =>
  promise.then(
    () => 'ok',
    (error: unknown) => toCallError(error).kind,
  );

CASES.forEach(({ name, lossLimit, keepers, isServed }) => {
  test(
    `turns are ${isServed ? 'stored' : 'refused'}: ${name} tolerated`,
    { timeout: 30_000 },
    async () => {
      const cluster = new KeeperCluster({ lossLimit });
      try {
        const ids = [...'abc'].slice(0, keepers);
        for (const id of ids) await cluster.start(id);
        await cluster.untilRestored(ids);
        const turns = await cluster.createTurnStore();
        const expected = isServed ? 'ok' : 'keepers-unavailable';
        const reservation = { program: 'p', turn: 't', tokens: 1, budget: 10, previous: undefined };
        const reserved = turns.reserve({ ...reservation, retentionMs: RETENTION_MS });
        assert.equal(await outcomeOf(reserved), expected);
        const record = create(TurnRecordSchema, {
          turn: 't',
          program: 'p',
          outputTokens: 1,
          retentionMs: RETENTION_MS,
        });
        assert.equal(await outcomeOf(turns.commit(record)), expected);
        assert.equal(turns.isReady, isServed);
      } finally {
        await cluster.close();
      }
    },
  );
});
