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

/** Milliseconds since the last frame by keeper for each check; a check is due every
 * `CHECK_INTERVAL_MS`. */
const CASES = [
  {
    name: 'reports no keeper as unresponsive while all keepers reply',
    rounds: [{}],
    isDisconnected: false,
    unresponsive: '',
  },
  {
    name: 'stays connected while as many keepers are unresponsive as may be lost',
    rounds: [{ a: 1_500, b: 1_500 }],
    unresponsive: 'ab',
  },
  {
    name: 'disconnects when more keepers are unresponsive than may be lost',
    rounds: [{ a: 1_500, b: 1_500, c: 1_500 }],
    isDisconnected: true,
    unresponsive: 'abc',
  },
  {
    name: 'does not report keepers as unresponsive between two heartbeats',
    rounds: [{ a: 750, b: 750, c: 750, d: 750, e: 750 }],
    unresponsive: '',
  },
  {
    name: 'does not report a keeper as unresponsive once it replies again',
    rounds: [{ a: 1_500 }, { a: 10 }],
    unresponsive: '',
  },
  {
    name: 'ignores unresponsive keepers right after a pause of its own process',
    pauseMs: 5_000,
    rounds: [{}, { a: 5_400, b: 5_400, c: 5_400 }],
    unresponsive: '',
  },
  {
    name: 'reports keepers that stay unresponsive after a pause of its own process',
    pauseMs: 5_000,
    rounds: [{}, { a: 5_400, b: 5_400, c: 5_400 }, { a: 5_800, b: 5_800, c: 5_800 }],
    isDisconnected: true,
    unresponsive: 'abc',
  },
];

CASES.forEach(({ name, rounds, pauseMs = 0, isDisconnected = false, unresponsive }) => {
  test(`keeper monitor ${name}`, async () => {
    const clock = new ManualClock();
    let elapsedMs: Record<string, number> = {};
    const monitor = new KeeperMonitor({
      clock,
      log: new MemoryEventLog(),
      lossLimit: 2,
      roster: () => roster,
      sinceReceivedMs: ({ id }) => elapsedMs[id] ?? 0,
    });
    for (const [index, round] of rounds.entries()) {
      await clock.advance(index === 1 ? 400 + pauseMs : 400);
      elapsedMs = round;
      monitor.check();
    }
    assert.equal(monitor.isDisconnected, isDisconnected);
    assert.equal(
      roster.keepers.flatMap(({ id }) => (monitor.isUnresponsive(id) ? id : [])).join(''),
      unresponsive,
    );
  });
});
