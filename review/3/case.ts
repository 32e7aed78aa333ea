/* eslint-disable @stylistic/max-len, @stylistic/object-curly-newline, no-await-in-loop, no-restricted-syntax -- Relaxed for the sources of the repository as well, or left to prettier. */
/** CONFIG: a new route serves nothing any more after three runners of one zone have crashed. */
import type { Host } from '../lib/hosts';
import { PLAIN_SERVICE } from '../lib/deployment';
import { runCase } from '../lib/runCase';
import { sleep } from '../lib/standin';

const RUNNERS_PER_ZONE = 8;
/** An eighth of the service's runners, all of one zone. */
const CRASHING = 3;
/** Time from the operator's change to the first requests, longer than `configMs`. */
const CONFIGURED_MS = 3_000;
const WORK_MS = 1_200;
/** Time after which the runners crash, while each works on one of the first requests. */
const CRASH_MS = 500;
const DOWN_MS = 4_500;
/** Time after the return of the runners. */
const CALM_MS = 20_000;
const REQUESTS = 24;
const PAUSE_MS = 250;
/** Requests on a new route have to be served at least this often, against those on the first ones. */
const LEAST_SHARE = 0.25;

runCase(
  3,
  async (deployment, hasTrouble) => {
    const { record, entries, runners } = deployment;
    const call = async (entry: Host, route: string, workMs: number) => {
      const id = deployment.nextId(route);
      const path = `/${route}/2f`;
      const answer = await deployment.sendCall(entry, { id, path, body: `entry ${id}`, workMs });
      return answer.status === 200 && answer.isWhole;
    };
    const entryOf = (index: number) => entries[index % entries.length] as Host;
    deployment.addRoute('seal');
    await sleep(CONFIGURED_MS);
    const first = Array.from({ length: RUNNERS_PER_ZONE }, () => call(entryOf(0), 'seal', WORK_MS));
    await sleep(CRASH_MS);
    const crashed = runners
      .filter(({ options }) => options.service === PLAIN_SERVICE && options.zone === 'sur-a')
      .slice(0, CRASHING);
    record.write(
      `at work: ${runners.map(({ options, busy }) => `${options.id} ${busy}`).join(', ')}`,
    );
    if (hasTrouble) {
      await Promise.all(crashed.map((runner) => deployment.crashRunner(runner)));
      await sleep(DOWN_MS);
      for (const runner of crashed) await deployment.restartRunner(runner);
    }
    await Promise.all(first);
    await sleep(CALM_MS);
    let isServed = 0;
    let isServedOnFirst = 0;
    for (let index = 0; index < REQUESTS; index += 1) {
      if (await call(entryOf(index), 'seal', 50)) isServed += 1;
      if (await call(entryOf(index), 'cert', 50)) isServedOnFirst += 1;
      await sleep(PAUSE_MS);
    }
    record.write(
      `served: ${isServed} of ${REQUESTS} on the new route, ${isServedOnFirst} on a first one`,
    );
    if (isServed >= isServedOnFirst * LEAST_SHARE) return [];
    return [
      `CONFIG: ${isServed} of ${REQUESTS} requests on the route that was added later are served, ${isServedOnFirst} of ${REQUESTS} on one of the first routes`,
    ];
  },
  { plainRunnersPerZone: RUNNERS_PER_ZONE },
);
