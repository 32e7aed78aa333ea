import assert from 'node:assert/strict';
import test, { type TestContext } from 'node:test';
import { CallerClient, ProblemError, ProgramClient } from '@marjorampin/client';
import { configurationFileSchema } from '@marjorampin/configuration';
import { EngineStandin, ServiceStandin } from '@marjorampin/standins';
import { sha256Hex } from '@marjorampin/types';
import { request } from 'undici';
import { DevelopmentCluster, type DevelopmentClusterOptions } from '../developmentCluster';

const KEY = 'a-caller-key';
const OTHER_KEY = 'another-caller-key';

const CONFIGURATION = configurationFileSchema.parse({
  services: [
    { name: 'assistant', kind: 'model', progressTimeoutMs: 3_000 },
    {
      name: 'bookings',
      kind: 'plain',
      idempotentOperations: ['look-up'],
      progressTimeoutMs: 1_000,
    },
  ],
  contracts: [
    {
      customer: 'lesni-stezka',
      keyDigests: [sha256Hex(KEY)],
      services: ['assistant', 'bookings'],
      programBudgetTokens: 4_000,
      limits: { concurrentPrograms: 1_000, callsPerSecond: 10_000 },
    },
    {
      customer: 'calor-justo',
      keyDigests: [sha256Hex(OTHER_KEY)],
      services: ['assistant'],
      programBudgetTokens: 4_000,
      limits: { concurrentPrograms: 1_000, callsPerSecond: 10_000 },
    },
  ],
});

const BACKGROUND_CONFIGURATION = {
  ...CONFIGURATION,
  contracts: CONFIGURATION.contracts.map((contract) => ({ ...contract, mayWait: ['assistant'] })),
};

async function startCluster(
  context: TestContext,
  options: Partial<DevelopmentClusterOptions> = {},
): Promise<DevelopmentCluster> {
  const cluster = new DevelopmentCluster({
    configuration: CONFIGURATION,
    domains: ['zone-1', 'zone-2', 'zone-3'],
    engine: { decodeStepMs: 4 },
    ...options,
  });
  context.after(() => cluster.close());
  await cluster.start();
  return cluster;
}

