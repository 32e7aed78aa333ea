import { SystemClock } from '@marjorampin/types';
import seedrandom from 'seedrandom';
import { buildBundle } from './soakHosts';
import { SoakCaller } from './soakCaller';
import { injectFaults } from './soakFaults';
import { SoakRecord } from './soakRecord';
import { SoakEnvironment } from './soakEnvironment';

const clock = new SystemClock();

/** Number of agent programs that run concurrently. */
const CONCURRENT_PROGRAMS = 6;
const PROGRAM_INTERVAL_MS = 100;
/** Time after the last fault within which a whole program has to succeed. */
const RECOVERY_TIMEOUT_MS = 15_000;
/** Maximum wait for a first program to succeed before faults are injected. */
const STARTUP_TIMEOUT_MS = 60_000;

/** Options of `runSoak`. */
export interface SoakOptions {
  /** Seed of the callers' and faults' random numbers. */
  seed: string;
  /** Milliseconds during which faults are injected. */
  durationMs: number;
  /** Second octet of the loopback addresses, `127.N`; parallel soaks need different ones. */
  network: number;
  /** Receives the output of the processes and a line for each injected fault. */
  output?: (line: string) => void;
}

/** Result of a soak. */
export interface SoakResult {
  /** Violated guarantees. */
  broken: string[];
  /** Number of requests by status. */
  outcomes: Record<string, number>;
  /** Number of injected faults. */
  faults: number;
  /** Number of completed turns, including those of the final check. */
  keptTurns: number;
}

/**
 * Runs entries and keepers as processes of the built bundle, injects faults and checks the
 * guarantees that callers and endpoints can observe.
 */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const { seed, durationMs, network, output = () => undefined } = options;
  const record = new SoakRecord();
  const environment = new SoakEnvironment({ network: `127.${network}`, record, output });
  let caller: SoakCaller | undefined;
  try {
    buildBundle();
    await environment.start();
    caller = new SoakCaller({
      record,
      random: seedrandom(`${seed} callers`),
      entries: environment.entryAddresses,
    });
    await waitUntilServed(caller, STARTUP_TIMEOUT_MS);
    const load = runLoad(caller, durationMs);
    const faults = await injectFaults({
      environment,
      random: seedrandom(`${seed} faults`),
      durationMs,
      output,
    });
    await load;
    if (!(await waitUntilServed(caller, RECOVERY_TIMEOUT_MS))) {
      record.report(
        `RECOVER: no program succeeded within ${RECOVERY_TIMEOUT_MS} ms after the last fault`,
      );
    }
    await continueCompletedTurns(caller, record);
    return {
      broken: record.violations,
      outcomes: Object.fromEntries(record.outcomes),
      faults,
      keptTurns: caller.completedTurns.length,
    };
  } finally {
    caller?.close();
    await environment.stop();
  }
}

/** Runs programs one after the other until one succeeds; false when the time limit passes first. */
export async function waitUntilServed(caller: SoakCaller, limitMs: number): Promise<boolean> {
  const until = performance.now() + limitMs;
  while (performance.now() < until) {
    if (await caller.runProgram()) return true;
    await clock.sleep(PROGRAM_INTERVAL_MS);
  }
  return false;
}

async function runLoad(caller: SoakCaller, durationMs: number): Promise<void> {
  const until = performance.now() + durationMs;
  const runCaller = async () => {
    while (performance.now() < until) {
      await caller.runProgram();
      await clock.sleep(PROGRAM_INTERVAL_MS);
    }
  };
  await Promise.all(Array.from({ length: CONCURRENT_PROGRAMS }, runCaller));
}

/** Checks that every completed turn can still be continued. */
export async function continueCompletedTurns(
  caller: SoakCaller,
  record: SoakRecord,
): Promise<void> {
  for (const turn of [...caller.completedTurns]) {
    if (!(await caller.continueTurn(turn))) {
      record.report(`LOST: turn ${turn.id} can't be continued after the faults`);
    }
  }
}
