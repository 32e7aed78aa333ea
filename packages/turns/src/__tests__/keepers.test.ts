import assert from 'node:assert/strict';
import test from 'node:test';
import { create } from '@bufbuild/protobuf';
import { type TurnRecord, TurnRecordSchema } from '@marjorampin/protocol';
import { CallError } from '@marjorampin/types';
import type { TurnReservation, TurnStore } from '../turnStore';
import { KeeperCluster } from './keeperCluster';

const IDS = ['a', 'b', 'c', 'd'];

const wish = (turn: string, previous?: string, program = 'p'): TurnReservation => ({
  program,
  turn,
  tokens: 100,
  budget: 250,
  previous,
  retentionMs: 60_000,
});

const record = (turn: string, ancestors: string[] = [], program = 'p'): TurnRecord =>
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

const kindOf = async (action: Promise<unknown>): Promise<string> => {
  try {
    await action;
    return 'fine';
  } catch (error) {
    return error instanceof CallError ? error.kind : String(error);
  }
};

/** Runs an action until it ends as wanted: keepers learn of a change one after the other. */
const eventually = async (wanted: string, action: () => Promise<unknown>): Promise<void> => {
  while (true) {
    const kind = await kindOf(action());
    if (kind === wanted) return;
    assert.equal(kind, 'keepers-unavailable');
  }
};

const nextTick = () =>
  new Promise((resolve) => {
    setTimeout(resolve, 20);
  });

const isRefusedWrite = ({ event }: { event: string }) => event === 'rosterWriteFailed';

interface Case {
  name: string;
  run(cluster: KeeperCluster, turns: TurnStore): Promise<void>;
}

