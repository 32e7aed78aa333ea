import assert from 'node:assert/strict';
import test from 'node:test';
import { create } from '@bufbuild/protobuf';
import { MemoryEventLog } from '@marjorampin/logging';
import { RosterSchema } from '@marjorampin/protocol';
import { ManualClock } from '@marjorampin/types';
import { KeeperMonitor } from '../keeperMonitor';

const roster = create(RosterSchema, {
  version: 1,
  keepers: ['a', 'b', 'c', 'd', 'e'].map((id) => ({ id, address: id })),
});

/** Milliseconds of silence by keeper for each check; a check is due every 400 ms. */
const CASES = [
  {
    name: 'reports no silence while all keepers are heard',
    rounds: [{}],
    isDisconnected: false,
    silent: '',
  },
  {
    name: 'stays connected while as many keepers are silent as may be lost',
    rounds: [{ a: 1_500, b: 1_500 }],
    silent: 'ab',
  },
  {
    name: 'disconnects when more keepers are silent than may be lost',
    rounds: [{ a: 1_500, b: 1_500, c: 1_500 }],
    isDisconnected: true,
    silent: 'abc',
  },
  {
    name: 'does not count the interval between two heartbeats as silence',
    rounds: [{ a: 750, b: 750, c: 750, d: 750, e: 750 }],
    silent: '',
  },
  {
    name: 'clears the silence of a keeper that is heard again',
    rounds: [{ a: 1_500 }, { a: 10 }],
    silent: '',
  },
  {
    name: 'ignores silence measured across a pause of its own process',
    pauseMs: 5_000,
    rounds: [{}, { a: 5_400, b: 5_400, c: 5_400 }],
    silent: '',
  },
  {
    name: 'reports silence that lasts after a pause of its own process',
    pauseMs: 5_000,
    rounds: [{}, { a: 5_400, b: 5_400, c: 5_400 }, { a: 5_800, b: 5_800, c: 5_800 }],
    isDisconnected: true,
    silent: 'abc',
  },
];

CASES.forEach(({ name, rounds, pauseMs = 0, isDisconnected = false, silent }) => {
  test(`keeper monitor ${name}`, async () => {
    const clock = new ManualClock();
    let silence: Record<string, number> = {};
    const monitor = new KeeperMonitor({
      clock,
      log: new MemoryEventLog(),
      lossLimit: 2,
      roster: () => roster,
      sinceReceivedMs: ({ id }) => silence[id] ?? 0,
    });
    for (const [index, round] of rounds.entries()) {
      await clock.advance(index === 1 ? 400 + pauseMs : 400);
      silence = round;
      monitor.check();
    }
    assert.equal(monitor.isDisconnected, isDisconnected);
    assert.equal(
      roster.keepers.flatMap(({ id }) => (monitor.isSilent(id) ? id : [])).join(''),
      silent,
    );
  });
});
