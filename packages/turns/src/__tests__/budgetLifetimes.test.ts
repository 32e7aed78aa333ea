import assert from 'node:assert/strict';
import test, { type TestContext } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { type TurnRecord, TurnRecordSchema } from '@marjorampin/protocol';
import { toCallError } from '@marjorampin/types';
import type { TurnStore } from '../turnStore';
import { ReachableKeepers } from './reachableKeepers';

const TOKENS = 80;
const BUDGET = 480;
const RETENTION_MS = 80_000;

interface Phase {
  atS: number;
  turns: number;
  /** Failure domain of the entry; its keeper is called first. */
  domain?: string;
  /** Keeper that is down meanwhile. */
  down?: string;
  /** Keepers that are restarted first. */
  restarted?: string;
  /** Set the wall clocks of all hosts ahead by this time first. */
  wallOffsetS?: number;
}

interface LifetimeCase {
  name: string;
  phases: Phase[];
  /** Tokens of the turns that are granted in all phases. */
  granted: number;
}

const CASES: LifetimeCase[] = [
  {
    name: 'each keeper is down in another phase',
    phases: [
      { atS: 0, turns: 4, down: 'c' },
      { atS: 45, turns: 1, down: 'a' },
      { atS: 90, turns: 6, down: 'b' },
    ],
    granted: BUDGET,
  },
  {
    name: 'the first turn after the longest rest finds another majority',
    phases: [
      { atS: 0, turns: 5, down: 'c' },
      { atS: 60, turns: 1, down: 'a' },
      { atS: 120, turns: 3, down: 'b' },
      { atS: 180, turns: 3, down: 'c' },
    ],
    granted: BUDGET,
  },
  {
    name: 'a program moves from domain to domain, and all keepers reply',
    phases: [
      { atS: 0, turns: 4, domain: 'a' },
      { atS: 40, turns: 1, domain: 'b' },
      { atS: 81, turns: 1, domain: 'c' },
      { atS: 125, turns: 6, domain: 'a' },
    ],
    granted: BUDGET,
  },
  {
    name: 'all keepers restart after the retention of its first turns',
    phases: [
      { atS: 0, turns: 2 },
      { atS: 40, turns: 1 },
      { atS: 75, turns: 1 },
      { atS: 86, turns: 6, restarted: 'abc' },
    ],
    granted: BUDGET,
  },
  {
    name: 'all keepers restart again and again',
    phases: [
      { atS: 0, turns: 1 },
      ...[55, 110, 165, 220, 275, 330].map((atS) => ({ atS, turns: 1, restarted: 'abc' })),
    ],
    granted: BUDGET,
  },
  {
    name: 'keepers restart in turn, and others are down',
    phases: [
      { atS: 0, turns: 3, down: 'c' },
      { atS: 50, turns: 1, down: 'a', restarted: 'b' },
      { atS: 100, turns: 1, down: 'b', restarted: 'ac' },
      { atS: 150, turns: 4, down: 'c', restarted: 'ab' },
    ],
    granted: BUDGET,
  },
  {
    name: 'the wall clocks step ahead before a restart',
    phases: [
      { atS: 0, turns: 3 },
      { atS: 60, turns: 1 },
      { atS: 120, turns: 5, restarted: 'abc', wallOffsetS: 8 },
    ],
    granted: BUDGET,
  },
  {
    name: 'the wall clocks step back before a restart',
    phases: [
      { atS: 0, turns: 3 },
      { atS: 60, turns: 1 },
      { atS: 120, turns: 5, restarted: 'abc', wallOffsetS: -8 },
    ],
    granted: BUDGET,
  },
  {
    name: 'a program returns after all keepers have forgotten it',
    phases: [
      { atS: 0, turns: 6 },
      { atS: 200, turns: 8 },
    ],
    granted: 2 * BUDGET,
  },
];

async function startKeepers(context: TestContext): Promise<ReachableKeepers> {
  const keepers = new ReachableKeepers();
  await keepers.start();
  context.after(() => keepers.close());
  return keepers;
}

interface TestTurn {
  turn: string;
  program?: string;
  previous?: string;
}

const RESERVATION = {
  program: 'p',
  tokens: TOKENS,
  budget: BUDGET,
  previous: undefined,
  retentionMs: RETENTION_MS,
};

/** Runs one turn; returns the tokens that it was granted. */
async function runTurn(
  store: TurnStore,
  { turn, program = 'p', previous }: TestTurn,
): Promise<number> {
  const reservation = {
    program,
    turn,
    tokens: TOKENS,
    budget: BUDGET,
    previous,
    retentionMs: RETENTION_MS,
  };
  let chain: TurnRecord[] = [];
  try {
    chain = await store.reserve(reservation);
  } catch (error) {
    assert.equal(toCallError(error).kind, 'budget-exhausted');
    return 0;
  }
  const ancestors = chain.map((record) => record.turn);
  const fields = { program, turn, ancestors, outputTokens: TOKENS, retentionMs: RETENTION_MS };
  await store.commit(create(TurnRecordSchema, fields), { chain });
  return TOKENS;
}

// Guards against tokens that are granted twice because keepers forget a program at different times.
CASES.forEach(({ name, phases, granted }) => {
  test(`BUDGET: a budget holds although ${name}`, async (context) => {
    const keepers = await startKeepers(context);
    let total = 0;
    for (const { atS, turns, domain = 'a', down, restarted = '', wallOffsetS } of phases) {
      await keepers.advance(atS * 1_000 - keepers.clock.now());
      if (wallOffsetS !== undefined) keepers.clock.wallOffsetMs = wallOffsetS * 1_000;
      await Promise.all([...restarted].map((id) => keepers.restart(id)));
      ['a', 'b', 'c'].forEach((id) => keepers.reachable.add(id));
      if (down) keepers.reachable.delete(down);
      const store = keepers.createTurnStore(domain);
      for (let turn = 0; turn < turns; turn += 1) {
        total += await runTurn(store, { turn: `${atS}-${turn}` });
      }
    }
    assert.equal(total, granted);
  });
});

