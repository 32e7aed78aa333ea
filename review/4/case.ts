/* eslint-disable @stylistic/implicit-arrow-linebreak, @stylistic/max-len, @stylistic/nonblock-statement-body-position, @stylistic/object-curly-newline, curly, no-await-in-loop -- Relaxed for the sources of the repository as well, or left to prettier. */
/** LOST: a turn can't go on through another zone, as an ancestor in its chain belongs to an earlier program. */
import type { Host } from '../lib/hosts';
import { runCase } from '../lib/runCase';
import { sleep } from '../lib/standin';

const TOKENS = 80;
const BUDGET = 2_000;
/** Seconds after the first turn at which the second program goes on from it, and then from its own. */
const SECOND_S = 50;
const THIRD_S = 92;
const TRIES = 8;
const RETRY_MS = 500;
const RETAIN_S = 60;
/** Time until the second program should be finished, from its start. */
const FINISH_MS = 60_000;

runCase(4, async (deployment, hasTrouble) => {
  const { record } = deployment;
  const [first, second] = deployment.entries;
  if (!first || !second) throw new Error('too few entries');
  const runTurn = async (entry: Host, program: string, finishMs: number, previous?: string) => {
    const id = deployment.nextId('turn');
    const turn = { id, program, budget: BUDGET, tokens: TOKENS, input: `question ${id};` };
    const answer = await deployment.sendTurn(entry, {
      ...turn,
      finishMs,
      ...(previous !== undefined && { previous }),
    });
    return { id, answer, endedAtMs: performance.now() };
  };
  const startedAtMs = performance.now();
  const waitUntil = (seconds: number) =>
    sleep(Math.max(0, startedAtMs + seconds * 1_000 - performance.now()));
  const one = await runTurn(first, 'program-a', 10_000);
  await waitUntil(SECOND_S);
  // A new program goes on from a turn of an earlier one, inside its retention.
  const two = await runTurn(first, 'program-b', FINISH_MS, one.id);
  if (!one.answer.isWhole || !two.answer.isWhole)
    throw new Error('the first turns were not served');
  await waitUntil(THIRD_S);
  // The line of turns arrives through another zone.
  const entry = hasTrouble ? second : first;
  let firstTurns = 0;
  for (let index = 0; index < TRIES; index += 1) {
    const leftMs = Math.round(FINISH_MS - (performance.now() - two.endedAtMs));
    const ageS = (performance.now() - two.endedAtMs) / 1_000;
    const three = await runTurn(entry, 'program-b', leftMs, two.id);
    const other = await runTurn(entry, deployment.nextId('program'), 10_000);
    if (deployment.runs.has(other.id)) firstTurns += 1;
    const run = deployment.runs.get(three.id);
    record.write(
      `${three.id}: ${three.answer.status}, ${run ? `run with the body ${JSON.stringify(run.body)}` : 'reached no runner'}; ${two.id} was answered whole ${ageS.toFixed(1)} s before`,
    );
    if (run) return [];
    if (ageS > RETAIN_S) throw new Error('the retention has passed');
    await sleep(RETRY_MS);
  }
  if (firstTurns < TRIES)
    throw new Error(`only ${firstTurns} of ${TRIES} first turns reached a runner`);
  return [
    `LOST: a turn that goes on from ${two.id} reached no runner in ${TRIES} tries, though all ${firstTurns} first turns did`,
  ];
});
