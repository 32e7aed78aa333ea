/** Turns and budgets while disks are lost and other keepers are late. */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { type PeerPool, TurnRecordSchema } from '@marjorampin/protocol';
import { SystemClock, toCallError } from '@marjorampin/types';
import { KeeperCluster } from './keeperCluster';

const clock = new SystemClock();
const RETENTION_MS = 60_000;
const BUDGET_TOKENS = 250;
/** Number of programs that are tried; those whose group lacks a majority at that time are left out. */
const PROGRAMS = 3;
/** Time after which a silent keeper is removed, a quarter of the usual one. */
const REMOVAL_AFTER_MS = 1_000;
/** Longer than that time and the rounds of the removal and of the restorations. */
const SILENCE_MS = 3_500;
/** Longest time until all turns go on once all keepers are back. */
const RECOVERY_MS = 12_000;
const POLL_MS = 300;

const sleep = (ms: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const reservationOf = (program: string, turn: string, tokens: number, previous?: string) => ({
  program,
  turn: `${program}-${turn}`,
  tokens,
  budget: BUDGET_TOKENS,
  previous,
  retentionMs: RETENTION_MS,
});

/** Programs that each store a turn and have spent most of their budget. */
class StoredPrograms {
  private readonly cluster: KeeperCluster;

  private readonly peers: PeerPool;

  private readonly programs: string[] = [];

  private lastTurn = 0;

  constructor(cluster: KeeperCluster) {
    this.cluster = cluster;
    this.peers = cluster.createPool();
  }

  /** Stores a turn of each program that the present keepers can serve. */
  async store(): Promise<void> {
    const turns = await this.cluster.createTurnStore();
    for (let index = 0; index < PROGRAMS; index += 1) {
      const program = `p${index}`;
      const reservation = reservationOf(program, 'first', 200);
      const isReserved = await turns.reserve(reservation).then(
        () => true,
        () => false,
      );
      if (isReserved) {
        await turns.commit(
          create(TurnRecordSchema, {
            turn: reservation.turn,
            program,
            input: Buffer.from('in'),
            output: Buffer.from('out'),
            outputTokens: 200,
            retentionMs: RETENTION_MS,
          }),
          { deadlineMs: clock.now() + RECOVERY_MS },
        );
        this.programs.push(program);
      }
    }
    assert.ok(this.programs.length > 0);
  }

  /** Tries all programs once through an entry that has read no turn; returns how many go on. */
  async tryAll(): Promise<number> {
    const turns = await this.cluster.createTurnStore({ peers: this.peers });
    this.lastTurn += 1;
    const outcomes = await Promise.all(
      this.programs.map(async (program) => {
        const first = `${program}-first`;
        const next = reservationOf(program, `next-${this.lastTurn}`, 1, first);
        const kind = await turns.reserve(next).then(
          (chain) => {
            assert.deepEqual(
              chain.map(({ turn }) => turn),
              [first],
            );
            turns.settle(next, 0);
            return 'ok';
          },
          (error: unknown) => toCallError(error).kind,
        );
        assert.ok(['ok', 'keepers-unavailable'].includes(kind), `${first} is answered ${kind}`);
        const large = reservationOf(program, `large-${this.lastTurn}`, 100);
        const granted = await turns.reserve(large).then(
          () => 'granted',
          (error: unknown) => toCallError(error).kind,
        );
        assert.notEqual(granted, 'granted', `${program} has a fresh budget`);
        return kind;
      }),
    );
    turns.stop();
    return outcomes.filter((kind) => kind === 'ok').length;
  }

  /** Tries all programs repeatedly for a time. */
  async tryFor(ms: number): Promise<void> {
    const untilMs = performance.now() + ms;
    while (performance.now() < untilMs) {
      await this.tryAll();
      await sleep(POLL_MS);
    }
  }

  /** Tries all programs until each goes on. */
  async untilAllGoOn(limitMs = RECOVERY_MS): Promise<void> {
    const untilMs = performance.now() + limitMs;
    while ((await this.tryAll()) < this.programs.length) {
      assert.ok(performance.now() < untilMs, 'some programs do not go on');
      await sleep(POLL_MS);
    }
  }
}

interface Case {
  name: string;
  keepers: string;
  lossLimit?: number;
  /** Keepers that miss the turns. */
  without: string;
  play(cluster: KeeperCluster, programs: StoredPrograms): Promise<void>;
}

const stopAll = (cluster: KeeperCluster, ids: string) =>
  Promise.all([...ids].map((id) => cluster.stop(id)));

const startAll = (cluster: KeeperCluster, ids: string) =>
  Promise.all([...ids].map((id) => cluster.start(id, { isFirstStart: false })));

const loseDisks = async (cluster: KeeperCluster, ids: string) => {
  await Promise.all([...ids].map((id) => cluster.wipe(id)));
  await startAll(cluster, ids);
};

const CASES: Case[] = [
  {
    name: 'another one of three is silent',
    keepers: 'abc',
    without: 'c',
    async play(cluster, programs) {
      await cluster.stop('b');
      await loseDisks(cluster, 'a');
      await programs.tryFor(SILENCE_MS);
      await startAll(cluster, 'b');
    },
  },
  {
    name: 'another one of four is silent',
    keepers: 'abcd',
    without: 'cd',
    async play(cluster, programs) {
      await cluster.stop('b');
      await loseDisks(cluster, 'a');
      await programs.tryFor(SILENCE_MS);
      await startAll(cluster, 'b');
    },
  },
  {
    name: 'all others are killed, and the one without the turns is back early',
    keepers: 'abc',
    without: 'c',
    async play(cluster, programs) {
      await stopAll(cluster, 'bc');
      await loseDisks(cluster, 'a');
      await sleep(500);
      await startAll(cluster, 'c');
      await programs.tryFor(SILENCE_MS);
      await startAll(cluster, 'b');
    },
  },
  {
    name: 'all others are killed, and the one without the turns is back late',
    keepers: 'abc',
    without: 'c',
    async play(cluster, programs) {
      await stopAll(cluster, 'bc');
      await loseDisks(cluster, 'a');
      await sleep(500);
      await startAll(cluster, 'b');
      await programs.tryFor(SILENCE_MS);
      await startAll(cluster, 'c');
    },
  },
  {
    name: 'all others are killed, and the store is away at first',
    keepers: 'abc',
    without: 'c',
    async play(cluster, programs) {
      await stopAll(cluster, 'bc');
      const { faults } = cluster.store;
      faults.refusesWrites = true;
      await loseDisks(cluster, 'a');
      await startAll(cluster, 'c');
      await programs.tryFor(1_500);
      faults.refusesWrites = false;
      await programs.tryFor(SILENCE_MS);
      await startAll(cluster, 'b');
    },
  },
  {
    name: 'the same disk is lost again while another keeper is silent',
    keepers: 'abc',
    without: 'c',
    async play(cluster, programs) {
      await cluster.stop('b');
      await loseDisks(cluster, 'a');
      await programs.tryFor(1_500);
      await loseDisks(cluster, 'a');
      await programs.tryFor(SILENCE_MS);
      await startAll(cluster, 'b');
    },
  },
  {
    name: 'the same disk is lost again',
    keepers: 'abc',
    without: 'c',
    async play(cluster, programs) {
      await loseDisks(cluster, 'a');
      await programs.tryFor(300);
      await loseDisks(cluster, 'a');
    },
  },
  {
    name: 'another one is silent and one has just been added',
    keepers: 'abc',
    without: 'c',
    async play(cluster, programs) {
      await startAll(cluster, 'd');
      await cluster.stop('b');
      await loseDisks(cluster, 'a');
      await programs.tryFor(SILENCE_MS);
      await startAll(cluster, 'b');
    },
  },
  {
    name: 'another one is silent and a retirement is under way',
    keepers: 'abcd',
    without: 'cd',
    async play(cluster, programs) {
      cluster.keepers.get('d')?.orders.issue();
      await cluster.stop('b');
      await loseDisks(cluster, 'a');
      await programs.tryFor(SILENCE_MS);
      await startAll(cluster, 'b');
      await programs.untilAllGoOn();
      while (!cluster.keepers.get('d')?.orders.reports.includes('completed')) await sleep(POLL_MS);
    },
  },
  {
    name: 'two of six disks are lost and another one is silent',
    keepers: 'abcdef',
    lossLimit: 2,
    without: 'de',
    async play(cluster, programs) {
      await cluster.stop('c');
      await loseDisks(cluster, 'ab');
      await programs.tryFor(SILENCE_MS);
      await startAll(cluster, 'c');
    },
  },
  {
    name: 'none is lost and one is late after all were killed: the turns go on without it',
    keepers: 'abc',
    without: 'c',
    async play(cluster, programs) {
      await stopAll(cluster, 'abc');
      await startAll(cluster, 'ac');
      await programs.untilAllGoOn(3_000);
      await programs.tryFor(SILENCE_MS);
      await programs.untilAllGoOn(3_000);
      await startAll(cluster, 'b');
    },
  },
  {
    name: 'the only one: the turns go on as soon as it has copied them',
    keepers: 'abc',
    without: 'c',
    async play(cluster, programs) {
      await loseDisks(cluster, 'a');
      await programs.untilAllGoOn(3_000);
    },
  },
];

// The cases mostly wait for the silence after which a keeper is removed.
describe('stored programs when a disk is lost', { concurrency: 3 }, () => {
  CASES.forEach(({ name, keepers, lossLimit, without, play }) => {
    test(name, { timeout: 60_000 }, async () => {
      const cluster = new KeeperCluster({ lossLimit, removalAfterMs: REMOVAL_AFTER_MS });
      try {
        for (const id of keepers) await cluster.start(id);
        await cluster.untilRestored([...keepers]);
        const programs = new StoredPrograms(cluster);
        await stopAll(cluster, without);
        await programs.store();
        await startAll(cluster, without);
        await cluster.untilRestored([...keepers]);
        await play(cluster, programs);
        await programs.untilAllGoOn();
      } finally {
        await cluster.close();
      }
    });
  });
});
