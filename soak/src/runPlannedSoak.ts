import { SystemClock } from '@marjorampin/types';
import seedrandom from 'seedrandom';
import { doPlannedWork, TIMEOUTS_MS } from './plannedWork';
import {
  continueCompletedTurns,
  type SoakOptions,
  type SoakResult,
  waitUntilServed,
} from './runSoak';
import { SoakCaller } from './soakCaller';
import { type RandomSource, SoakEnvironment, type SoakSize } from './soakEnvironment';
import { buildBundle } from './soakHosts';
import { SoakRecord } from './soakRecord';

const clock = new SystemClock();

const SIZE: SoakSize = { entries: 4, keepers: 4, endpoints: 4, zones: 2, graceS: 8 };
const CONCURRENT_PROGRAMS = 24;
const PROGRAM_INTERVAL_MS = 50;
const STARTUP_TIMEOUT_MS = 60_000;
const RECOVERY_TIMEOUT_MS = 15_000;
/** Longer than the timeouts of all routes, so that entries answer first. */
const DEADLINE_MS = 8_000;
/** Durations of requests; most are short, so that many are sent. */
const LONGEST_MS = 3_000;
const SHORT_MS = 50;
const LONG_SHARE = 0.3;
/** Numbers of the log events of a process that fails and of a connection that is ended unanswered. */
const FAILURE = '"event":105';
const ENDED_CONNECTION = '"event":819';

/** Result of a soak with planned work. */
export interface PlannedSoakResult extends SoakResult {
  /** Log lines of connections that entries ended with a request that was not answered whole. */
  endedConnections: number;
}

function durationsFrom(random: RandomSource): () => string {
  return () => String(Math.round(random() < LONG_SHARE ? random() * LONGEST_MS : SHORT_MS));
}

/** Counts lines of the processes' output. */
class OutputCounter {
  failures = 0;

  endedConnections = 0;

  private rest = '';

  read(text: string): void {
    const lines = (this.rest + text).split('\n');
    this.rest = lines.pop() ?? '';
    lines.forEach((line) => {
      if (line.includes(FAILURE)) this.failures += 1;
      if (line.includes(ENDED_CONNECTION)) this.endedConnections += 1;
    });
  }
}

/**
 * Runs entries and keepers as processes of the built bundle while operators stop, configure, drain and
 * retire, and nothing else happens. Callers send requests on open connections until each process is
 * gone; no request that was read may end without a whole answer.
 */
export async function runPlannedSoak(options: SoakOptions): Promise<PlannedSoakResult> {
  const { seed, durationMs, network, output = () => undefined } = options;
  const record = new SoakRecord({ answerTimeoutMs: Math.min(...TIMEOUTS_MS) });
  const counter = new OutputCounter();
  const environment = new SoakEnvironment({
    network: `127.${network}`,
    record,
    size: SIZE,
    output: (text) => {
      counter.read(text);
      output(text);
    },
  });
  const callers: SoakCaller[] = [];
  try {
    buildBundle();
    await environment.start();
    await environment.writeConfiguration({ timeoutMs: TIMEOUTS_MS[0] });
    const entries = environment.directAddresses;
    const createCaller = (name: string, nextDuration?: () => string) => {
      const random = seedrandom(`${seed} ${name}`);
      const caller = new SoakCaller({
        record,
        random,
        entries,
        deadlineMs: DEADLINE_MS,
        nextDuration,
        prefix: name,
      });
      callers.push(caller);
      return caller;
    };
    const checker = createCaller('checker');
    await waitUntilServed(checker, STARTUP_TIMEOUT_MS);
    const nextDuration = durationsFrom(seedrandom(`${seed} durations`));
    let isDone = false;
    const load = Array.from({ length: CONCURRENT_PROGRAMS }, async (_, index) => {
      const caller = createCaller(`caller${index}`, () =>
        isDone ? String(SHORT_MS) : nextDuration(),
      );
      while (!isDone) {
        await caller.runProgram();
        await clock.sleep(PROGRAM_INTERVAL_MS);
      }
    });
    const workRandom = seedrandom(`${seed} work`);
    const faults = await doPlannedWork({ environment, random: workRandom, durationMs, output });
    isDone = true;
    await Promise.all(load);
    if (!(await waitUntilServed(checker, RECOVERY_TIMEOUT_MS))) {
      record.report(`RECOVER: no program succeeded within ${RECOVERY_TIMEOUT_MS} ms`);
    }
    await Promise.all(callers.map((caller) => continueCompletedTurns(caller, record)));
    if (counter.failures > 0) record.report(`FAULT: ${counter.failures} processes failed`);
    return {
      broken: record.violations,
      outcomes: Object.fromEntries(record.outcomes),
      faults,
      keptTurns: callers.reduce((sum, { completedTurns }) => sum + completedTurns.length, 0),
      endedConnections: counter.endedConnections,
    };
  } finally {
    callers.forEach((caller) => caller.close());
    await environment.stop();
  }
}
