import { CallerClient, ProblemError, ProgramClient } from '@marjorampin/client';
import { request } from 'undici';
import { CALLER_KEY, createBenchConfiguration } from './benchConfiguration';
import { PARTITION_SETTLE_MS, ProcessCluster, type RunningProcess, sleep } from './processCluster';
import { quantile } from './quantiles';
import { writeResults } from './results';

const ENTRIES = 4;
const PROGRAMS = 40;
const ROUNDS = Number(process.env.FAILOVER_ROUNDS ?? 20);
/** Time between SIGSTOP and SIGCONT. */
const ENTRY_PAUSE_MS = 5_000;
/** Time between the kill of an entry and its restart. */
const RESTART_DELAY_MS = 1_500;
/** Time after a fault within which a turn that begins counts as near the fault. */
const NEAR_FAULT_MS = 3_000;
/** Time from the end of one fault to the next. */
const FAULT_INTERVAL_MS = 3_500;
const ENGINE_ARGUMENTS = [
  '--decode-step-ms',
  '4',
  '--batch-size',
  '128',
  '--prefill-tokens-per-ms',
  '200',
];

/** A fault that is injected into a process. */
type Fault = 'kill-entry' | 'pause-entry' | 'drain-entry' | 'kill-agent' | 'drain-agent';

const FAULTS: Fault[] = ['kill-entry', 'pause-entry', 'drain-entry', 'kill-agent', 'drain-agent'];

/** Latencies, calls and failures of the programs. */
class LoadMeasurements {
  readonly turnMs: number[] = [];

  /** Latencies of turns in progress at a fault or begun within `NEAR_FAULT_MS` after it. */
  readonly turnMsNearFault: number[] = [];

  /** Number of failures by the title of the problem. */
  readonly failed = new Map<string, number>();

  serviceCalls = 0;

  recordServiceCall(): void {
    this.serviceCalls += 1;
  }

  recordFailure(name: string): void {
    this.failed.set(name, (this.failed.get(name) ?? 0) + 1);
  }
}

/**
 * Kills, pauses and drains entries and agents under load and measures the latency of turns near
 * each fault. `failover FAULT` measures a single kind of fault.
 */
export async function measureFailover(): Promise<void> {
  const results: Record<string, unknown> = {};
  const faults = process.argv[3] ? [process.argv[3] as Fault] : FAULTS;
  for (const fault of faults) {
    results[fault] = await measureFault(fault);
    console.log(fault, JSON.stringify(results[fault]));
  }
  console.log(`written to ${writeResults('failover', results)}`);
}

async function measureFault(fault: Fault) {
  const cluster = new ProcessCluster({
    configuration: createBenchConfiguration(),
    entryCount: ENTRIES,
    endpointCount: 3,
    domains: ['domain-a', 'domain-b', 'domain-c'],
    engineArguments: ENGINE_ARGUMENTS,
  });
  try {
    await cluster.start();
    // Waits until the partitions are distributed over all entries.
    await sleep(PARTITION_SETTLE_MS);
    return await measureUnderLoad(cluster, fault);
  } finally {
    cluster.close();
  }
}

async function measureUnderLoad(cluster: ProcessCluster, fault: Fault) {
  const measurements = new LoadMeasurements();
  const state = { isStopped: false, faultAtMs: 0 };
  const clients: CallerClient[] = [];
  const workers = Array.from({ length: PROGRAMS }, (_, index) => {
    const client = new CallerClient({ urls: [], key: CALLER_KEY, rotatesEntries: true });
    clients.push(client);
    return runPrograms(client, cluster, index, measurements, state);
  });
  const writesBefore = await readStoreWrites(cluster);
  const startedMs = performance.now();
  for (let round = 0; round < ROUNDS; round += 1) {
    state.faultAtMs = performance.now();
    await injectFault(cluster, fault, round);
    await sleep(FAULT_INTERVAL_MS);
  }
  state.isStopped = true;
  await Promise.all(workers);
  const seconds = (performance.now() - startedMs) / 1_000;
  const writes = (await readStoreWrites(cluster)) - writesBefore;
  await Promise.all(clients.map((client) => client.close()));
  return {
    rounds: ROUNDS,
    turns: measurements.turnMs.length,
    serviceCalls: measurements.serviceCalls,
    nearFaultMs: summarize(measurements.turnMsNearFault),
    allMs: summarize(measurements.turnMs),
    failed: Object.fromEntries(measurements.failed),
    unknownOutcomes: measurements.failed.get('outcome-unknown') ?? 0,
    doubledExecutions: await countRepeatedExecutions(cluster),
    storeWritesPerSecond: Number((writes / seconds).toFixed(1)),
  };
}

