/* eslint-disable @stylistic/implicit-arrow-linebreak, @stylistic/max-len, no-await-in-loop, no-restricted-syntax -- Relaxed for the sources of the repository as well, or left to prettier. */
/** BUDGET: after all keepers were killed and are back, a program spends tokens again that it has spent. */
import { eventData, EVENT_TOKENS } from '../lib/runnerStandin';
import { runCase } from '../lib/runCase';
import { sleep } from '../lib/standin';

const TOKENS = 80;
const BUDGET = 720;
/** Seconds after the first turn at which the program runs its turns. */
const EARLY_TURNS = 4;
const LATER_TURNS_S = [20, 40, 60, 75];
const KILL_S = 86;
const RETURN_S = 93;
const LATE_TRIES = 10;
const RETRY_MS = 400;

runCase(4, async (deployment, hasTrouble) => {
  const { record, hosts, keepers } = deployment;
  const [entry] = deployment.entries;
  if (!entry) throw new Error('no entry');
  const program = deployment.nextId('program');
  let handedOut = 0;
  const runTurn = async (previous?: string) => {
    const id = deployment.nextId('turn');
    const answer = await deployment.sendTurn(entry, {
      id,
      program,
      budget: BUDGET,
      tokens: TOKENS,
      input: `reading ${id};`,
      ...(previous !== undefined && { previous }),
      finishMs: 120_000,
    });
    const events = [...answer.body.matchAll(/^data: (.*)$/gm)].filter(
      ([, data], index) => data === eventData(id, index),
    ).length;
    handedOut += events * EVENT_TOKENS;
    record.write(`${id}: ${answer.status}, ${events} events; ${handedOut} tokens handed out`);
    return { id, answer };
  };
  const startedAtMs = performance.now();
  const waitUntil = (seconds: number) =>
    sleep(Math.max(0, startedAtMs + seconds * 1_000 - performance.now()));
  let last: string | undefined;
  for (let turn = 0; turn < EARLY_TURNS; turn += 1) last = (await runTurn(last)).id;
  for (const seconds of LATER_TURNS_S) {
    await waitUntil(seconds);
    last = (await runTurn(last)).id;
  }
  await waitUntil(KILL_S);
  if (hasTrouble) await Promise.all(keepers.map((keeper) => hosts.kill(keeper)));
  await waitUntil(RETURN_S);
  // Sub-agents, each of which starts a chain of its own; a 402 is repeated, as a looping program does.
  for (let index = 0; index < LATE_TRIES; index += 1) {
    const { answer } = await runTurn();
    if (answer.status !== 200) await sleep(RETRY_MS);
  }
  record.write(`${handedOut} tokens were handed out under a budget of ${BUDGET}`);
  if (handedOut <= BUDGET + TOKENS) return [];
  return [
    `BUDGET: ${handedOut} tokens were handed to the client; the budget is ${BUDGET}, the most of one turn ${TOKENS}`,
  ];
});
