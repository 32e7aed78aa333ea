import assert from 'node:assert/strict';
import test from 'node:test';
import { ObservedRateLimit, type RateLimit } from '../observedRateLimit';

/** Observations in the order of their arrival, and the limit that follows from them. */
const CASES: { name: string; observations: RateLimit[]; perSecond: number | undefined }[] = [
  { name: 'unlimited at first', observations: [], perSecond: undefined },
  { name: 'limited', observations: [{ perSecond: 5, observedAtMs: 100 }], perSecond: 5 },
  {
    name: 'changed by a newer answer',
    observations: [
      { perSecond: 5, observedAtMs: 100 },
      { perSecond: 7, observedAtMs: 200 },
    ],
    perSecond: 7,
  },
  {
    name: 'not changed by an older observation of another process',
    observations: [
      { perSecond: 5, observedAtMs: 200 },
      { perSecond: 7, observedAtMs: 100 },
    ],
    perSecond: 5,
  },
  {
    name: 'ended by an answer to a request that was sent after the limit was stated',
    observations: [
      { perSecond: 5, observedAtMs: 100 },
      { perSecond: undefined, observedAtMs: 101 },
    ],
    perSecond: undefined,
  },
  {
    name: 'not ended by a late answer to a request that was sent before the limit was stated',
    observations: [
      { perSecond: 5, observedAtMs: 100 },
      { perSecond: undefined, observedAtMs: 99 },
    ],
    perSecond: 5,
  },
  {
    name: 'not stated again by an observation from before its end',
    observations: [
      { perSecond: 5, observedAtMs: 100 },
      { perSecond: undefined, observedAtMs: 300 },
      { perSecond: 5, observedAtMs: 200 },
    ],
    perSecond: undefined,
  },
  { name: 'at least 0.1', observations: [{ perSecond: 0, observedAtMs: 0 }], perSecond: 0.1 },
  {
    name: 'bounded if it is infinite',
    observations: [{ perSecond: Infinity, observedAtMs: 0 }],
    perSecond: 1_000_000,
  },
];

CASES.forEach(({ name, observations, perSecond }) => {
  test(`the rate limit of an endpoint is ${name}`, () => {
    const observed = new ObservedRateLimit();
    observations.forEach((observation) => observed.observe(observation));
    assert.equal(observed.current.perSecond, perSecond);
  });
});
