/* eslint-disable @stylistic/max-len, n/no-process-exit, no-console -- Relaxed for the sources of the repository as well, or left to prettier. */
/** Runs a case and ends the process with the exit code of its script. */
import { join } from 'node:path';
import { Deployment, type DeploymentOptions } from './deployment';
import { Record } from './record';

/** A run takes no longer than this. */
const LIMIT_MS = 118_000;

/** Returns the broken promises, empty if the rule held. */
export type Case = (deployment: Deployment, hasTrouble: boolean) => Promise<string[]>;

/** Runs the case of the folder `review/<folder>`; with `TROUBLE=0`, without the disruption. */
export async function runCase(
  folder: number | string,
  play: Case,
  options: Omit<DeploymentOptions, 'record'> = {},
): Promise<void> {
  const record = new Record(join('review', String(folder), 'record.txt'));
  const hasTrouble = process.env.TROUBLE !== '0';
  // An exit ends all processes that were started.
  (['SIGINT', 'SIGTERM'] as const).forEach((signal) => process.once(signal, () => process.exit(2)));
  let deployment: Deployment | undefined;
  const limit = setTimeout(() => {
    record.write('not run: the time limit has passed');
    process.exit(2);
  }, LIMIT_MS);
  let code = 2;
  try {
    deployment = await Deployment.start({ ...options, record });
    const broken = await play(deployment, hasTrouble);
    broken.forEach((line) => record.write(`BROKEN ${line}`));
    record.write(broken.length > 0 ? 'the rule was broken' : 'the rule held');
    code = broken.length > 0 ? 1 : 0;
  } catch (error) {
    record.write(`not run: ${String(error)}`);
  } finally {
    clearTimeout(limit);
    await deployment?.stop();
  }
  console.log(['held', 'broken', 'not run'][code]);
  process.exit(code);
}
