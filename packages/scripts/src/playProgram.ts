import { type CallerClient, ProgramClient, type TimedAnswer } from '@marjorampin/client';
import type { ProgramScript, Step } from './programScript';

/** One call of a played program. */
export interface PlayedCall {
  program: string;
  label: string;
  answer: TimedAnswer['answer'];
  totalMs: number;
}

/** A played program. */
export interface PlayedProgram {
  name: string;
  program: string;
  calls: PlayedCall[];
  /** Time from opening to the end, pauses included. */
  totalMs: number;
  inputTokens: number;
  outputTokens: number;
  spentTokens: number;
  /** Tokens of context that an engine built again. */
  rebuiltTokens: number;
  turns: unknown[];
}

/** Plays a program from opening to end. */
export async function playProgram(
  client: CallerClient,
  script: ProgramScript,
): Promise<PlayedProgram> {
  const startedMs = performance.now();
  const program = await ProgramClient.open(client);
  const calls = await playSteps(program, script.steps);
  const { turns } = await program.history();
  const ended = await program.end();
  const sum = (key: 'inputTokens' | 'outputTokens' | 'rebuiltTokens') =>
    calls.reduce((total, { answer }) => total + answer.usage[key], 0);
  return {
    name: script.name,
    program: program.program,
    calls,
    totalMs: performance.now() - startedMs,
    inputTokens: sum('inputTokens'),
    outputTokens: sum('outputTokens'),
    spentTokens: ended.usage.spentTokens,
    rebuiltTokens: sum('rebuiltTokens'),
    turns,
  };
}

async function playSteps(program: ProgramClient, steps: Step[]): Promise<PlayedCall[]> {
  const calls: PlayedCall[] = [];
  for (const step of steps) calls.push(...(await playStep(program, step)));
  return calls;
}

async function playStep(program: ProgramClient, step: Step): Promise<PlayedCall[]> {
  switch (step.call) {
    case 'model': {
      const { service, input, maximumTokens } = step;
      const timed = await program.callModel({ service, input, maximumTokens, stream: true });
      return [played(program, `model ${service}`, timed)];
    }
    case 'service': {
      const { service, operation, idempotencyKey, body } = step;
      const timed = await program.callService({ service, operation, idempotencyKey, body });
      return [played(program, `${service} ${operation}`, timed)];
    }
    case 'sub-agent': {
      const child = await program.spawn(step.budgetTokens);
      const calls = await playSteps(child, step.steps);
      await child.end();
      return calls;
    }
    default:
      await new Promise((resolve) => {
        setTimeout(resolve, step.milliseconds);
      });
      return [];
  }
}

function played(program: ProgramClient, label: string, timed: TimedAnswer): PlayedCall {
  const { answer, totalMs } = timed;
  return { program: program.program, label, answer, totalMs };
}
