import assert from 'node:assert/strict';
import test from 'node:test';
import { Saturation, type SaturatedPeriod } from '../saturation';

const INTERVAL_MS = 100;

const CASES = [
  {
    name: 'a utilization at the limit is no saturation',
    utilizations: Array(30).fill(0.95),
    starts: 0,
    periods: [],
  },
  {
    name: 'above the limit for less than a second is no saturation',
    utilizations: [...Array(10).fill(1), 0.9, ...Array(10).fill(1), 0.9],
    starts: 0,
    periods: [],
  },
  {
    name: 'above the limit for a second is a saturation',
    utilizations: Array(11).fill(1),
    starts: 1,
    periods: [],
  },
  {
    name: 'it ends after a second below the limit, and counts calls from its first measurement',
    utilizations: [0.5, ...Array(21).fill(1), ...Array(10).fill(0.5)],
    starts: 1,
    periods: [{ durationMs: 2_000, calls: 30, abandoned: 15 }],
  },
  {
    name: 'less than a second below the limit does not end it',
    utilizations: [...Array(20).fill(1), ...Array(9).fill(0.5), ...Array(5).fill(1)],
    starts: 1,
    periods: [],
  },
  {
    name: 'each period counts anew',
    utilizations: [
      ...Array(11).fill(1),
      ...Array(12).fill(0.5),
      ...Array(12).fill(1),
      ...Array(10).fill(0.5),
    ],
    starts: 2,
    periods: [
      { durationMs: 1_000, calls: 20, abandoned: 10 },
      { durationMs: 1_100, calls: 21, abandoned: 10 },
    ],
  },
];

CASES.forEach(({ name, utilizations, starts, periods }) => {
  test(`saturation: ${name}`, () => {
    let startCount = 0;
    const ended: SaturatedPeriod[] = [];
    const saturation = new Saturation({
      onStart: () => {
        startCount += 1;
      },
      onEnd: (period) => ended.push(period),
    });
    // One call in each interval; the caller of every second one leaves.
    utilizations.forEach((utilization: number, index) => {
      saturation.update(utilization, index * INTERVAL_MS);
      saturation.countCall();
      if (index % 2 === 0) saturation.countAbandoned();
    });
    assert.equal(startCount, starts);
    assert.deepEqual(ended, periods);
    assert.equal(saturation.isSaturated, starts > periods.length);
  });
});
