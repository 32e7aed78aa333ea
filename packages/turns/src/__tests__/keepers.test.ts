import assert from 'node:assert/strict';
import test from 'node:test';
import { create } from '@bufbuild/protobuf';
import { type TurnRecord, TurnRecordSchema } from '@marjorampin/protocol';
import { CallError } from '@marjorampin/types';
import type { TurnReservation, TurnStore } from '../turnStore';
import { ROSTER_KEY } from '../rosterRecord';
import { KeeperCluster } from './keeperCluster';

const IDS = ['a', 'b', 'c', 'd'];

const reservationOf = (turn: string, previous?: string, program = 'p'): TurnReservation => ({
  program,
  turn,
  tokens: 100,
  budget: 250,
  previous,
  retentionMs: 60_000,
});

const recordOf = (turn: string, ancestors: string[] = [], program = 'p'): TurnRecord =>
  create(TurnRecordSchema, {
    turn,
    program,
    ancestors,
    input: Buffer.from(`in ${turn}`),
    output: Buffer.from(`out ${turn}`),
    outputTokens: 10,
    endpoint: 'e',
    retentionMs: 60_000,
  });

/** Returns `ok` or the kind of the error. */
const outcomeOf = async (action: Promise<unknown>): Promise<string> => {
  try {
    await action;
    return 'ok';
  } catch (error) {
    return error instanceof CallError ? error.kind : String(error);
  }
};

const shortDelay = () =>
  new Promise((resolve) => {
    setTimeout(resolve, 20);
  });

/** Repeats an action until its outcome is as expected. A change takes effect at one keeper after the
 * other; until then, the action may fail with `keepers-unavailable`. */
const eventually = async (expected: string, action: () => Promise<unknown>): Promise<void> => {
  while (true) {
    const kind = await outcomeOf(action());
    if (kind === expected) return;
    assert.equal(kind, 'keepers-unavailable');
    await shortDelay();
  }
};

const isFailedRosterWrite = ({ event }: { event: string }) => event === 'rosterWriteFailed';

interface Case {
  name: string;
  run(cluster: KeeperCluster, turns: TurnStore): Promise<void>;
}

