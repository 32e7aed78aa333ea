/** Checks `keeperProperty` in a worker thread, because the test runner tracks every promise of its
 * own thread, which makes the runs twenty times slower. */
import { parentPort, workerData } from 'node:worker_threads';
import fc from 'fast-check';
import { keeperProperty } from './keeperProperty';
import type { Mutation } from './simulatedKeepers';

/** Input of the worker. */
export interface PropertyTask {
  mutation: Mutation;
  seed: number;
  numRuns: number;
}

/** Result of the worker; `report` contains the seed and path of a failure. */
export interface PropertyResult {
  failed: boolean;
  report: string;
}

const { mutation, seed, numRuns } = workerData as PropertyTask;
const details = await fc.check(keeperProperty(mutation), { seed, numRuns, endOnFailure: true });
const result: PropertyResult = {
  failed: details.failed,
  report: details.failed ? (fc.defaultReportMessage(details) ?? '') : '',
};
parentPort?.postMessage(result);
