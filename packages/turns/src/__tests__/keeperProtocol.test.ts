import assert from 'node:assert/strict';
import { once } from 'node:events';
import test from 'node:test';
import { Worker } from 'node:worker_threads';
import { propertyParameters } from '@marjorampin/standins';
import type { PropertyTask, PropertyResult } from './keeperPropertyWorker';
import type { Mutation } from './simulatedKeepers';

/** Number of runs in CI; `FAST_CHECK_RUNS=10000` selects a long run. */
const { seed, numRuns: RUNS } = propertyParameters(400);
/** Runs within which a mutation must be detected; otherwise the property is too weak. */
const MUTANT_RUNS = 4_000;

async function check(mutation: Mutation, numRuns: number): Promise<PropertyResult> {
  const task: PropertyTask = { mutation, seed, numRuns };
  const { href: module } = new URL('./keeperPropertyWorker.ts', import.meta.url);
  const loader = new URL('./typescriptWorker.mjs', import.meta.url);
  const worker = new Worker(loader, { workerData: { ...task, module } });
  const [result] = await once(worker, 'message');
  await worker.terminate();
  return result as PropertyResult;
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
