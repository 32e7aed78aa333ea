import assert from 'node:assert/strict';
import { once } from 'node:events';
import test from 'node:test';
import { Worker } from 'node:worker_threads';
import { propertyRuns } from '@marjorampin/standins';
import type { PropertyOrder, PropertyOutcome } from './keeperPropertyWorker';
import type { Mutation } from './simulatedKeepers';

/** CI plays so many runs; `FAST_CHECK_RUNS=10000` is the long run. */
const { seed, numRuns: RUNS } = propertyRuns(400);
/** Mutants get as many runs as it takes to find them; more than this says the test is blind. */
const MUTANT_RUNS = 4_000;

async function check(mutation: Mutation, numRuns: number): Promise<PropertyOutcome> {
  const order: PropertyOrder = { mutation, seed, numRuns };
  const { href: module } = new URL('./keeperPropertyWorker.ts', import.meta.url);
  const loader = new URL('./typescriptWorker.mjs', import.meta.url);
  const worker = new Worker(loader, { workerData: { ...order, module } });
  const [outcome] = await once(worker, 'message');
  await worker.terminate();
  return outcome as PropertyOutcome;
}

test('turns and budgets hold through lost and late messages, crashes, wipes and cuts', async () => {
  const { failed, report } = await check('none', RUNS);
  assert.equal(failed, false, report);
});

const MUTATIONS: Mutation[] = [
  'acknowledges before the sync',
  'takes silence for an answer',
  'counts a wiped keeper as complete',
  'forgets what it reserved',
];

MUTATIONS.forEach((mutation) => {
  test(`the property finds a keeper that ${mutation}`, async () => {
    const { failed } = await check(mutation, MUTANT_RUNS);
    assert.equal(failed, true);
  });
});