const CASES: Case[] = [
  {
    name: 'another entry reads a turn and its ancestors',
    async run(cluster, turns) {
      await turns.reserve(reservationOf('t1'));
      await turns.commit(recordOf('t1'));
      await turns.reserve(reservationOf('t2', 't1'));
      await turns.commit(recordOf('t2', ['t1']));
      const other = await cluster.createTurnStore();
      const chain = await other.reserve(reservationOf('t3', 't2'));
      assert.deepEqual(
        chain.map(({ turn }) => turn),
        ['t1', 't2'],
      );
    },
  },
  {
    name: 'another program continues from a turn',
    async run(cluster, turns) {
      await turns.reserve(reservationOf('t1'));
      await turns.commit(recordOf('t1'));
      const other = await cluster.createTurnStore();
      const chain = await other.reserve(reservationOf('t2', 't1', 'another'));
      assert.equal(chain.length, 1);
    },
  },
  {
    name: 'a turn that never existed is reported as unknown',
    async run(_, turns) {
      assert.equal(await outcomeOf(turns.reserve(reservationOf('t2', 'missing'))), 'unknown-turn');
    },
  },
  {
    name: 'no turn is reported as unknown while two of four keepers are down',
    async run(cluster, turns) {
      await cluster.stop('a');
      await cluster.stop('b');
      assert.equal(
        await outcomeOf(turns.reserve(reservationOf('t2', 'missing'))),
        'keepers-unavailable',
      );
    },
  },
  {
    name: 'concurrent turns never reserve more than the budget',
    async run(cluster, turns) {
      const entries = [turns, await cluster.createTurnStore(), await cluster.createTurnStore()];
      const kinds = await Promise.all(
        ['t1', 't2', 't3', 't4', 't5', 't6'].map((turn, index) =>
          outcomeOf((entries[index % 3] ?? turns).reserve(reservationOf(turn))),
        ),
      );
      assert.ok(kinds.filter((kind) => kind === 'ok').length <= 2, kinds.join());
    },
  },
  {
    name: 'a settlement releases the tokens that the turn did not use',
    async run(_, turns) {
      await turns.reserve(reservationOf('t1'));
      await turns.settle(reservationOf('t1'), 20);
      await turns.reserve(reservationOf('t2'));
      assert.equal(await outcomeOf(turns.reserve(reservationOf('t3'))), 'ok');
    },
  },
  {
    name: 'a reservation that reached no majority is released',
    async run(cluster, turns) {
      await Promise.all(IDS.slice(1).map((id) => cluster.stop(id)));
      assert.equal(await outcomeOf(turns.reserve(reservationOf('t1'))), 'keepers-unavailable');
      assert.equal(await outcomeOf(turns.reserve(reservationOf('t2'))), 'keepers-unavailable');
      await Promise.all(IDS.slice(1).map((id) => cluster.start(id)));
      await eventually('ok', () => turns.reserve(reservationOf('t3')));
    },
  },
  {
    name: 'keepers serve turns after all of them restart while the store is down',
    async run(cluster, turns) {
      await turns.reserve(reservationOf('t1'));
      await turns.commit(recordOf('t1'));
      Object.assign(cluster.store.faults, { down: true });
      await Promise.all(IDS.map((id) => cluster.stop(id)));
      await Promise.all(IDS.map((id) => cluster.start(id)));
      await eventually('ok', () => turns.reserve(reservationOf('t2', 't1')));
    },
  },
  {
    name: 'a turn survives when all keepers are wiped one after the other',
    async run(cluster, turns) {
      await turns.reserve(reservationOf('t1'));
      await turns.commit(recordOf('t1'));
      for (const id of IDS) {
        await cluster.wipe(id);
        await cluster.start(id, { isFirstStart: false });
        await cluster.untilRestored(IDS);
      }
      const other = await cluster.createTurnStore();
      await eventually('ok', () => other.reserve(reservationOf('t2', 't1')));
    },
  },
  {
    name: 'a wiped keeper is not complete before the roster lists its new disk',
    async run(cluster, turns) {
      await turns.reserve(reservationOf('t1'));
      await turns.commit(recordOf('t1'));
      await cluster.wipe('a');
      const { faults } = cluster.store;
      faults.refusesWrites = true;
      const { process } = await cluster.start('a', { isFirstStart: false });
      // By the second failed write, a restoration under the old roster would have finished.
      while (cluster.log.events.filter(isFailedRosterWrite).length < 2) await shortDelay();
      assert.equal(process.isComplete, false);
      faults.refusesWrites = false;
      await cluster.untilRestored(IDS);
    },
  },
  {
    name: 'a new keeper replaces a lost one',
    async run(cluster, turns) {
      await turns.reserve(reservationOf('t1'));
      await turns.commit(recordOf('t1'));
      await cluster.wipe('a');
      await cluster.start('e', { isFirstStart: false });
      await cluster.untilRestored(['b', 'c', 'd', 'e']);
      await cluster.wipe('b');
      const other = await cluster.createTurnStore();
      await eventually('ok', () => other.reserve(reservationOf('t2', 't1')));
    },
  },
  {
    name: 'an entry is ready only while it reaches enough keepers',
    async run(cluster, turns) {
      await cluster.stop('a');
      await cluster.stop('b');
      const outcomes = new Map<string, string>();
      for (let index = 0; index < 24; index += 1) {
        const program = `program-${index}`;
        outcomes.set(
          program,
          await outcomeOf(turns.reserve(reservationOf('t1', undefined, program))),
        );
      }
      assert.equal(turns.isReady, false);
      // Only groups of three keepers that include both stopped ones have lost their majority.
      const refused = [...outcomes].filter(([, outcome]) => outcome === 'keepers-unavailable');
      const served = [...outcomes].filter(([, outcome]) => outcome === 'ok');
      assert.ok(refused.length > 0 && served.length > 0, JSON.stringify([...outcomes]));
      assert.equal(refused.length + served.length, outcomes.size);
      await cluster.start('a');
      while (!turns.isReady) await shortDelay();
      for (const [program] of refused) {
        await eventually('ok', () => turns.reserve(reservationOf('t2', undefined, program)));
      }
    },
  },
  {
    name: 'a chain whose turns are stored by different keepers is read',
    async run(cluster, turns) {
      await cluster.stop('b');
      await turns.reserve(reservationOf('t1'));
      await turns.commit(recordOf('t1'));
      await cluster.start('b');
      await cluster.untilRestored(IDS);
      await cluster.stop('c');
      await turns.reserve(reservationOf('t2', 't1'));
      await turns.commit(recordOf('t2', ['t1']));
      await cluster.start('c');
      await cluster.untilRestored(IDS);
      await cluster.stop('a');
      const other = await cluster.createTurnStore();
      await eventually('ok', () => other.reserve(reservationOf('t3', 't2')));
    },
  },
  {
    name: 'a chain that no keeper stores as a whole is read while one is down',
    async run(cluster, turns) {
      // With three keepers, all of them store every program, and each turn is on two of them.
      await cluster.wipe('d');
      await cluster.untilRestored(['a', 'b', 'c']);
      const chain: string[] = [];
      for (const stopped of ['c', 'a', 'b']) {
        await cluster.stop(stopped);
        const turn = `without-${stopped}`;
        await eventually('ok', () => turns.reserve(reservationOf(turn, chain.at(-1))));
        await turns.commit(recordOf(turn, chain));
        chain.push(turn);
        await cluster.start(stopped);
        await cluster.untilRestored(['a', 'b', 'c']);
      }
      await cluster.stop('a');
      const other = await cluster.createTurnStore();
      await eventually('ok', () => other.reserve(reservationOf('next', chain.at(-1))));
    },
  },
  {
    name: 'a turn survives the loss of two keepers one after the other',
    async run(cluster, turns) {
      await turns.reserve(reservationOf('t1'));
      await turns.commit(recordOf('t1'));
      for (const [lost, remaining] of [
        ['a', ['b', 'c', 'd']],
        ['b', ['c', 'd']],
      ] as const) {
        await cluster.wipe(lost);
        await cluster.untilRestored([...remaining]);
      }
      const other = await cluster.createTurnStore();
      await eventually('ok', () => other.reserve(reservationOf('t2', 't1')));
    },
  },
  {
    name: 'a keeper whose disk stalls neither holds turns up nor counts as storing them',
    async run(cluster, turns) {
      cluster.stallDisk('a');
      const chain = ['t1', 't2', 't3', 't4', 't5', 't6'];
      for (const [index, turn] of chain.entries()) {
        assert.equal(await outcomeOf(turns.reserve(reservationOf(turn, chain[index - 1]))), 'ok');
        assert.equal(await outcomeOf(turns.commit(recordOf(turn, chain.slice(0, index)))), 'ok');
      }
      await cluster.stop('a');
      const other = await cluster.createTurnStore();
      const found = await other.reserve(reservationOf('t7', 't6'));
      assert.deepEqual(
        found.map(({ turn }) => turn),
        chain,
      );
    },
  },
  ...['', 'null', '{"keepers":[{}]}', '['.repeat(100_000)].map((text) => ({
    name: `an unreadable roster (${text.slice(0, 20)}) is written again`,
    async run(cluster: KeeperCluster, turns: TurnStore) {
      assert.equal(await outcomeOf(turns.reserve(reservationOf('t1'))), 'ok');
      const before = (await cluster.store.get(ROSTER_KEY)).unwrap();
      const expectedVersion = before?.version ?? 0;
      const odd = { key: ROSTER_KEY, value: text, expectedVersion };
      (await cluster.store.compareAndSwap(odd)).unwrap();
      assert.equal(await outcomeOf(turns.commit(recordOf('t1'))), 'ok');
      await cluster.untilRestored(IDS);
      const unreadable = cluster.log.events.filter(({ event }) => event === 'rosterUnreadable');
      assert.ok(unreadable.length <= IDS.length);
      await cluster.adoptStoredRoster(turns);
      await eventually('ok', () => turns.reserve(reservationOf('t2', 't1')));
    },
  })),
  {
    name: 'the data of a retiring keeper is copied before it leaves',
    async run(cluster, turns) {
      await turns.reserve(reservationOf('t1'));
      await turns.commit(recordOf('t1'));
      const retiring = cluster.keepers.get('a');
      retiring?.orders.issue();
      await cluster.untilRestored(['b', 'c', 'd']);
      while (!retiring?.orders.reports.includes('completed')) {
        await shortDelay();
      }
      await cluster.wipe('a');
      await cluster.wipe('b');
      const other = await cluster.createTurnStore();
      await eventually('ok', () => other.reserve(reservationOf('t2', 't1')));
    },
  },
];

CASES.forEach(({ name, run }) => {
  test(`keepers: ${name}`, { timeout: 60_000 }, async () => {
    const cluster = new KeeperCluster();
    try {
      for (const id of IDS) await cluster.start(id);
      await cluster.untilRestored(IDS);
      await run(cluster, await cluster.createTurnStore());
    } finally {
      await cluster.close();
    }
  });
});