interface ChainCase {
  name: string;
  /** Turns of one chain, and the keepers that are down or restarted first. */
  turns: { atS: number; program: string; down?: string; restarted?: string }[];
}

const CHAIN_CASES: ChainCase[] = [
  {
    name: 'all keepers restart before each turn',
    turns: [0, 50, 100, 150].map((atS) => ({ atS, program: 'p', restarted: 'abc' })),
  },
  {
    name: 'its first turn belongs to a program that has expired',
    turns: [
      { atS: 0, program: 'earlier' },
      { atS: 50, program: 'later' },
      { atS: 92, program: 'later' },
      { atS: 140, program: 'later' },
    ],
  },
  {
    name: 'each turn belongs to another program, and keepers restart',
    turns: [
      { atS: 0, program: 'p0' },
      { atS: 55, program: 'p1', restarted: 'abc' },
      { atS: 110, program: 'p2', restarted: 'abc' },
      { atS: 165, program: 'p3', restarted: 'abc' },
    ],
  },
  {
    name: 'the keepers of its first turn are down one after the other',
    turns: [
      { atS: 0, program: 'p', down: 'c' },
      { atS: 40, program: 'p', down: 'a' },
      { atS: 90, program: 'p', down: 'a' },
      { atS: 140, program: 'p', down: 'b' },
    ],
  },
];

// Guards against turns that expire although a turn that goes on from them can still be continued.
CHAIN_CASES.forEach(({ name, turns }) => {
  test(`LOST: a chain can be continued although ${name}`, async (context) => {
    const keepers = await startKeepers(context);
    let previous: string | undefined;
    for (const { atS, program, down, restarted = '' } of turns) {
      await keepers.advance(atS * 1_000 - keepers.clock.now());
      await Promise.all([...restarted].map((id) => keepers.restart(id)));
      ['a', 'b', 'c'].forEach((id) => keepers.reachable.add(id));
      if (down) keepers.reachable.delete(down);
      const turn = `t${atS}`;
      const store = keepers.createTurnStore();
      const granted = await runTurn(store, { turn, program, ...(previous && { previous }) });
      assert.equal(granted, TOKENS);
      previous = turn;
    }
  });
});

// Guards against a long program that keeps all segments of the log on the disk.
test('the log of a keeper grows with the age of a program', async (context) => {
  const keepers = await startKeepers(context);
  let most = 0;
  for (let turn = 0; turn < 20; turn += 1) {
    await runTurn(keepers.createTurnStore(), { turn: `long${turn}`, program: `p${turn % 4}` });
    await runTurn(keepers.createTurnStore(), { turn: `short${turn}`, program: `q${turn}` });
    await keepers.advance(30_000);
    if (turn === 9) most = await keepers.segmentCount('a');
  }
  assert.ok((await keepers.segmentCount('a')) <= 2 * most);
  await keepers.advance(4 * RETENTION_MS);
  assert.ok((await keepers.segmentCount('a')) <= 1);
});

// Guards against a second round for each turn under load, when entries call other keepers each time.
test('a young program takes a second round if its keepers differ', async (context) => {
  const keepers = await startKeepers(context);
  const store = keepers.createTurnStore();
  const runWithout = async (turn: string, down: string) => {
    ['a', 'b', 'c'].forEach((id) => keepers.reachable.add(id));
    keepers.reachable.delete(down);
    await runTurn(store, { turn });
  };
  await runWithout('t0', 'c');
  await keepers.advance(5_000);
  await runWithout('t1', 'a');
  assert.equal(keepers.addedReservations('c'), 0);
  await keepers.advance(10_000);
  await runWithout('t2', 'b');
  assert.ok(keepers.addedReservations('c') > 0);
});

// Guards against a log in which each program is written twice.
test('a program that has ended is written again', async (context) => {
  const keepers = await startKeepers(context);
  const store = keepers.createTurnStore();
  for (let turn = 0; turn < 5; turn += 1) {
    await runTurn(store, { turn: `t${turn}`, program: `p${turn}` });
  }
  const written = await keepers.segmentCount('a');
  await keepers.advance(RETENTION_MS - 5_000);
  assert.equal(await keepers.segmentCount('a'), written);
});

// Guards against the loss of a running program whose rewrite failed, and against a disk that stays full.
test('segments of programs that could not be rewritten are deleted', async (context) => {
  const keepers = await startKeepers(context);
  const store = keepers.createTurnStore();
  for (let turn = 0; turn < 5; turn += 1) {
    await runTurn(store, { turn: `other${turn}`, program: `q${turn}` });
  }
  await runTurn(store, { turn: 'first' });
  const full = await keepers.segmentCount('a');
  keepers.failDisk('a');
  keepers.failDisk('b');
  for (let tries = 0; tries < 3; tries += 1) {
    // Its keepers retain the program, although they can't write the reservation.
    store.reserve({ ...RESERVATION, turn: `try${tries}` }).catch(() => undefined);
    await keepers.advance(50_000);
  }
  const left = await keepers.segmentCount('a');
  assert.ok(left > 0 && left < full, `${left} of ${full} segments are left`);
});
