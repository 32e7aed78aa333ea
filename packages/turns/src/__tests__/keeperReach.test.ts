import assert from 'node:assert/strict';
import test from 'node:test';
import { create } from '@bufbuild/protobuf';
import { MemoryEventLog } from '@marjorampin/logging';
import { RosterSchema } from '@marjorampin/protocol';
import { ManualClock } from '@marjorampin/types';
import { KeeperReach } from '../keeperReach';

const roster = create(RosterSchema, {
  version: 1,
  keepers: ['a', 'b', 'c', 'd', 'e'].map((id) => ({ id, address: id })),
});

/** Milliseconds of silence by keeper, for each judgement; one is due every 400 ms. */
const CASES = [
  { name: 'all are heard', rounds: [{}], isCutOff: false, silent: '' },
  { name: 'as many are silent as may be lost', rounds: [{ a: 1_500, b: 1_500 }], silent: 'ab' },
  {
    name: 'more are silent than may be lost',
    rounds: [{ a: 1_500, b: 1_500, c: 1_500 }],
    isCutOff: true,
    silent: 'abc',
  },
  {
    name: 'a pause between two heartbeats is no silence',
    rounds: [{ a: 750, b: 750, c: 750, d: 750, e: 750 }],
    silent: '',
  },
  { name: 'one that is heard again', rounds: [{ a: 1_500 }, { a: 10 }], silent: '' },
  {
    name: 'an own pause says nothing about the keepers',
    pauseMs: 5_000,
    rounds: [{}, { a: 5_400, b: 5_400, c: 5_400 }],
    silent: '',
  },
  {
    name: 'silence that lasts after an own pause',
    pauseMs: 5_000,
    rounds: [{}, { a: 5_400, b: 5_400, c: 5_400 }, { a: 5_800, b: 5_800, c: 5_800 }],
    isCutOff: true,
    silent: 'abc',
  },
];

CASES.forEach(({ name, rounds, pauseMs = 0, isCutOff = false, silent }) => {
  test(`way to the keepers: ${name}`, async () => {
    const clock = new ManualClock();
    let silence: Record<string, number> = {};
    const reach = new KeeperReach({
      clock,
      log: new MemoryEventLog(),
      lossLimit: 2,
      roster: () => roster,
      silentMs: ({ id }) => silence[id] ?? 0,
    });
    for (const [index, round] of rounds.entries()) {
      await clock.advance(index === 1 ? 400 + pauseMs : 400);
      silence = round;
      reach.judge();
    }
    assert.equal(reach.isCutOff, isCutOff);
    assert.equal(
      roster.keepers.flatMap(({ id }) => (reach.isSilent(id) ? id : [])).join(''),
      silent,
    );
  });
});
