import assert from 'node:assert/strict';
import test from 'node:test';
import { ByteAccount, type Holding } from '../byteAccount';

const LIMIT_BYTES = 100;

/** Changes of holdings, and what remains; the first step of a holding opens it. */
const CASES: {
  name: string;
  steps: { holding: string; bytes: number; isProtected?: boolean }[];
  broken: string[];
  totalBytes: number;
}[] = [
  {
    name: 'holdings at the limit are kept',
    steps: [
      { holding: 'a', bytes: 60 },
      { holding: 'b', bytes: 40 },
    ],
    broken: [],
    totalBytes: 100,
  },
  {
    name: 'one byte above the limit, the largest is broken off',
    steps: [
      { holding: 'a', bytes: 60 },
      { holding: 'b', bytes: 41 },
    ],
    broken: ['a'],
    totalBytes: 41,
  },
  {
    name: 'the holding that grows is broken off if it is the largest',
    steps: [
      { holding: 'a', bytes: 30 },
      { holding: 'b', bytes: 30 },
      { holding: 'c', bytes: 50 },
    ],
    broken: ['c'],
    totalBytes: 60,
  },
  {
    name: 'several are broken off, the largest first, until the rest is within the limit',
    steps: [
      { holding: 'input', bytes: 10, isProtected: true },
      { holding: 'a', bytes: 30 },
      { holding: 'b', bytes: 40 },
      { holding: 'c', bytes: 20 },
      { holding: 'input', bytes: 75 },
    ],
    broken: ['b', 'a'],
    totalBytes: 95,
  },
  {
    name: 'a protected input is kept',
    steps: [
      { holding: 'input', bytes: 75, isProtected: true },
      { holding: 'a', bytes: 20 },
      { holding: 'b', bytes: 10 },
    ],
    broken: ['a'],
    totalBytes: 85,
  },
  {
    name: 'a holding that shrinks makes room',
    steps: [
      { holding: 'a', bytes: 90 },
      { holding: 'a', bytes: 10 },
      { holding: 'b', bytes: 90 },
    ],
    broken: [],
    totalBytes: 100,
  },
  {
    name: 'growth beyond the limit is noticed again after the limit was reached',
    steps: [
      { holding: 'a', bytes: 100 },
      { holding: 'b', bytes: 1 },
      { holding: 'c', bytes: 99 },
      { holding: 'b', bytes: 2 },
    ],
    broken: ['a', 'c'],
    totalBytes: 2,
  },
];

CASES.forEach(({ name, steps, broken, totalBytes }) => {
  test(name, () => {
    const brokenOff: string[] = [];
    const account = new ByteAccount({ limitBytes: LIMIT_BYTES });
    const holdings = new Map<string, Holding>();
    steps.forEach(({ holding, bytes, isProtected = false }) => {
      const breakOff = () => brokenOff.push(holding);
      const held = holdings.get(holding) ?? account.open({ kind: 'answer', breakOff });
      holdings.set(holding, held);
      held.resize(bytes);
      if (isProtected) assert.ok(held.protect());
    });
    assert.deepEqual(brokenOff, broken);
    assert.equal(account.totalBytes, totalBytes);
    assert.ok(account.peakBytes <= LIMIT_BYTES);
    holdings.forEach((holding) => holding.close());
    assert.equal(account.totalBytes, 0);
    assert.ok(account.hasRoomFor(LIMIT_BYTES * 0.75), 'nothing is protected any more');
  });
});

test('inputs are protected up to three quarters of the limit', () => {
  const account = new ByteAccount({ limitBytes: LIMIT_BYTES });
  const protect = (bytes: number) => {
    const input = account.open({ kind: 'input', breakOff: () => undefined });
    input.resize(bytes);
    return input.protect();
  };
  assert.deepEqual([protect(40), protect(35), protect(1)], [true, true, false]);
  assert.equal(account.bytesOf('input'), 76);
});
