/** Rosters that keepers of an earlier version of marjorampin write or pass on, without holders. */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { loadHash } from '@marjorampin/membership';
import {
  CopyHolderSchema,
  type Roster,
  RosterSchema,
  TurnRecordSchema,
} from '@marjorampin/protocol';
import { StoreError } from '@marjorampin/store';
import { Err, ManualClock, toCallError } from '@marjorampin/types';
import { KeeperHandler } from '../keeperHandler';
import { ProgramTable } from '../programTable';
import { parseRoster, ROSTER_KEY } from '../rosterRecord';
import { KeeperCluster } from './keeperCluster';

const RETENTION_MS = 60_000;
const SILENCE_MS = 6_000;
const RECOVERY_MS = 15_000;
const POLL_MS = 200;
const hash = await loadHash();

const sleep = (ms: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Returns a roster of keepers from text like `a b`, without holders unless some are given. */
function rosterOf(version: number, ids: string, holders = ''): Roster {
  const keepers = ids.split(' ').map((id) => ({ id, address: id, domain: id, disk: id }));
  const listed = holders.split(' ').filter(Boolean);
  return create(RosterSchema, {
    version,
    keepers,
    holders: listed.map((id) => ({ id, disk: id, missingSinceMs: ids.includes(id) ? 0 : 1 })),
    minimumCopies: listed.length > 0 ? 2 : 0,
    wholeVersion: listed.length > 0 ? 1 : 0,
  });
}

interface Case {
  name: string;
  /** Rosters in the order in which they are adopted; the keeper restores under each. */
  rosters: Roster[];
  holders: string;
  isComplete: boolean;
}

const CASES: Case[] = [
  {
    name: 'a roster without holders follows one with a missing disk',
    rosters: [rosterOf(2, 'a b c', 'a b c d'), rosterOf(3, 'a b c')],
    holders: 'a b c d',
    isComplete: true,
  },
  {
    name: 'a roster without holders lacks a keeper',
    rosters: [rosterOf(2, 'a b c', 'a b c'), rosterOf(3, 'a b')],
    holders: 'a b c',
    isComplete: true,
  },
  {
    name: 'two rosters without holders follow each other',
    rosters: [rosterOf(2, 'a b c', 'a b c d'), rosterOf(3, 'a b'), rosterOf(4, 'a b c')],
    holders: 'a b c d',
    isComplete: true,
  },
  {
    name: 'a roster is passed on without holders, and read with them later',
    rosters: [rosterOf(3, 'a b c'), rosterOf(3, 'a b c', 'a b c d')],
    holders: 'a b c d',
    isComplete: false,
  },
  {
    name: 'a roster is completed, and read with its holders later',
    rosters: [rosterOf(2, 'a b c', 'a b c d'), rosterOf(3, 'a b c'), rosterOf(3, 'a b c', 'a b c')],
    holders: 'a b c',
    isComplete: false,
  },
  {
    name: 'a roster that is known is passed on without holders',
    rosters: [rosterOf(3, 'a b c', 'a b c d'), rosterOf(3, 'a b c')],
    holders: 'a b c d',
    isComplete: true,
  },
  {
    name: 'no roster with holders is known',
    rosters: [rosterOf(2, 'a b c'), rosterOf(3, 'a b')],
    holders: '',
    isComplete: true,
  },
];

describe('LOST: a keeper forgets no missing disk while another one runs an earlier version', () => {
  CASES.forEach(({ name, rosters, holders, isComplete }) => {
    test(name, () => {
      const clock = new ManualClock();
      const unavailable = new StoreError({ kind: 'unavailable', message: 'there is no store' });
      const handler = new KeeperHandler({
        table: new ProgramTable(),
        durableLog: { append: async () => undefined },
        clock,
        hash,
        lossLimit: 1,
        listValues: async () => Err(unavailable),
      });
      const isRestored = rosters.map((roster, index) => {
        handler.adopt(roster);
        const isLast = index === rosters.length - 1;
        if (!isLast || roster.version > (rosters[index - 1]?.version ?? 0)) {
          handler.markRestored(roster.version);
        }
        return handler.isComplete;
      });
      const known = handler.roster?.holders.map(({ id }) => id).sort();
      assert.deepEqual(known?.join(' '), holders);
      assert.equal(isRestored.at(-1), isComplete);
    });
  });
});

test(
  'LOST: a keeper whose roster states its holders during a restoration copies from them, too',
  { timeout: 30_000 },
  async () => {
    const cluster = new KeeperCluster();
    try {
      for (const id of ['a', 'b', 'c']) await cluster.start(id);
      await cluster.untilRestored(['a', 'b', 'c']);
      const stored = await cluster.store.get(ROSTER_KEY);
      assert.ok(stored.ok && stored.val);
      const version = stored.val.version + 1;
      const roster = parseRoster(stored.val.value, version);
      const { handler } = cluster.keepers.get('a')?.process as unknown as {
        handler: KeeperHandler;
      };
      assert.ok(roster);
      const missing = ['d', 'e'].map((id) =>
        create(CopyHolderSchema, { id, disk: id, missingSinceMs: Date.now() }),
      );
      const holders = [...roster.holders, ...missing];
      const whole = { minimumCopies: 2, wholeVersion: 1 };
      handler.adopt(create(RosterSchema, { ...roster, holders: [], minimumCopies: 0 }));
      handler.adopt(create(RosterSchema, { ...roster, ...whole, holders }));
      assert.equal(handler.isComplete, false);
      await sleep(2 * POLL_MS);
      // Two disks can't be read, and one of them is needed.
      assert.equal(handler.isComplete, false);
    } finally {
      await cluster.close();
    }
  },
);

test(
  'LOST: a roster that a keeper of an earlier version writes without the missing disks leads to no 404',
  { timeout: 60_000 },
  async () => {
    const cluster = new KeeperCluster();
    try {
      for (const id of ['a', 'b', 'c']) await cluster.start(id);
      await cluster.untilRestored(['a', 'b', 'c']);
      const peers = cluster.createPool();
      const reservationOf = (turn: string, previous?: string) => ({
        program: 'p',
        turn,
        tokens: 0,
        budget: 100,
        previous,
        retentionMs: RETENTION_MS,
      });
      await cluster.stop('c');
      const first = await cluster.createTurnStore({ peers });
      await first.reserve(reservationOf('t1'));
      const fields = { turn: 't1', program: 'p', output: Buffer.from('x') };
      await first.commit(create(TurnRecordSchema, { ...fields, retentionMs: RETENTION_MS }));
      first.stop();
      await cluster.start('c', { isFirstStart: false });
      await cluster.untilRestored(['a', 'b', 'c']);
      await Promise.all([cluster.stop('b'), cluster.wipe('a')]);
      await cluster.start('a', { isFirstStart: false });
      await sleep(POLL_MS);
      // The write of a keeper that removes the silent one and knows no holders.
      const stored = await cluster.store.get(ROSTER_KEY);
      assert.ok(stored.ok && stored.val);
      const { keepers } = JSON.parse(stored.val.value) as {
        keepers: { id: string; disk: string }[];
      };
      const { disk } = (cluster.keepers.get('a')?.process as unknown as { state: { disk: string } })
        .state;
      const left = keepers
        .filter(({ id }) => id !== 'b')
        .map((keeper) => (keeper.id === 'a' ? { ...keeper, disk } : keeper));
      const expectedVersion = stored.val.version;
      const value = JSON.stringify({ keepers: left });
      const written = await cluster.store.compareAndSwap({
        key: ROSTER_KEY,
        value,
        expectedVersion,
      });
      assert.ok(written.ok);
      assert.equal(parseRoster(value, written.val)?.minimumCopies, 0);
      let count = 0;
      const goOn = async () => {
        const store = await cluster.createTurnStore({ peers });
        count += 1;
        const outcome = await store.reserve(reservationOf(`n${count}`, 't1')).then(
          () => 'ok',
          (error: unknown) => toCallError(error).kind,
        );
        store.stop();
        assert.ok(['ok', 'keepers-unavailable'].includes(outcome), outcome);
        return outcome;
      };
      const silentUntilMs = performance.now() + SILENCE_MS;
      while (performance.now() < silentUntilMs) {
        await goOn();
        await sleep(POLL_MS);
      }
      await cluster.start('b', { isFirstStart: false });
      const backUntilMs = performance.now() + RECOVERY_MS;
      while ((await goOn()) !== 'ok') {
        assert.ok(performance.now() < backUntilMs, 'the turn does not go on');
        await sleep(POLL_MS);
      }
    } finally {
      await cluster.close();
    }
  },
);