const CASES: Case[] = [
  {
    name: 'a turn is read by another entry, with those before it',
    async run(cluster, turns) {
      await turns.reserve(wish('t1'));
      await turns.commit(record('t1'));
      await turns.reserve(wish('t2', 't1'));
      await turns.commit(record('t2', ['t1']));
      const other = await cluster.turnStore();
      const chain = await other.reserve(wish('t3', 't2'));
      assert.deepEqual(
        chain.map(({ turn }) => turn),
        ['t1', 't2'],
      );
    },
  },
  {
    name: 'another program continues from a turn',
    async run(cluster, turns) {
      await turns.reserve(wish('t1'));
      await turns.commit(record('t1'));
      const other = await cluster.turnStore();
      const chain = await other.reserve(wish('t2', 't1', 'another'));
      assert.equal(chain.length, 1);
    },
  },
  {
    name: 'a turn that never was is denied',
    async run(_, turns) {
      assert.equal(await kindOf(turns.reserve(wish('t2', 'never'))), 'unknown-turn');
    },
  },
  {
    name: 'a turn that never was is not denied while two of four keepers are away',
    async run(cluster, turns) {
      await cluster.stop('a');
      await cluster.stop('b');
      assert.equal(await kindOf(turns.reserve(wish('t2', 'never'))), 'keepers-unavailable');
    },
  },
  {
    name: 'turns side by side never reserve more than the budget',
    async run(cluster, turns) {
      const entries = [turns, await cluster.turnStore(), await cluster.turnStore()];
      const kinds = await Promise.all(
        ['t1', 't2', 't3', 't4', 't5', 't6'].map((turn, index) =>
          kindOf((entries[index % 3] ?? turns).reserve(wish(turn))),
        ),
      );
      assert.ok(kinds.filter((kind) => kind === 'fine').length <= 2, kinds.join());
    },
  },
  {
    name: 'what a turn did not use is free again',
    async run(_, turns) {
      await turns.reserve(wish('t1'));
      await turns.settle(wish('t1'), 20);
      await turns.reserve(wish('t2'));
      assert.equal(await kindOf(turns.reserve(wish('t3'))), 'fine');
    },
  },
  {
    name: 'a reservation that found no majority is free again',
    async run(cluster, turns) {
      await Promise.all(IDS.slice(1).map((id) => cluster.stop(id)));
      assert.equal(await kindOf(turns.reserve(wish('t1'))), 'keepers-unavailable');
      assert.equal(await kindOf(turns.reserve(wish('t2'))), 'keepers-unavailable');
      await Promise.all(IDS.slice(1).map((id) => cluster.start(id)));
      await eventually('fine', () => turns.reserve(wish('t3')));
    },
  },
  {
    name: 'keepers that all restart serve without the store',
    async run(cluster, turns) {
      await turns.reserve(wish('t1'));
      await turns.commit(record('t1'));
      Object.assign(cluster.store.faults, { down: true });
      await Promise.all(IDS.map((id) => cluster.stop(id)));
      await Promise.all(IDS.map((id) => cluster.start(id)));
      await eventually('fine', () => turns.reserve(wish('t2', 't1')));
    },
  },
  {
    name: 'a wiped keeper gets back what it held before another one is wiped',
    async run(cluster, turns) {
      await turns.reserve(wish('t1'));
      await turns.commit(record('t1'));
      for (const id of IDS) {
        await cluster.wipe(id);
        await cluster.start(id, { isFirstStart: false });
        await cluster.settled(IDS);
      }
      const other = await cluster.turnStore();
      await eventually('fine', () => other.reserve(wish('t2', 't1')));
    },
  },
  {
    name: 'a wiped keeper proves nothing before the roster lists its new disk',
    async run(cluster, turns) {
      await turns.reserve(wish('t1'));
      await turns.commit(record('t1'));
      await cluster.wipe('a');
      const { faults } = cluster.store;
      faults.refusesWrites = true;
      const { process } = await cluster.start('a', { isFirstStart: false });
      // By the second refusal, a copy under the old roster would long be complete.
      while (cluster.log.events.filter(isRefusedWrite).length < 2) await nextTick();
      assert.equal(process.isComplete, false);
      faults.refusesWrites = false;
      await cluster.settled(IDS);
    },
  },
  {
    name: 'a new keeper takes the place of a lost one',
    async run(cluster, turns) {
      await turns.reserve(wish('t1'));
      await turns.commit(record('t1'));
      await cluster.wipe('a');
      await cluster.start('e', { isFirstStart: false });
      await cluster.settled(['b', 'c', 'd', 'e']);
      await cluster.wipe('b');
      const other = await cluster.turnStore();
      await eventually('fine', () => other.reserve(wish('t2', 't1')));
    },
  },
  {
    name: 'an entry that is cut off from the keepers says so, and again when it is not',
    async run(cluster, turns) {
      turns.run();
      await cluster.stop('a');
      await cluster.stop('b');
      while (turns.isReady) await nextTick();
      assert.equal(await kindOf(turns.reserve(wish('t1'))), 'keepers-unavailable');
      await cluster.start('a');
      while (!turns.isReady) await nextTick();
      turns.stop();
      await eventually('fine', () => turns.reserve(wish('t2')));
    },
  },
  {
    name: 'a line whose turns are at different keepers is put together',
    async run(cluster, turns) {
      await cluster.stop('b');
      await turns.reserve(wish('t1'));
      await turns.commit(record('t1'));
      await cluster.start('b');
      await cluster.settled(IDS);
      await cluster.stop('c');
      await turns.reserve(wish('t2', 't1'));
      await turns.commit(record('t2', ['t1']));
      await cluster.start('c');
      await cluster.settled(IDS);
      await cluster.stop('a');
      const other = await cluster.turnStore();
      await eventually('fine', () => other.reserve(wish('t3', 't2')));
    },
  },
  {
    name: 'a line of which no keeper holds all is put together while one is away',
    async run(cluster, turns) {
      // With three keepers every program is shared by all, and each turn is at two of them.
      await cluster.wipe('d');
      await cluster.settled(['a', 'b', 'c']);
      const line: string[] = [];
      for (const away of ['c', 'a', 'b']) {
        await cluster.stop(away);
        const turn = `without-${away}`;
        await eventually('fine', () => turns.reserve(wish(turn, line.at(-1))));
        await turns.commit(record(turn, line));
        line.push(turn);
        await cluster.start(away);
        await cluster.settled(['a', 'b', 'c']);
      }
      await cluster.stop('a');
      const other = await cluster.turnStore();
      await eventually('fine', () => other.reserve(wish('next', line.at(-1))));
    },
  },
  {
    name: 'a turn outlives two keepers that are lost one after the other',
    async run(cluster, turns) {
      await turns.reserve(wish('t1'));
      await turns.commit(record('t1'));
      for (const [lost, left] of [
        ['a', ['b', 'c', 'd']],
        ['b', ['c', 'd']],
      ] as const) {
        await cluster.wipe(lost);
        await cluster.settled([...left]);
      }
      const other = await cluster.turnStore();
      await eventually('fine', () => other.reserve(wish('t2', 't1')));
    },
  },
  {
    name: 'a keeper is emptied before it is taken away',
    async run(cluster, turns) {
      await turns.reserve(wish('t1'));
      await turns.commit(record('t1'));
      const leaving = cluster.keepers.get('a');
      leaving?.orders.give();
      await cluster.settled(['b', 'c', 'd']);
      while (!leaving?.orders.reports.includes('completed')) {
        await nextTick();
      }
      await cluster.wipe('a');
      await cluster.wipe('b');
      const other = await cluster.turnStore();
      await eventually('fine', () => other.reserve(wish('t2', 't1')));
    },
  },
];

CASES.forEach(({ name, run }) => {
  test(`keepers: ${name}`, { timeout: 60_000 }, async () => {
    const cluster = new KeeperCluster();
    try {
      for (const id of IDS) await cluster.start(id);
      await cluster.settled(IDS);
      await run(cluster, await cluster.turnStore());
    } finally {
      await cluster.close();
    }
  });
});
