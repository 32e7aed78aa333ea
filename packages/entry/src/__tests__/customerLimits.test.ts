import assert from 'node:assert/strict';
import test from 'node:test';
import { CallError, type Contract, ManualClock } from '@marjorampin/types';
import { callRateAllowance, programAllowance, usedPartitions } from '../contractTerms';
import { CustomerLimits } from '../customerLimits';

const DURATION_S = 20;
const STEP_MS = 50;
/** Calls that a customer may make at once, in seconds of the contract's rate. */
const BURST_S = 2;

const CASES = [
  { callsPerSecond: 1, concurrentPrograms: 1, partitions: 8, owners: 8 },
  { callsPerSecond: 3, concurrentPrograms: 100, partitions: 8, owners: 60 },
  { callsPerSecond: 10, concurrentPrograms: 10, partitions: 8, owners: 3 },
  { callsPerSecond: 100, concurrentPrograms: 7, partitions: 64, owners: 60 },
  { callsPerSecond: 5, concurrentPrograms: 1_000, partitions: 1, owners: 3 },
];

function contractOf({ callsPerSecond, concurrentPrograms, partitions }: (typeof CASES)[number]) {
  return {
    customer: 'school',
    partitions,
    limits: { callsPerSecond, concurrentPrograms },
  } as Contract;
}

/** Returns for each owner whether it owns a partition; the partitions are dealt out in turn. */
function ownersOf(contract: Contract, count: number) {
  const partitions = usedPartitions(contract);
  return Array.from(
    { length: count },
    (_, owner) => (partition: number) => partitions.indexOf(partition) % count === owner,
  );
}

function isAdmitted(limits: CustomerLimits, contract: Contract, rate: number): boolean {
  try {
    limits.admit(contract, rate);
    return true;
  } catch (error) {
    assert.ok(error instanceof CallError && error.kind === 'rate-limited');
    return false;
  }
}

CASES.forEach((options) => {
  const { callsPerSecond, concurrentPrograms, partitions, owners } = options;
  const contract = contractOf(options);
  const name = `${owners} owners of ${partitions} partitions`;

  test(`${name} admit more than ${callsPerSecond} calls per second`, async () => {
    const clock = new ManualClock();
    const parts = ownersOf(contract, owners)
      .filter((owns) => usedPartitions(contract).some(owns))
      .map((owns) => ({
        limits: new CustomerLimits({ clock }),
        rate: callRateAllowance(contract, owns),
      }));
    let admitted = 0;
    for (let step = 0; step * STEP_MS < DURATION_S * 1_000; step += 1) {
      for (const { limits, rate } of parts) {
        while (isAdmitted(limits, contract, rate)) admitted += 1;
      }
      await clock.advance(STEP_MS);
    }
    const most = callsPerSecond * (DURATION_S + BURST_S);
    assert.ok(admitted <= most, `${admitted} calls of at most ${most}`);
    assert.ok(admitted >= callsPerSecond * (DURATION_S - 1), `only ${admitted} calls`);
  });

  test(`${name} allow more or fewer than ${concurrentPrograms} programs`, () => {
    const allowed = ownersOf(contract, owners)
      .map((owns) => programAllowance(contract, owns))
      .reduce((sum, part) => sum + part, 0);
    assert.equal(allowed, concurrentPrograms);
  });
});

test('refused calls use up the rate that others wait for', async () => {
  const clock = new ManualClock();
  const limits = new CustomerLimits({ clock });
  const contract = contractOf({
    callsPerSecond: 1,
    concurrentPrograms: 1,
    partitions: 1,
    owners: 1,
  });
  const results: boolean[] = [];
  for (let step = 0; step < 10; step += 1) {
    results.push(isAdmitted(limits, contract, 1));
    await clock.advance(500);
  }
  assert.deepEqual(results, [true, true, true, false, true, false, true, false, true, false]);
});