function createClient(context: TestContext, cluster: DevelopmentCluster, key = KEY): CallerClient {
  const client = new CallerClient({ urls: cluster.urls, key, rotatesEntries: true });
  context.after(() => client.close());
  return client;
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

async function waitUntil(condition: () => boolean, description: string): Promise<void> {
  for (let attempt = 0; attempt < 500; attempt += 1) {
    if (condition()) return;
    await sleep(20);
  }
  assert.fail(`timed out waiting until ${description}`);
}

/** Returns the problem with which a call fails; a call that succeeds fails the test. */
async function problemOf(call: Promise<unknown>) {
  const error = await call.then(
    () => assert.fail('the call succeeded; a problem was expected'),
    (thrown: unknown) => thrown,
  );
  assert.ok(error instanceof ProblemError, String(error));
  return error.problem;
}

function ownerOf(cluster: DevelopmentCluster, program: string) {
  const partition = Number(program.split('.')[1]);
  const owner = cluster.entries.find(({ entry }) => entry.owns(partition));
  assert.ok(owner, 'the program has no owner');
  return owner;
}

const modelCall = (input: string, maximumTokens = 8) => ({
  service: 'assistant',
  input,
  maximumTokens,
});

const bookingCall = (idempotencyKey: string) => ({
  service: 'bookings',
  operation: 'book',
  idempotencyKey,
  body: { course: 'Sumava' },
});

test('a program keeps its whole history when its owner is killed between turns', async (context) => {
  const cluster = await startCluster(context, { entryCount: 3 });
  const program = await ProgramClient.open(createClient(context, cluster));
  await program.callModel(modelCall('first'));
  await program.callModel(modelCall('second'));
  await ownerOf(cluster, program.program).entry.kill();
  const { answer } = await program.callModel(modelCall('third'));
  assert.equal(answer.turn, 3);
  const { turns } = await program.history();
  assert.deepEqual(
    turns.map((turn) => (turn as { request: string }).request),
    ['first', 'second', 'third'],
  );
});

test('a stream resumes without repeated or missing bytes after its owner is killed', async (context) => {
  const cluster = await startCluster(context, { entryCount: 3, engine: { decodeStepMs: 20 } });
  const program = await ProgramClient.open(createClient(context, cluster));
  const undisturbed = await ProgramClient.open(createClient(context, cluster));
  const expected = (await undisturbed.callModel(modelCall('same input', 100))).answer.text;
  const owner = ownerOf(cluster, program.program);
  const otherUrls = cluster.urls.filter((url) => url !== owner.url);
  const received: string[] = [];
  const streaming = streamCall(otherUrls[0] ?? '', program, modelCall('same input', 100), received);
  await waitUntil(() => received.length > 10, 'the stream has started');
  await owner.entry.kill();
  const answer = await streaming;
  assert.equal(received.join(''), expected);
  assert.equal(answer.text, expected);
});

test('a stream resumes at another engine after the agent of its engine is killed', async (context) => {
  const cluster = await startCluster(context, { engine: { decodeStepMs: 20 } });
  const program = await ProgramClient.open(createClient(context, cluster));
  const undisturbed = await ProgramClient.open(createClient(context, cluster));
  const expected = (await undisturbed.callModel(modelCall('same input', 60))).answer.text;
  const received: string[] = [];
  const streaming = streamCall(
    cluster.urls[0] ?? '',
    program,
    modelCall('same input', 60),
    received,
  );
  await waitUntil(() => received.length > 10, 'the stream has started');
  const busyEndpoint = cluster.endpoints.find(
    ({ standin }) => standin instanceof EngineStandin && standin.engine.runningCount > 0,
  );
  await busyEndpoint?.agent.kill();
  assert.equal((await streaming).text, expected);
  assert.equal(received.join(''), expected);
});

test('a service call is executed once when its owner is killed during the execution', async (context) => {
  const cluster = await startCluster(context, { entryCount: 3 });
  delayServices(cluster, 400);
  const program = await ProgramClient.open(createClient(context, cluster));
  await program.callModel(modelCall('first'));
  const owner = ownerOf(cluster, program.program);
  const otherUrls = cluster.urls.filter((url) => url !== owner.url);
  const client = new CallerClient({ urls: otherUrls, key: KEY });
  context.after(() => client.close());
  const call = client.call(`/v1/programs/${program.program}/service-calls`, {
    continuation: program.continuation,
    ...bookingCall('booking-1'),
  });
  await waitUntil(() => cluster.executions().size > 0, 'the service executes the call');
  await owner.entry.kill();
  const { answer } = await call;
  assert.equal(answer.status, 200);
  assert.deepEqual([...cluster.executions().values()], [1]);
});

test('a call whose agent is replaced during its execution has an unknown outcome and is not executed again', async (context) => {
  const cluster = await startCluster(context, { endpointCount: 1 });
  delayServices(cluster, 800);
  const program = await ProgramClient.open(createClient(context, cluster));
  const call = problemOf(program.callService(bookingCall('booking-1')));
  await waitUntil(() => cluster.executions().size > 0, 'the service executes the call');
  const endpoint = cluster.endpoints.find(({ service }) => service === 'bookings');
  assert.ok(endpoint);
  await endpoint.agent.kill();
  const service = CONFIGURATION.services.find(({ name }) => name === 'bookings');
  assert.ok(service);
  endpoint.agent = await cluster.startAgent(endpoint.id, service, endpoint.url, 'zone-1');
  assert.equal((await call).execution, 'unknown');
  delayServices(cluster, 0);
  const again = await problemOf(program.callService(bookingCall('booking-1')));
  assert.deepEqual([again.title, again.execution], ['outcome-unknown', 'unknown']);
  assert.deepEqual([...cluster.executions().values()], [1]);
});

test('a service call is refused as not run while the store is down and is executed once afterwards', async (context) => {
  const cluster = await startCluster(context);
  const program = await ProgramClient.open(createClient(context, cluster));
  await program.callModel(modelCall('first'));
  cluster.platform.store.faults.down = true;
  cluster.platform.store.interruptWatches();
  const problem = await problemOf(program.callService(bookingCall('booking-1')));
  assert.deepEqual([problem.title, problem.execution], ['platform-unavailable', 'not-run']);
  assert.ok(problem.retryAfterMs > 0, 'the problem has no retry delay');
  assert.equal(cluster.executions().size, 0);
  const model = await program.callModel(modelCall('during the outage'));
  assert.equal(model.answer.turn, 2);
  cluster.platform.store.faults.down = false;
  await program.callService(bookingCall('booking-1'));
  assert.deepEqual([...cluster.executions().values()], [1]);
});

test('a call is executed once when the replies to store writes are lost', async (context) => {
  const cluster = await startCluster(context);
  const program = await ProgramClient.open(createClient(context, cluster));
  for (let index = 0; index < 5; index += 1) {
    cluster.platform.store.faults.loseAnswers = 3;
    await program.callService(bookingCall(`booking-${index}`));
  }
  assert.deepEqual([...cluster.executions().values()], [1, 1, 1, 1, 1]);
});

test('a service call that times out is executed once, and a later attempt returns its result', async (context) => {
  const cluster = await startCluster(context, { endpointCount: 1 });
  delayServices(cluster, 2_600);
  const program = await ProgramClient.open(createClient(context, cluster));
  const first = await program.callService(bookingCall('booking-1')).then(
    ({ answer }) => answer.status,
    (error: ProblemError) => error.problem.execution,
  );
  assert.ok(first === 'unknown' || first === 200, `got ${first}`);
  await sleep(2_700);
  const { answer } = await program.callService(bookingCall('booking-1'));
  assert.equal(answer.status, 200);
  assert.deepEqual([...cluster.executions().values()], [1]);
});

test('the same call sent through two entries at once is executed once and answered twice', async (context) => {
  const cluster = await startCluster(context);
  delayServices(cluster, 100);
  const client = createClient(context, cluster);
  const program = await ProgramClient.open(client);
  const path = `/v1/programs/${program.program}/service-calls`;
  const body = { continuation: program.continuation, ...bookingCall('booking-1') };
  const [one, two] = await Promise.all([client.call(path, body), client.call(path, body)]);
  assert.deepEqual(one.answer.body, two.answer.body);
  assert.equal(one.answer.continuation, two.answer.continuation);
  assert.deepEqual([...cluster.executions().values()], [1]);
});

test('an old continuation returns the stored answer for the same call and is refused for another', async (context) => {
  const cluster = await startCluster(context, { entryCount: 3 });
  const client = createClient(context, cluster);
  const program = await ProgramClient.open(client);
  const path = `/v1/programs/${program.program}/model-calls`;
  const opening = program.continuation;
  const first = await program.callModel(modelCall('first'));
  await program.callModel(modelCall('second'));
  await ownerOf(cluster, program.program).entry.kill();
  const repeated = await client.call(path, { continuation: opening, ...modelCall('first') });
  assert.equal(repeated.answer.text, first.answer.text);
  const other = problemOf(
    client.call(path, { continuation: opening, ...modelCall('something else') }),
  );
  assert.deepEqual([(await other).title, (await other).execution], ['out-of-turn', 'not-run']);
});

test('a looping program is refused when its budget is spent and its engine cache is released', async (context) => {
  const cluster = await startCluster(context);
  const program = await ProgramClient.open(createClient(context, cluster), 200);
  let spent = 0;
  const loop = async () => {
    for (;;) spent = (await program.callModel(modelCall('again', 20))).answer.usage.spentTokens;
  };
  const problem = await problemOf(loop());
  assert.deepEqual([problem.title, problem.execution], ['budget-exhausted', 'not-run']);
  assert.ok(spent > 0 && spent <= 200, `spent ${spent}`);
  await waitUntil(() => cachedPrograms(cluster).length === 0, 'no engine caches the program');
});

test('spent tokens stay spent when the owner is killed', async (context) => {
  const cluster = await startCluster(context, { entryCount: 3 });
  const program = await ProgramClient.open(createClient(context, cluster), 800);
  let output = 0;
  const spend = async (calls: number) => {
    for (let call = 0; call < calls; call += 1) {
      output += (await program.callModel(modelCall('x', 40))).answer.usage.outputTokens;
    }
  };
  await spend(3);
  await ownerOf(cluster, program.program).entry.kill();
  const problem = await problemOf(spend(30));
  assert.equal(problem.title, 'budget-exhausted');
  assert.ok(output <= 800, `the engines generated ${output} tokens`);
});

test('a sub-agent reserves its budget from its parent and returns the rest at its end', async (context) => {
  const cluster = await startCluster(context);
  const program = await ProgramClient.open(createClient(context, cluster), 1_000);
  const child = await program.spawn(600);
  const refused = await problemOf(program.spawn(600));
  assert.equal(refused.title, 'budget-exhausted');
  await child.callModel(modelCall('sub', 10));
  await child.end();
  const second = await program.spawn(600);
  assert.notEqual(second.program, child.program);
  const ended = await problemOf(child.callModel(modelCall('after the end')));
  assert.equal(ended.title, 'program-ended');
});

test('the engine cache of a program is released at its end', async (context) => {
  const cluster = await startCluster(context);
  const program = await ProgramClient.open(createClient(context, cluster));
  await program.callModel(modelCall('x'.repeat(2_000), 40));
  assert.ok(cachedPrograms(cluster).includes(program.program));
  await program.end();
  await waitUntil(() => cachedPrograms(cluster).length === 0, 'no engine caches the program');
});

test('the engine cache of a program is released when its owner was killed before the end', async (context) => {
  const cluster = await startCluster(context, { entryCount: 3 });
  const program = await ProgramClient.open(createClient(context, cluster));
  await program.callModel(modelCall('x'.repeat(2_000), 40));
  await ownerOf(cluster, program.program).entry.kill();
  await program.end();
  await waitUntil(() => cachedPrograms(cluster).length === 0, 'no engine caches the program');
});

test('no call fails when an entry is stopped gracefully', async (context) => {
  const cluster = await startCluster(context, { entryCount: 3 });
  const [leaving] = cluster.entries;
  assert.ok(leaving);
  // Callers keep sending to the stopping entry over their open connections.
  const client = createClient(context, cluster);
  const programs = await Promise.all(Array.from({ length: 12 }, () => ProgramClient.open(client)));
  let isStopped = false;
  const runs = programs.map(async (program) => {
    for (let turn = 1; !isStopped || turn < 6; turn += 1) {
      const { answer } = await program.callModel(modelCall(`turn ${turn}`));
      assert.equal(answer.turn, turn);
    }
    return program.history();
  });
  await sleep(100);
  await leaving.entry.stop();
  isStopped = true;
  const histories = await Promise.all(runs);
  assert.ok(histories.every(({ turns }) => turns.length >= 5));
});

test('an agent that is stopped gracefully finishes its requests and gets no new ones', async (context) => {
  const cluster = await startCluster(context, { engine: { decodeStepMs: 10 } });
  const client = createClient(context, cluster);
  const programs = await Promise.all(Array.from({ length: 8 }, () => ProgramClient.open(client)));
  const [leaving] = cluster.endpoints;
  assert.ok(leaving && leaving.standin instanceof EngineStandin);
  const { engine } = leaving.standin;
  const first = programs.map((program) => program.callModel(modelCall('long', 60)));
  await waitUntil(() => engine.runningCount > 0, 'the engine runs a call');
  const stopping = leaving.agent.stop();
  await Promise.all(first);
  await stopping;
  const { finished } = engine.totals;
  await Promise.all(programs.map((program) => program.callModel(modelCall('next'))));
  assert.equal(engine.totals.finished, finished);
});

test('cached context moves to another engine when the agent of its engine is stopping', async (context) => {
  const cluster = await startCluster(context, { engine: { decodeStepMs: 10 } });
  const client = createClient(context, cluster);
  const program = await ProgramClient.open(client);
  await program.callModel(modelCall('x'.repeat(4_000), 4));
  const warm = cluster.endpoints.find(
    ({ standin }) => standin instanceof EngineStandin && standin.engine.totals.finished > 0,
  );
  assert.ok(warm);
  // A long call keeps the agent draining while the next call runs.
  const other = await ProgramClient.open(client);
  const long = other.callModel(modelCall('long', 150));
  const stopping = warm.agent.stop();
  await sleep(50);
  const { answer } = await program.callModel(modelCall('next', 4));
  assert.ok(answer.usage.cachedTokens >= 900, `${answer.usage.cachedTokens} tokens were cached`);
  assert.equal(answer.usage.rebuiltTokens, 0);
  await long;
  await stopping;
});

test('a background call is refused with a retry delay under load', async (context) => {
  const cluster = await startCluster(context, {
    endpointCount: 1,
    engine: { decodeStepMs: 20, batchSize: 2 },
    configuration: BACKGROUND_CONFIGURATION,
  });
  const client = createClient(context, cluster);
  const programs = await Promise.all(Array.from({ length: 14 }, () => ProgramClient.open(client)));
  const running = programs.map((program) =>
    program.callModel(modelCall('x', 40)).catch((error: unknown) => error),
  );
  await sleep(700);
  const lastProgram = await ProgramClient.open(client);
  const problem = await problemOf(lastProgram.callModel(modelCall('y')));
  assert.deepEqual([problem.title, problem.execution], ['overloaded', 'not-run']);
  assert.ok(problem.retryAfterMs > 0);
  await Promise.all(running);
});

test('a call whose history is lost requires a transcript, and a forged one is refused', async (context) => {
  const cluster = await startCluster(context, { entryCount: 2 });
  const program = await ProgramClient.open(createClient(context, cluster));
  await program.callModel(modelCall('first'));
  const { turns } = await program.history();
  const formerEntries = [...cluster.entries];
  await cluster.startEntry(2);
  await Promise.all(formerEntries.map(({ entry }) => entry.kill()));
  const url = cluster.entries[2]?.url ?? '';
  const client = new CallerClient({ urls: [url], key: KEY });
  context.after(() => client.close());
  const path = `/v1/programs/${program.program}/model-calls`;
  const call = { continuation: program.continuation, ...modelCall('second') };
  const problem = await problemOf(client.call(path, call));
  assert.equal(problem.title, 'transcript-required');
  const forged = turns.map((turn) => ({ ...(turn as object), answer: 'forged' }));
  const refused = await problemOf(client.call(path, { ...call, transcript: forged }));
  assert.equal(refused.title, 'invalid-request');
  const { answer } = await client.call(path, { ...call, transcript: turns });
  assert.equal(answer.turn, 2);
});

test("a customer cannot call another customer's program", async (context) => {
  const cluster = await startCluster(context);
  const program = await ProgramClient.open(createClient(context, cluster));
  const otherClient = createClient(context, cluster, OTHER_KEY);
  const path = `/v1/programs/${program.program}/model-calls`;
  const { continuation } = program;
  assert.equal(
    (await problemOf(otherClient.call(path, { continuation, ...modelCall('x') }))).title,
    'forbidden',
  );
  const otherProgram = await ProgramClient.open(otherClient);
  const foreign = otherClient.call(`/v1/programs/${otherProgram.program}/model-calls`, {
    continuation,
    ...modelCall('x'),
  });
  assert.equal((await problemOf(foreign)).title, 'forbidden');
});

function cachedPrograms(cluster: DevelopmentCluster): string[] {
  return cluster.endpoints.flatMap(({ standin }) =>
    standin instanceof EngineStandin ? standin.engine.cache.cachedPrograms() : [],
  );
}

function delayServices(cluster: DevelopmentCluster, delayMs: number): void {
  cluster.endpoints.forEach(({ standin }) => {
    if (standin instanceof ServiceStandin) Object.assign(standin.faults, { delayMs });
  });
}

/** Streams a model call through one entry, collects its text events and returns the answer. */
async function streamCall(
  url: string,
  program: ProgramClient,
  body: object,
  received: string[],
): Promise<{ text?: string }> {
  const response = await request(`${url}/v1/programs/${program.program}/model-calls`, {
    method: 'POST',
    headers: { authorization: `Bearer ${KEY}`, 'content-type': 'application/json' },
    body: JSON.stringify({ continuation: program.continuation, stream: true, ...body }),
  });
  let unparsed = '';
  const decoder = new TextDecoder();
  for await (const chunk of response.body as AsyncIterable<Buffer>) {
    unparsed += decoder.decode(chunk, { stream: true });
    const events = unparsed.split('\n\n');
    unparsed = events.pop() ?? '';
    for (const event of events) {
      const [head, data = ''] = event.split('\ndata: ');
      const json = JSON.parse(data) as { text?: string; detail?: string };
      if (head === 'event: answer') return json;
      if (head === 'event: problem') assert.fail(json.detail);
      received.push(json.text ?? '');
    }
  }
  return assert.fail('the stream ended early');
}
