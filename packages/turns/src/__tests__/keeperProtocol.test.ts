import assert from 'node:assert/strict';
import test from 'node:test';
import { propertyParameters } from '@marjorampin/standins';
import type { PropertyTask, PropertyResult } from './keeperPropertyWorker';
import { runInThread } from './propertyThread';
import type { Mutation } from './simulatedKeepers';

/** Number of runs in CI; `FAST_CHECK_RUNS=10000` selects a long run. */
const { seed, numRuns: RUNS } = propertyParameters(400);
/** Runs within which a mutation must be detected; otherwise the property is too weak. */
const MUTANT_RUNS = 4_000;

function check(mutation: Mutation, numRuns: number): Promise<PropertyResult> {
  const task: PropertyTask = { mutation, seed, numRuns };
  return runInThread('./keeperPropertyWorker.ts', task);
}

test('committed turns stay readable and budgets are never exceeded despite lost or delayed messages, crashes, lost disks and broken links', async () => {
  const { failed, report } = await check('none', RUNS);
  assert.equal(failed, false, report);
});

const MUTATIONS: Mutation[] = [
  'acknowledges writes before the sync',
  'acknowledges lost requests',
  'treats a wiped keeper as complete',
  'omits other reservations from replies',
];

MUTATIONS.forEach((mutation) => {
  test(`the property detects an implementation that ${mutation}`, async () => {
    const { failed } = await check(mutation, MUTANT_RUNS);
    assert.equal(failed, true);
  });
});
