import { CallerClient, ProblemError, ProgramClient } from '@marjorampin/client';
import { request } from 'undici';
import { CALLER_KEY, createBenchConfiguration } from './benchConfiguration';
import { ProcessCluster, type RunningProcess, sleep } from './processCluster';
import { quantile } from './quantiles';
import { writeResults } from './results';

const ENTRIES = 4;
const PROGRAMS = 40;
const ROUNDS = Number(process.env.FAILOVER_ROUNDS ?? 20);
const PAUSE_MS = 5_000;
const SETTLE_MS = 3_500;
const ENGINE_ARGUMENTS = [
  '--decode-step-ms',
  '4',
  '--batch-size',
  '128',
  '--prefill-tokens-per-ms',
  '200',
];

/** What is done to a process. */
type Fault = 'kill-entry' | 'pause-entry' | 'drain-entry' | 'kill-agent' | 'drain-agent';

const FAULTS: Fault[] = ['kill-entry', 'pause-entry', 'drain-entry', 'kill-agent', 'drain-agent'];

/** Counts what the programs met. */
class Tally {
  readonly turnMs: number[] = [];

  /** Turns that were under way at the fault or began within 3 s after it. */
  readonly turnMsNearFault: number[] = [];

  readonly failed = new Map<string, number>();

  serviceCalls = 0;

  countServiceCall(): void {
    this.serviceCalls += 1;
  }

  countFailure(name: string): void {
    this.failed.set(name, (this.failed.get(name) ?? 0) + 1);
  }
}

/** Kills, pauses and drains entries and agents under load, and measures the next turns. */
export async function measureFailover(): Promise<void> {
  const results: Record<string, unknown> = {};
  const chosen = process.argv[3] ? [process.argv[3] as Fault] : FAULTS;
  for (const fault of chosen) {
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
    await sleep(4_000);
    return await run(cluster, fault);
  } finally {
    cluster.close();
  }
}

async function run(cluster: ProcessCluster, fault: Fault) {
  const tally = new Tally();
  const state = { isStopped: false, faultAtMs: 0 };
  const clients: CallerClient[] = [];
  const workers = Array.from({ length: PROGRAMS }, (_, index) => {
    const client = new CallerClient({ urls: [], key: CALLER_KEY, rotates: true });
    clients.push(client);
    return work(client, cluster, index, tally, state);
  });
  const writesBefore = await storeWrites(cluster);
  const startedMs = performance.now();
  for (let round = 0; round < ROUNDS; round += 1) {
    state.faultAtMs = performance.now();
    await cause(cluster, fault, round);
    await sleep(SETTLE_MS);
  }
  state.isStopped = true;
  await Promise.all(workers);
  const seconds = (performance.now() - startedMs) / 1_000;
  const writes = (await storeWrites(cluster)) - writesBefore;
  await Promise.all(clients.map((client) => client.close()));
  return {
    rounds: ROUNDS,
    turns: tally.turnMs.length,
    serviceCalls: tally.serviceCalls,
    nearFaultMs: summary(tally.turnMsNearFault),
    allMs: summary(tally.turnMs),
    failed: Object.fromEntries(tally.failed),
    unknownOutcomes: tally.failed.get('outcome-unknown') ?? 0,
    doubledExecutions: await doubledExecutions(cluster),
    storeWritesPerSecond: Number((writes / seconds).toFixed(1)),
  };
}

function summary(samples: number[]) {
  const p = (share: number) => Math.round(quantile(samples, share));
  return { count: samples.length, p50: p(0.5), p95: p(0.95), p99: p(0.99), max: p(1) };
}

/** Plays programs of model and service calls until stopped. */
async function work(
  client: CallerClient,
  cluster: ProcessCluster,
  index: number,
  tally: Tally,
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
        if (isService) tally.countServiceCall();
        await (isService
          ? program.callService({ service: 'bookings', operation: 'book', idempotencyKey: key })
          : program.callModel({ service: 'assistant', input: `turn ${turn}`, maximumTokens: 20 }));
        const endedMs = performance.now();
        tally.turnMs.push(endedMs - startedMs);
        const isNear = endedMs > state.faultAtMs && startedMs < state.faultAtMs + 3_000;
        if (isNear) tally.turnMsNearFault.push(endedMs - startedMs);
        await sleep(50 + ((index * 7) % 50));
      }
      await program.end();
    } catch (error) {
      const name = error instanceof ProblemError ? error.problem.title : String(error);
      tally.countFailure(name);
      await sleep(100);
    }
  }
}

async function cause(cluster: ProcessCluster, fault: Fault, round: number): Promise<void> {
  const entryIndex = round % cluster.entries.length;
  const agentIndex = round % cluster.agents.length;
  switch (fault) {
    case 'kill-entry':
      await end(cluster.entries[entryIndex], 'SIGKILL');
      await sleep(1_500);
      await cluster.startEntry(entryIndex);
      break;
    case 'drain-entry':
      await end(cluster.entries[entryIndex], 'SIGTERM');
      await cluster.startEntry(entryIndex);
      break;
    case 'pause-entry':
      cluster.entries[entryIndex]?.child.kill('SIGSTOP');
      await sleep(PAUSE_MS);
      cluster.entries[entryIndex]?.child.kill('SIGCONT');
      break;
    default:
      await replaceAgent(cluster, agentIndex, fault === 'kill-agent' ? 'SIGKILL' : 'SIGTERM');
  }
}

async function replaceAgent(cluster: ProcessCluster, index: number, signal: NodeJS.Signals) {
  const agent = cluster.agents[index];
  if (!agent) return;
  await end(agent, signal);
  const [, service = '', number = '0'] = /^(.*)-(\d+)$/.exec(agent.id) ?? [];
  const kind = service === 'assistant' ? 'model' : 'plain';
  const replaced = cluster.agents;
  replaced[index] = await cluster.startAgent(service, kind, Number(number), agent.url);
}

async function end(running: RunningProcess | undefined, signal: NodeJS.Signals): Promise<void> {
  if (!running || running.child.exitCode !== null) return;
  await new Promise((resolve) => {
    running.child.once('exit', resolve);
    running.child.kill(signal);
  });
}

async function storeWrites(cluster: ProcessCluster): Promise<number> {
  const response = await request(`${cluster.platform?.url}/counts`);
  return ((await response.body.json()) as { writes: number }).writes;
}

async function doubledExecutions(cluster: ProcessCluster): Promise<number> {
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
