/* eslint-disable @stylistic/implicit-arrow-linebreak, @stylistic/max-len, @stylistic/object-curly-newline, no-await-in-loop -- Relaxed for the sources of the repository as well, or left to prettier. */
/** BUDGET: programs whose turns arrive through one zone after the other spend tokens twice. */
import type { Host } from '../lib/hosts';
import { eventData, EVENT_TOKENS } from '../lib/runnerStandin';
import { runCase } from '../lib/runCase';
import { sleep } from '../lib/standin';

const PROGRAMS = 40;
const TOKENS = 80;
const BUDGET = 480;
const EARLY_TURNS = 4;
/** Seconds after the first turns at which a program runs one turn, and then its last ones. */
const MIDDLE_S = 48;
const LATE_S = 90;
const LATE_TRIES = 5;
const RETRY_MS = 300;
/** Programs that run turns at the same time. */
const CONCURRENCY = 8;

interface Program {
  id: string;
  handedOut: number;
}

runCase(1, async (deployment, hasTrouble) => {
  const { record, entries } = deployment;
  const programs = Array.from({ length: PROGRAMS }, (): Program => ({
    id: deployment.nextId('program'),
    handedOut: 0,
  }));
  const runTurn = async (entry: Host, { id: program }: Program) => {
    const id = deployment.nextId('turn');
    const turn = { id, program, budget: BUDGET, tokens: TOKENS, input: `reading ${id};` };
    const answer = await deployment.sendTurn(entry, { ...turn, finishMs: 120_000 });
    const events = [...answer.body.matchAll(/^data: (.*)$/gm)].filter(
      ([, data], index) => data === eventData(id, index),
    ).length;
    return { tokens: events * EVENT_TOKENS, status: answer.status };
  };
  const runTurns = async (entry: Host, turns: number) => {
    const waiting = [...programs];
    const runNext = async () => {
      for (let program = waiting.shift(); program; program = waiting.shift()) {
        for (let turn = 0; turn < turns; turn += 1) {
          const { tokens, status } = await runTurn(entry, program);
          program.handedOut += tokens;
          if (status !== 200) await sleep(RETRY_MS);
        }
      }
    };
    await Promise.all(Array.from({ length: CONCURRENCY }, runNext));
  };
  const startedAtMs = performance.now();
  const waitUntil = (seconds: number) =>
    sleep(Math.max(0, startedAtMs + seconds * 1_000 - performance.now()));
  const [first, second, third] = entries as [Host, Host, Host];
  await runTurns(first, EARLY_TURNS);
  await waitUntil(MIDDLE_S);
  await runTurns(hasTrouble ? second : first, 1);
  await waitUntil(LATE_S);
  await runTurns(hasTrouble ? third : first, LATE_TRIES);
  return programs
    .filter(({ handedOut }) => handedOut > BUDGET + TOKENS)
    .map(({ id, handedOut }) => {
      record.write(`${id}: ${handedOut} tokens`);
      return `BUDGET: ${handedOut} tokens of ${id} were handed to the client; the budget is ${BUDGET}, the most of one turn ${TOKENS}`;
    });
});
