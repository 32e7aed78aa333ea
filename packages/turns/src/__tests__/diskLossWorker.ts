/** Checks `diskLossProperty` or given scenarios in a worker thread, as both replace files and
 * connections of their whole thread. */
import { parentPort, workerData } from 'node:worker_threads';
import fc from 'fast-check';
import { diskLossProperty, runScenario, type Scenario } from './diskLossProperty';
import type { KeeperMutation } from './disruptedKeepers';

/** Input of the worker: scenarios, or the seed and number of random ones. */
export type DiskLossTask =
  | { scenarios: Scenario[]; mutation?: KeeperMutation }
  | { mutation: KeeperMutation; seed: number; numRuns: number; shrinks: boolean };

/** Result of each scenario, or of all random ones; `report` contains the seed, path and scenario of a failure. */
export interface DiskLossResult {
  failed: boolean;
  report: string;
}

// The property is checked with many failed calls, whose stacks nobody reads.
Error.stackTraceLimit = 0;

async function checkScenario(
  scenario: Scenario,
  mutation: KeeperMutation = 'none',
): Promise<DiskLossResult> {
  return runScenario(scenario, mutation).then(
    () => ({ failed: false, report: '' }),
    (error: unknown) => ({ failed: true, report: String(error) }),
  );
}

async function check(task: DiskLossTask): Promise<DiskLossResult[]> {
  if ('scenarios' in task) {
    const results: DiskLossResult[] = [];
    for (const scenario of task.scenarios) {
      results.push(await checkScenario(scenario, task.mutation));
    }
    return results;
  }
  const { mutation, seed, numRuns, shrinks } = task;
  const options = { seed, numRuns, endOnFailure: !shrinks };
  const details = await fc.check(diskLossProperty(mutation), options);
  if (!details.failed) return [{ failed: false, report: '' }];
  const report = `${fc.defaultReportMessage(details)}\n${String(details.errorInstance)}`;
  return [{ failed: true, report }];
}

parentPort?.postMessage(await check(workerData as DiskLossTask));
