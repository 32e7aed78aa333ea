import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { propertyParameters } from '@marjorampin/standins';
import { PermitSchedule } from '../permitSchedule';

/** Requests for permits at a rate of 2 per second, whose first permit is available at 0. */
const CASES: {
  name: string;
  requests: { nowMs: number; maximumWaitMs: number }[];
  /** Times at which the granted requests may be sent. */
  sendAtMs: number[];
}[] = [
  {
    name: 'spaces requests by the interval of the rate',
    requests: [0, 0, 0].map((nowMs) => ({ nowMs, maximumWaitMs: 5_000 })),
    sendAtMs: [0, 500, 1_000],
  },
  {
    name: 'denies a request that would wait longer than it can',
    requests: [0, 0, 100].map((nowMs) => ({ nowMs, maximumWaitMs: 400 })),
    sendAtMs: [0, 500],
  },
  {
    name: 'grants a request with more patience while one with less is denied',
    requests: [
      { nowMs: 0, maximumWaitMs: 0 },
      { nowMs: 200, maximumWaitMs: 250 },
      { nowMs: 200, maximumWaitMs: 500 },
    ],
    sendAtMs: [0, 500],
  },
  {
    name: 'does not accumulate permits beyond one',
    requests: [10_000, 10_000, 10_000].map((nowMs) => ({ nowMs, maximumWaitMs: 0 })),
    sendAtMs: [10_000],
  },
];

CASES.forEach(({ name, requests, sendAtMs }) => {
  test(`a permit schedule ${name}`, () => {
    const schedule = new PermitSchedule({ perSecond: 2, firstAtMs: 0 });
    const sent = requests.flatMap((request) => {
      const { isGranted, waitMs } = schedule.acquire(request);
      return isGranted ? [request.nowMs + waitMs] : [];
    });
    assert.deepEqual(sent, sendAtMs);
  });
});

/** Changes of the rate from 1 per second while the next permit is a second away. */
const RATE_CASES = [
  { name: 'a higher rate shortens the wait for the next permit', perSecond: 4, waitMs: 250 },
  { name: 'a lower rate extends the wait for the next permit', perSecond: 0.5, waitMs: 2_000 },
];

RATE_CASES.forEach(({ name, perSecond, waitMs }) => {
  test(name, () => {
    const schedule = new PermitSchedule({ perSecond: 1, firstAtMs: 0 });
    schedule.acquire({ nowMs: 0, maximumWaitMs: 0 });
    schedule.setRate(perSecond, 0);
    assert.equal(schedule.acquire({ nowMs: 0, maximumWaitMs: 0 }).waitMs, waitMs);
  });
});

test('a window of 4 s has at most the permits of the rate and one, and of 250 ms more', () => {
  const request = fc.record({
    pauseMs: fc.nat({ max: 600 }),
    maximumWaitMs: fc.nat({ max: 500 }),
  });
  fc.assert(
    fc.property(
      fc.double({ min: 0.1, max: 100, noNaN: true }),
      fc.array(request, { maxLength: 300 }),
      (perSecond, requests) => {
        const schedule = new PermitSchedule({ perSecond, firstAtMs: 0 });
        let nowMs = 0;
        const sent = requests.flatMap(({ pauseMs, maximumWaitMs }) => {
          nowMs += pauseMs;
          const { isGranted, waitMs } = schedule.acquire({ nowMs, maximumWaitMs });
          return isGranted ? [nowMs + waitMs] : [];
        });
        sent.forEach((startMs, index) => {
          const count = sent.slice(index).filter((ms) => ms < startMs + 4_000).length;
          assert.ok(count <= perSecond * 4 + Math.max(1, perSecond / 4) + 1);
        });
      },
    ),
    propertyParameters(300),
  );
});
