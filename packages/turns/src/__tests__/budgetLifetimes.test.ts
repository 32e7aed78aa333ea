import assert from 'node:assert/strict';
import test from 'node:test';
import { create } from '@bufbuild/protobuf';
import { TurnRecordSchema } from '@marjorampin/protocol';
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
    name: 'a program returns after all keepers have forgotten it',
    phases: [
      { atS: 0, turns: 6 },
      { atS: 200, turns: 8 },
    ],
    granted: 2 * BUDGET,
  },
];

/** Runs one turn; returns the tokens that it was granted. */
async function runTurn(store: TurnStore, turn: string): Promise<number> {
  const reservation = {
    program: 'p',
    turn,
    tokens: TOKENS,
    budget: BUDGET,
    previous: undefined,
    retentionMs: RETENTION_MS,
  };
  try {
    await store.reserve(reservation);
  } catch (error) {
    assert.equal(toCallError(error).kind, 'budget-exhausted');
    return 0;
  }
  const fields = { program: 'p', turn, outputTokens: TOKENS, retentionMs: RETENTION_MS };
  await store.commit(create(TurnRecordSchema, fields));
  return TOKENS;
}

// Guards against tokens that are granted twice because keepers forget a program at different times.
CASES.forEach(({ name, phases, granted }) => {
  test(`BUDGET: a budget holds although ${name}`, async () => {
    const keepers = new ReachableKeepers();
    let total = 0;
    for (const { atS, turns, domain = 'a', down } of phases) {
      await keepers.advance(atS * 1_000 - keepers.clock.now());
      ['a', 'b', 'c'].forEach((id) => keepers.reachable.add(id));
      if (down) keepers.reachable.delete(down);
      const store = keepers.createTurnStore(domain);
      for (let turn = 0; turn < turns; turn += 1) {
        total += await runTurn(store, `${atS}-${turn}`);
      }
    }
    assert.equal(total, granted);
  });
});
