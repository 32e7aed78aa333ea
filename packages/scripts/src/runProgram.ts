import { type CallerClient, ProgramClient, type TimedAnswer } from '@marjorampin/client';
import type { ProgramScript, Step } from './programScript';

/** One call that a script made. */
export interface ScriptedCall {
  /** Id of the program, or of the sub-agent's program, that made the call. */
  program: string;
  /** `model SERVICE` or `SERVICE OPERATION`. */
  label: string;
  answer: TimedAnswer['answer'];
  totalMs: number;
}

/** Result of running a script. */
export interface ProgramRun {
  /** Name of the script. */
  name: string;
  /** Id of the program. */
  program: string;
  calls: ScriptedCall[];
  /** Time from opening the program to its end, including pauses. */
  totalMs: number;
  inputTokens: number;
  outputTokens: number;
  spentTokens: number;
  /** Context tokens that engines had cached, evicted and computed again. */
  rebuiltTokens: number;
  turns: unknown[];
}

/** Runs a script: opens a program, runs the steps one after another and ends the program. */
export async function runProgram(client: CallerClient, script: ProgramScript): Promise<ProgramRun> {
  const startedMs = performance.now();
  const program = await ProgramClient.open(client);
  const calls = await runSteps(program, script.steps);
  const { turns } = await program.history();
  const ended = await program.end();
  const sumUsage = (field: 'inputTokens' | 'outputTokens' | 'rebuiltTokens') =>
    calls.reduce((total, { answer }) => total + answer.usage[field], 0);
  return {
    name: script.name,
    program: program.program,
    calls,
    totalMs: performance.now() - startedMs,
    inputTokens: sumUsage('inputTokens'),
    outputTokens: sumUsage('outputTokens'),
    spentTokens: ended.usage.spentTokens,
    rebuiltTokens: sumUsage('rebuiltTokens'),
    turns,
  };
}

async function runSteps(program: ProgramClient, steps: Step[]): Promise<ScriptedCall[]> {
  const calls: ScriptedCall[] = [];
  for (const step of steps) calls.push(...(await runStep(program, step)));
  return calls;
}

async function runStep(program: ProgramClient, step: Step): Promise<ScriptedCall[]> {
  switch (step.call) {
    case 'model': {
      const { service, input, maximumTokens } = step;
      const timedAnswer = await program.callModel({ service, input, maximumTokens, stream: true });
      return [createScriptedCall(program, `model ${service}`, timedAnswer)];
    }
    case 'service': {
      const { service, operation, idempotencyKey, body } = step;
      const timedAnswer = await program.callService({ service, operation, idempotencyKey, body });
      return [createScriptedCall(program, `${service} ${operation}`, timedAnswer)];
    }
    case 'sub-agent': {
      const child = await program.spawn(step.budgetTokens);
      const calls = await runSteps(child, step.steps);
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

function createScriptedCall(
  program: ProgramClient,
  label: string,
  timedAnswer: TimedAnswer,
): ScriptedCall {
  const { answer, totalMs } = timedAnswer;
  return { program: program.program, label, answer, totalMs };
}
