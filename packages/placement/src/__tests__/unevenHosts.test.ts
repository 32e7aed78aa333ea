import assert from 'node:assert/strict';
import test from 'node:test';
import { simulateDomain, type SimulatedHost } from './simulatedDomain';

const LARGE: SimulatedHost = { capacity: 1.35 };
const SMALL: SimulatedHost = { capacity: 0.25 };
const EQUAL: SimulatedHost = { capacity: 0.5 };
const UNEVEN = [LARGE, LARGE, SMALL, SMALL, SMALL, SMALL];
const DURATION_S = 30;
const SEEDS = ['1', '2', '3'];

/** Share of the calls that have to be answered in time while the domain as a whole has capacity. */
const TIMELY_SHARE = 0.97;

/** Loads of a failure domain; each is below the capacity of all its hosts together. */
const CASES = [
  { name: 'steady load', hosts: UNEVEN, callsPerSecond: () => 300 },
  {
    name: 'a burst of six seconds',
    hosts: UNEVEN,
    callsPerSecond: (atS: number) => (atS > 5 && atS < 11 ? 520 : 250),
  },
  {
    name: 'relaying costs half as much again as assumed',
    hosts: UNEVEN,
    relayMs: 3,
    callsPerSecond: (atS: number) => (atS > 5 && atS < 11 ? 400 : 250),
  },
  {
    name: 'a large host is lost during a burst',
    hosts: UNEVEN,
    callsPerSecond: (atS: number) => (atS > 5 && atS < 11 ? 300 : 200),
    isUp: (host: number, atS: number) => host !== 0 || atS < 8 || atS > 14,
  },
  {
    name: 'one of several equal hosts gets most connections',
    hosts: [{ ...EQUAL, share: 6 }, EQUAL, EQUAL, EQUAL],
    callsPerSecond: () => 220,
  },
  {
    name: 'a burst right after an idle time',
    hosts: UNEVEN,
    callsPerSecond: (atS: number) => (atS < 10 ? 5 : 480),
  },
];

CASES.forEach(({ name, ...pattern }) => {
  test(`SHORT: uneven hosts answer in time (${name})`, () => {
    SEEDS.forEach((seed) => {
      const result = simulateDomain({ ...pattern, durationS: DURATION_S, seed });
      assert.ok(result.timelyShare >= TIMELY_SHARE, `seed ${seed}: ${JSON.stringify(result)}`);
    });
  });
});

test('equal hosts with equal load serve their own connections', () => {
  const hosts = [EQUAL, EQUAL, EQUAL, EQUAL];
  const result = simulateDomain({ hosts, durationS: 30, seed: '1', callsPerSecond: () => 120 });
  assert.ok(result.relayedShare < 0.05, JSON.stringify(result));
});
