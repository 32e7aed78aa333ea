/* eslint-disable @stylistic/implicit-arrow-linebreak, @stylistic/max-len, @stylistic/object-curly-newline, no-await-in-loop, no-restricted-syntax -- Relaxed for the sources of the repository as well, or left to prettier. */
/** BUDGET: programs spend tokens twice after each keeper has been down once for some seconds. */
import type { Host } from '../lib/hosts';
import { eventData, EVENT_TOKENS } from '../lib/runnerStandin';
import { runCase } from '../lib/runCase';
import { sleep } from '../lib/standin';

const PROGRAMS = 12;
const TOKENS = 80;
const BUDGET = 480;
/** Seconds after the start at which the programs run turns, and how many each. */
const PHASES = [
  { atS: 0, turns: 4 },
  { atS: 45, turns: 1 },
  { atS: 90, turns: 6 },
];
/** Time for which a killed keeper is down. */
const DOWN_MS = 1_300;
/** Time from the kill to the programs' turns, in which other programs run. */
const OTHERS_MS = 250;
const RETRY_MS = 50;
/** Length of a turn. */
const WORK_MS = 40;

interface Program {
  id: string;
  handedOut: number;
}

runCase(1, async (deployment, hasTrouble) => {
  const { record, entries, hosts, keepers } = deployment;
  const [entry] = entries as [Host];
  const createProgram = (): Program => ({ id: deployment.nextId('program'), handedOut: 0 });
  const programs = Array.from({ length: PROGRAMS }, createProgram);
  const runTurns = async (program: Program, turns: number) => {
    for (let turn = 0; turn < turns; turn += 1) {
      const id = deployment.nextId('turn');
      const answer = await deployment.sendTurn(entry, {
        id,
        program: program.id,
        budget: BUDGET,
        tokens: TOKENS,
        input: `reading ${id};`,
        finishMs: 120_000,
        workMs: WORK_MS,
      });
      const events = [...answer.body.matchAll(/^data: (.*)$/gm)].filter(
        ([, data], index) => data === eventData(id, index),
      ).length;
      Object.assign(program, { handedOut: program.handedOut + events * EVENT_TOKENS });
      if (answer.status !== 200) await sleep(RETRY_MS);
    }
  };
  const startedAtMs = performance.now();
  // Another keeper is down in each phase.
  const [inZoneA, inZoneB, inZoneC] = keepers as [Host, Host, Host];
  const killed = [inZoneC, inZoneA, inZoneB];
  for (const [index, { atS, turns }] of PHASES.entries()) {
    await sleep(Math.max(0, startedAtMs + atS * 1_000 - performance.now()));
    const keeper = killed[index] as Host;
    if (hasTrouble) {
      await hosts.kill(keeper, { isDown: true });
      setTimeout(() => hosts.start(keeper), DOWN_MS);
    }
    const others = Array.from({ length: 3 }, createProgram);
    await Promise.all([sleep(OTHERS_MS), ...others.map((program) => runTurns(program, 2))]);
    await Promise.all(programs.map((program) => runTurns(program, turns)));
    record.write(
      `after ${atS} s: ${programs.map(({ handedOut }) => handedOut).join(', ')} tokens handed out`,
    );
  }
  await sleep(DOWN_MS);
  return programs
    .filter(({ handedOut }) => handedOut > BUDGET + TOKENS)
    .map(
      ({ id, handedOut }) =>
        `BUDGET: ${handedOut} tokens of ${id} were handed to the client; the budget is ${BUDGET}, the most of one turn ${TOKENS}`,
    );
});