function summarize(samples: number[]) {
  const percentile = (fraction: number) => Math.round(quantile(samples, fraction));
  return {
    count: samples.length,
    p50: percentile(0.5),
    p95: percentile(0.95),
    p99: percentile(0.99),
    max: percentile(1),
  };
}

/** Runs programs of model and service calls, one after the other, until stopped. */
async function runPrograms(
  client: CallerClient,
  cluster: ProcessCluster,
  index: number,
  measurements: LoadMeasurements,
  state: { isStopped: boolean; faultAtMs: number },
): Promise<void> {
  for (let round = 0; !state.isStopped; round += 1) {
    client.setUrls(cluster.urls);
    try {
      const program = await ProgramClient.open(client);
      for (let turn = 0; turn < 6 && !state.isStopped; turn += 1) {
        client.setUrls(cluster.urls);
        const startedMs = performance.now();
        const key = `booking-${index}-${round}-${turn}`;
        const isService = turn % 3 === 2;
        if (isService) measurements.recordServiceCall();
        await (isService
          ? program.callService({ service: 'bookings', operation: 'book', idempotencyKey: key })
          : program.callModel({ service: 'assistant', input: `turn ${turn}`, maximumTokens: 20 }));
        const endedMs = performance.now();
        measurements.turnMs.push(endedMs - startedMs);
        const isNearFault =
          endedMs > state.faultAtMs && startedMs < state.faultAtMs + NEAR_FAULT_MS;
        if (isNearFault) measurements.turnMsNearFault.push(endedMs - startedMs);
        await sleep(50 + ((index * 7) % 50));
      }
      await program.end();
    } catch (error) {
      const name = error instanceof ProblemError ? error.problem.title : String(error);
      measurements.recordFailure(name);
      await sleep(100);
    }
  }
}

async function injectFault(cluster: ProcessCluster, fault: Fault, round: number): Promise<void> {
  const entryIndex = round % cluster.entries.length;
  const agentIndex = round % cluster.agents.length;
  switch (fault) {
    case 'kill-entry':
      await terminate(cluster.entries[entryIndex], 'SIGKILL');
      await sleep(RESTART_DELAY_MS);
      await cluster.startEntry(entryIndex);
      break;
    case 'drain-entry':
      await terminate(cluster.entries[entryIndex], 'SIGTERM');
      await cluster.startEntry(entryIndex);
      break;
    case 'pause-entry':
      cluster.entries[entryIndex]?.child.kill('SIGSTOP');
      await sleep(ENTRY_PAUSE_MS);
      cluster.entries[entryIndex]?.child.kill('SIGCONT');
      break;
    default:
      await replaceAgent(cluster, agentIndex, fault === 'kill-agent' ? 'SIGKILL' : 'SIGTERM');
  }
}

async function replaceAgent(cluster: ProcessCluster, index: number, signal: NodeJS.Signals) {
  const agent = cluster.agents[index];
  if (!agent) return;
  await terminate(agent, signal);
  const [, service = '', number = '0'] = /^(.*)-(\d+)$/.exec(agent.id) ?? [];
  const kind = service === 'assistant' ? 'model' : 'plain';
  const runningAgents = cluster.agents;
  runningAgents[index] = await cluster.startAgent(service, kind, Number(number), agent.url);
}

async function terminate(
  running: RunningProcess | undefined,
  signal: NodeJS.Signals,
): Promise<void> {
  if (!running || running.child.exitCode !== null) return;
  await new Promise((resolve) => {
    running.child.once('exit', resolve);
    running.child.kill(signal);
  });
}

async function readStoreWrites(cluster: ProcessCluster): Promise<number> {
  const response = await request(`${cluster.platform?.url}/counts`);
  return ((await response.body.json()) as { writes: number }).writes;
}

/** Returns the number of idempotency keys whose call the services executed more than once. */
async function countRepeatedExecutions(cluster: ProcessCluster): Promise<number> {
  const counts = new Map<string, number>();
  for (const { url } of cluster.services) {
    const response = await request(`${url}/executions`);
    const executions = (await response.body.json()) as Record<string, number>;
    Object.entries(executions).forEach(([key, count]) => {
      counts.set(key, (counts.get(key) ?? 0) + count);
    });
  }
  return [...counts.values()].filter((count) => count > 1).length;
}
