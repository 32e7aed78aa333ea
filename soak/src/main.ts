/**
 * Runs soaks from the command line: one for each of `--seeds` seeds, `--jobs` in parallel, each
 * with `--seconds` of faults.
 */
import { writeFileSync } from 'node:fs';
import { constants } from 'node:os';
import { cac } from 'cac';
import { runPlannedSoak } from './runPlannedSoak';
import { runSoak } from './runSoak';

/** Second octet of the first job's loopback addresses. */
const FIRST_NETWORK = 20;
/** Added by shells to the number of the signal that ended a process. */
const SIGNAL_EXIT_CODE = 128;

// Exits normally, so that the `exit` handlers of the soaks kill their processes.
(['SIGINT', 'SIGTERM'] as const).forEach((signal) => {
  process.once(signal, () => process.exit(SIGNAL_EXIT_CODE + constants.signals[signal]));
});

const cli = cac('soak');
cli
  .command('', 'Run the built processes under faults')
  .option('--first <seed>', 'First seed', { default: 1 })
  .option('--seeds <count>', 'Number of seeds', { default: 1 })
  .option('--jobs <count>', 'Number of soaks in parallel', { default: 1 })
  .option('--seconds <count>', 'Seconds of faults', { default: 20 })
  .option('--planned', 'Do planned work only, and check that no request loses its answer')
  .option('--log <folder>', 'Folder for the output of each soak, as SEED.log')
  .action(async ({ first, seeds, jobs, seconds, planned, log }) => {
    const remainingSeeds = Array.from(
      { length: Number(seeds) },
      (_, index) => Number(first) + index,
    );
    let failed = 0;
    const runSoaks = async (network: number) => {
      for (let seed = remainingSeeds.shift(); seed !== undefined; seed = remainingSeeds.shift()) {
        const lines: string[] = [];
        const run = planned ? runPlannedSoak : runSoak;
        const result = await run({
          seed: String(seed),
          durationMs: Number(seconds) * 1_000,
          network,
          output: (line) => lines.push(line),
        });
        if (log) writeFileSync(`${log}/${seed}.log`, lines.join(''));
        failed += result.broken.length > 0 ? 1 : 0;
        console.log(`seed ${seed}: ${JSON.stringify(result)}`);
      }
    };
    await Promise.all(
      Array.from({ length: Number(jobs) }, (_, job) => runSoaks(FIRST_NETWORK + job)),
    );
    console.log(`the soaks of ${failed} of ${seeds} seeds violated a guarantee`);
    process.exit(failed > 0 ? 1 : 0);
  });
cli.help();
cli.parse();
