/* eslint-disable @stylistic/implicit-arrow-linebreak, @stylistic/max-len, @stylistic/object-curly-newline -- Relaxed for the sources of the repository as well, or left to prettier. */
/** LOST: an entry that is stopped cuts streams that it accepted 3 to 4 s after SIGTERM. */
import http from 'node:http';
import type { ClientAnswer } from '../lib/client';
import { runCase } from '../lib/runCase';
import { sleep } from '../lib/standin';

/** A stream with 29 events and pauses of 130 ms: inside the route's timeout of 4 s. */
const TOKENS = 290;
const WORK_MS = 3_770;
const CHANNELS = 16;
const INTERVAL_MS = 240;
const FIRST_MS = 200;
/** Requests that were sent later than this after SIGTERM have no excuse in the rule. */
const EXCUSED_MS = 3_000;
/** The entry's grace period. */
const GRACE_MS = 8_000;

interface Sent {
  id: string;
  afterMs: number;
  answer: ClientAnswer;
}

runCase(5, async (deployment, hasTrouble) => {
  const { record, hosts } = deployment;
  const [entry] = deployment.entries;
  if (!entry) throw new Error('no entry');
  const turn = (workMs: number) => {
    const id = deployment.nextId('turn');
    const program = `p-${id}`;
    return { id, program, budget: 2_000, tokens: TOKENS, input: `question ${id};`, workMs };
  };
  // Each channel is kept open after a first turn.
  const agents = Array.from(
    { length: CHANNELS },
    () => new http.Agent({ keepAlive: true, maxSockets: 1 }),
  );
  await Promise.all(agents.map((agent) => deployment.sendTurn(entry, turn(300), agent)));
  const stoppedAtMs = performance.now();
  if (hasTrouble) {
    hosts.signal(entry, 'SIGTERM');
    setTimeout(() => hosts.signal(entry, 'SIGKILL'), GRACE_MS).unref();
  }
  const sent = await Promise.all(
    agents.map(async (agent, index): Promise<Sent> => {
      await sleep(FIRST_MS + index * INTERVAL_MS);
      const { id, ...rest } = turn(WORK_MS);
      const afterMs = performance.now() - stoppedAtMs;
      const answer = await deployment.sendTurn(entry, { id, ...rest }, agent);
      return { id, afterMs, answer };
    }),
  );
  const { runs } = deployment;
  sent.forEach(({ id, afterMs, answer }) => {
    record.write(
      `${id}: sent ${Math.round(afterMs)} ms after SIGTERM, ${runs.has(id) ? 'run' : 'not run'}, ${answer.status} ${answer.isWhole ? 'whole' : 'broken off'}`,
    );
  });
  return sent
    .filter(({ id, afterMs, answer }) => afterMs > EXCUSED_MS && runs.has(id) && !answer.isWhole)
    .map(
      ({ id, afterMs, answer }) =>
        `LOST: ${id}, sent ${Math.round(afterMs)} ms after SIGTERM, was passed on to a runner and its channel ended after ${answer.ms} ms without a complete answer`,
    );
});
