import { CallerClient, ProgramClient } from '@marjorampin/client';
import { Agent, request } from 'undici';
import { CALLER_KEY, createBenchConfiguration } from './benchConfiguration';
import { PARTITION_SETTLE_MS, ProcessCluster, sleep } from './processCluster';
import { quantile } from './quantiles';
import { writeResults } from './results';

const REQUESTS_PER_SECOND_PER_ENTRY = 70;
const DURATION_S = 20;
const ENTRIES = 2;
const PROGRAMS = 400;
const OUTPUT_TOKENS = 20;
const ENGINE_ARGUMENTS = [
  '--decode-step-ms',
  '2',
  '--batch-size',
  '256',
  '--prefill-tokens-per-ms',
  '200',
];

/** Milliseconds to the first token: of calls to the engine, and of calls through an entry. */
interface Samples {
  direct: number[];
  through: number[];
}

/** Measures the latency that entry and agent add to the first token of a direct engine call. */
export async function measureFirstToken(): Promise<void> {
  const cluster = new ProcessCluster({
    configuration: createBenchConfiguration(),
    entryCount: ENTRIES,
    endpointCount: 2,
    domains: ['domain-a', 'domain-b'],
    engineArguments: ENGINE_ARGUMENTS,
  });
  try {
    await cluster.start();
    // Waits until the partitions are distributed over all entries.
    await sleep(PARTITION_SETTLE_MS);
    const results = await measureUnderLoad(cluster);
    console.log(JSON.stringify(results, null, 2));
    console.log(`written to ${writeResults('first-token', results)}`);
  } finally {
    cluster.close();
  }
}

async function measureUnderLoad(cluster: ProcessCluster) {
  const client = new CallerClient({ urls: cluster.urls, key: CALLER_KEY, rotatesEntries: true });
  const dispatcher = new Agent({ connections: 512 });
  const samples: Samples = { direct: [], through: [] };
  const running: Promise<void>[] = [];
  const idlePrograms = await openPrograms(client);
  const total = REQUESTS_PER_SECOND_PER_ENTRY * ENTRIES * DURATION_S;
  const startedMs = performance.now();
  for (let index = 0; index < total; index += 1) {
    const dueMs = (index * 1_000) / (REQUESTS_PER_SECOND_PER_ENTRY * ENTRIES);
    await sleep(Math.max(0, startedMs + dueMs - performance.now()));
    running.push(callThroughEntry(idlePrograms, samples, index));
    // Direct calls run concurrently with the others, so both kinds see the same engine load.
    if (index % 10 === 0) running.push(callEngineDirectly(cluster, dispatcher, samples, index));
  }
  await Promise.all(running);
  await client.close();
  await dispatcher.destroy();
  const percentile = (list: number[], fraction: number) =>
    Number(quantile(list, fraction).toFixed(2));
  return {
    requestsPerSecondPerEntry: REQUESTS_PER_SECOND_PER_ENTRY,
    entries: ENTRIES,
    samples: { direct: samples.direct.length, through: samples.through.length },
    directMs: { p50: percentile(samples.direct, 0.5), p95: percentile(samples.direct, 0.95) },
    throughMs: { p50: percentile(samples.through, 0.5), p95: percentile(samples.through, 0.95) },
    addedMs: {
      p50: Number((percentile(samples.through, 0.5) - percentile(samples.direct, 0.5)).toFixed(2)),
      p95: Number(
        (percentile(samples.through, 0.95) - percentile(samples.direct, 0.95)).toFixed(2),
      ),
    },
    goalAddedMsP95: 5,
  };
}

async function openPrograms(client: CallerClient): Promise<ProgramClient[]> {
  const programs: ProgramClient[] = [];
  for (let index = 0; index < PROGRAMS; index += 1) programs.push(await ProgramClient.open(client));
  return programs;
}

async function callThroughEntry(
  idlePrograms: ProgramClient[],
  samples: Samples,
  index: number,
): Promise<void> {
  const program = idlePrograms.shift();
  if (!program) throw new Error('every open program has a call in progress; raise PROGRAMS');
  const input = `Question ${index}: what is this?`;
  const call = { service: 'assistant', input, maximumTokens: OUTPUT_TOKENS, stream: true };
  const { firstTextMs } = await program.callModel(call);
  samples.through.push(firstTextMs);
  idlePrograms.push(program);
}

async function callEngineDirectly(
  cluster: ProcessCluster,
  dispatcher: Agent,
  samples: Samples,
  index: number,
): Promise<void> {
  const engine = cluster.engines[index % cluster.engines.length];
  const body = {
    request: `direct-${index}`,
    program: `direct-${index}`,
    context: `Question ${index}: what is this?\n`,
    resumeText: '',
    maximumTokens: OUTPUT_TOKENS,
    priority: 1,
  };
  const startedMs = performance.now();
  const response = await request(`${engine?.url}/generate`, {
    method: 'POST',
    dispatcher,
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(body),
  });
  let isFirst = true;
  for await (const chunk of response.body) {
    if (isFirst && chunk) samples.direct.push(performance.now() - startedMs);
    isFirst = false;
  }
}
