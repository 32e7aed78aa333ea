import assert from 'node:assert/strict';
import test from 'node:test';
import { CallError, type Contract, ManualClock } from '@marjorampin/types';
import { CustomerLimits } from '../customerLimits';

function isAdmitted(limits: CustomerLimits, contract: Contract, rate: number): boolean {
  try {
    limits.admit(contract, rate);
    return true;
  } catch (error) {
    assert.ok(error instanceof CallError && error.kind === 'rate-limited');
    return false;
  }
}

test('refused calls use up the rate that others wait for', async () => {
  const clock = new ManualClock();
  const limits = new CustomerLimits({ clock });
  const contract = { customer: 'school', limits: { callsPerSecond: 1 } } as Contract;
  const results: boolean[] = [];
  for (let step = 0; step < 10; step += 1) {
    results.push(isAdmitted(limits, contract, 1));
    await clock.advance(500);
  }
  assert.deepEqual(results, [true, true, true, false, true, false, true, false, true, false]);
});
