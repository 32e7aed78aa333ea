/** Checks the keepers' property in a thread of its own: the test runner tracks every promise of its
 * own thread, which makes the runs twenty times slower. */
import { parentPort, workerData } from 'node:worker_threads';
import fc from 'fast-check';
import { keeperProperty } from './keeperProperty';
import type { Mutation } from './simulatedKeepers';

/** What a worker is to check. */
export interface PropertyOrder {
  mutation: Mutation;
  seed: number;
  numRuns: number;
}

/** What it found; the report names the seed and path of a failure. */
export interface PropertyOutcome {
  failed: boolean;
  report: string;
}

const { mutation, seed, numRuns } = workerData as PropertyOrder;
const found = await fc.check(keeperProperty(mutation), { seed, numRuns, endOnFailure: true });
const outcome: PropertyOutcome = {
  failed: found.failed,
  report: found.failed ? (fc.defaultReportMessage(found) ?? '') : '',
};
parentPort?.postMessage(outcome);
