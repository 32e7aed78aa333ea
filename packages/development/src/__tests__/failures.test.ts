import assert from 'node:assert/strict';
import test, { type TestContext } from 'node:test';
import { CallerClient, ProblemError, ProgramClient } from '@marjorampin/client';
import { configurationFileSchema } from '@marjorampin/configuration';
import { EngineStandin, ServiceStandin } from '@marjorampin/standins';
import { digestOf } from '@marjorampin/types';
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
      keyDigests: [digestOf(KEY)],
      services: ['assistant', 'bookings'],
      programBudgetTokens: 4_000,
      limits: { concurrentPrograms: 1_000, callsPerSecond: 10_000 },
    },
    {
      customer: 'calor-justo',
      keyDigests: [digestOf(OTHER_KEY)],
      services: ['assistant'],
      programBudgetTokens: 4_000,
      limits: { concurrentPrograms: 1_000, callsPerSecond: 10_000 },
    },
  ],
});

const WAITING_CONFIGURATION = {
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
  const client = new CallerClient({ urls: cluster.urls, key, rotates: true });
  context.after(() => client.close());
  return client;
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

async function eventually(holds: () => boolean, what: string): Promise<void> {
  for (let attempt = 0; attempt < 500; attempt += 1) {
    if (holds()) return;
    await sleep(20);
  }
  assert.fail(`never came true: ${what}`);
}

/** Returns the problem that a call is answered with. */
async function problemOf(call: Promise<unknown>) {
  const error = await call.then(
    () => assert.fail('the call was answered'),
    (thrown: unknown) => thrown,
  );
  assert.ok(error instanceof ProblemError, String(error));
  return error.problem;
}

function ownerOf(cluster: DevelopmentCluster, program: string) {
  const partition = Number(program.split('.')[1]);
  const owner = cluster.entries.find(({ entry }) => entry.owns(partition));
  assert.ok(owner, 'the program has an owner');
  return owner;
}

const ask = (input: string, maximumTokens = 8) => ({ service: 'assistant', input, maximumTokens });

const book = (idempotencyKey: string) => ({
  service: 'bookings',
  operation: 'book',
  idempotencyKey,
  body: { course: 'Sumava' },
});

test('a program goes on with its whole history after its owner is killed between turns', async (context) => {
  const cluster = await startCluster(context, { entryCount: 3 });
  const program = await ProgramClient.open(createClient(context, cluster));
  await program.callModel(ask('first'));
  await program.callModel(ask('second'));
  await ownerOf(cluster, program.program).entry.kill();
  const { answer } = await program.callModel(ask('third'));
  assert.equal(answer.turn, 3);
  const { turns } = await program.history();
  assert.deepEqual(
    turns.map((turn) => (turn as { request: string }).request),
    ['first', 'second', 'third'],
  );
});

test('a stream goes on without a repeated or missing byte after its owner is killed', async (context) => {
  const cluster = await startCluster(context, { entryCount: 3, engine: { decodeStepMs: 20 } });
  const program = await ProgramClient.open(createClient(context, cluster));
  const quiet = await ProgramClient.open(createClient(context, cluster));
  const expected = (await quiet.callModel(ask('same input', 100))).answer.text;
  const owner = ownerOf(cluster, program.program);
  const other = cluster.urls.filter((url) => url !== owner.url);
  const received: string[] = [];
  const streaming = streamCall(other[0] ?? '', program, ask('same input', 100), received);
  await eventually(() => received.length > 10, 'the stream has begun');
  await owner.entry.kill();
  const answer = await streaming;
  assert.equal(received.join(''), expected);
  assert.equal(answer.text, expected);
});

test('a stream goes on elsewhere after its engine agent is killed', async (context) => {
  const cluster = await startCluster(context, { engine: { decodeStepMs: 20 } });
  const program = await ProgramClient.open(createClient(context, cluster));
  const quiet = await ProgramClient.open(createClient(context, cluster));
  const expected = (await quiet.callModel(ask('same input', 60))).answer.text;
  const received: string[] = [];
  const streaming = streamCall(cluster.urls[0] ?? '', program, ask('same input', 60), received);
  await eventually(() => received.length > 10, 'the stream has begun');
  const busy = cluster.endpoints.find(
    ({ standin }) => standin instanceof EngineStandin && standin.model.runningCount > 0,
  );
  await busy?.agent.kill();
  assert.equal((await streaming).text, expected);
  assert.equal(received.join(''), expected);
});

test('a service call is executed once when its owner dies while it runs', async (context) => {
  const cluster = await startCluster(context, { entryCount: 3 });
  slowServices(cluster, 400);
  const program = await ProgramClient.open(createClient(context, cluster));
  await program.callModel(ask('first'));
  const owner = ownerOf(cluster, program.program);
  const others = cluster.urls.filter((url) => url !== owner.url);
  const client = new CallerClient({ urls: others, key: KEY });
  context.after(() => client.close());
  const call = client.call(`/v1/programs/${program.program}/service-calls`, {
    continuation: program.continuation,
    ...book('booking-1'),
  });
  await eventually(() => cluster.executions().size > 0, 'the service executes');
  await owner.entry.kill();
  const { answer } = await call;
  assert.equal(answer.status, 200);
  assert.deepEqual([...cluster.executions().values()], [1]);
});

test('a call whose agent is replaced in the middle is unknown and never runs again', async (context) => {
  const cluster = await startCluster(context, { endpointCount: 1 });
  slowServices(cluster, 800);
  const program = await ProgramClient.open(createClient(context, cluster));
  const call = problemOf(program.callService(book('booking-1')));
  await eventually(() => cluster.executions().size > 0, 'the service executes');
  const endpoint = cluster.endpoints.find(({ service }) => service === 'bookings');
  assert.ok(endpoint);
  await endpoint.agent.kill();
  const service = CONFIGURATION.services.find(({ name }) => name === 'bookings');
  assert.ok(service);
  endpoint.agent = await cluster.startAgent(endpoint.id, service, endpoint.url, 'zone-1');
  assert.equal((await call).execution, 'unknown');
  slowServices(cluster, 0);
  const again = await problemOf(program.callService(book('booking-1')));
  assert.deepEqual([again.title, again.execution], ['outcome-unknown', 'unknown']);
  assert.deepEqual([...cluster.executions().values()], [1]);
});

test('a call is refused as not run while the store is down, and runs once after', async (context) => {
  const cluster = await startCluster(context);
  const program = await ProgramClient.open(createClient(context, cluster));
  await program.callModel(ask('first'));
  cluster.platform.store.faults.down = true;
  cluster.platform.store.interruptWatches();
  const problem = await problemOf(program.callService(book('booking-1')));
  assert.deepEqual([problem.title, problem.execution], ['platform-unavailable', 'not-run']);
  assert.ok(problem.retryAfterMs > 0, 'the problem says when to come back');
  assert.equal(cluster.executions().size, 0);
  const model = await program.callModel(ask('models go on'));
  assert.equal(model.answer.turn, 2);
  cluster.platform.store.faults.down = false;
  await program.callService(book('booking-1'));
  assert.deepEqual([...cluster.executions().values()], [1]);
});

test('a call runs once when the store loses the answers to its writes', async (context) => {
  const cluster = await startCluster(context);
  const program = await ProgramClient.open(createClient(context, cluster));
  for (let index = 0; index < 5; index += 1) {
    cluster.platform.store.faults.loseAnswers = 3;
    await program.callService(book(`booking-${index}`));
  }
  assert.deepEqual([...cluster.executions().values()], [1, 1, 1, 1, 1]);
});

test('a hanging tool is given up as unknown, and its late result is found afterwards', async (context) => {
  const cluster = await startCluster(context, { endpointCount: 1 });
  slowServices(cluster, 2_600);
  const program = await ProgramClient.open(createClient(context, cluster));
  const first = await program.callService(book('booking-1')).then(
    ({ answer }) => answer.status,
    (error: ProblemError) => error.problem.execution,
  );
  assert.ok(first === 'unknown' || first === 200, `got ${first}`);
  await sleep(2_700);
  const { answer } = await program.callService(book('booking-1'));
  assert.equal(answer.status, 200);
  assert.deepEqual([...cluster.executions().values()], [1]);
});

test('the same call sent through two entries at once runs once and is answered twice', async (context) => {
  const cluster = await startCluster(context);
  slowServices(cluster, 100);
  const client = createClient(context, cluster);
  const program = await ProgramClient.open(client);
  const path = `/v1/programs/${program.program}/service-calls`;
  const body = { continuation: program.continuation, ...book('booking-1') };
  const [one, two] = await Promise.all([client.call(path, body), client.call(path, body)]);
  assert.deepEqual(one.answer.body, two.answer.body);
  assert.equal(one.answer.continuation, two.answer.continuation);
  assert.deepEqual([...cluster.executions().values()], [1]);
});

test('a resent old continuation gets the stored answer or is refused as out of turn', async (context) => {
  const cluster = await startCluster(context, { entryCount: 3 });
  const client = createClient(context, cluster);
  const program = await ProgramClient.open(client);
  const path = `/v1/programs/${program.program}/model-calls`;
  const opening = program.continuation;
  const first = await program.callModel(ask('first'));
  await program.callModel(ask('second'));
  await ownerOf(cluster, program.program).entry.kill();
  const repeated = await client.call(path, { continuation: opening, ...ask('first') });
  assert.equal(repeated.answer.text, first.answer.text);
  const other = problemOf(client.call(path, { continuation: opening, ...ask('something else') }));
  assert.deepEqual([(await other).title, (await other).execution], ['out-of-turn', 'not-run']);
});

test('a looping program ends at its budget and its memory is released', async (context) => {
  const cluster = await startCluster(context);
  const program = await ProgramClient.open(createClient(context, cluster), 200);
  let spent = 0;
  const loop = async () => {
    for (;;) spent = (await program.callModel(ask('again and again', 20))).answer.usage.spentTokens;
  };
  const problem = await problemOf(loop());
  assert.deepEqual([problem.title, problem.execution], ['budget-exhausted', 'not-run']);
  assert.ok(spent > 0 && spent <= 200, `spent ${spent}`);
  await eventually(() => heldPrograms(cluster).length === 0, 'no engine holds memory');
});

test('a budget is not won back by killing owners', async (context) => {
  const cluster = await startCluster(context, { entryCount: 3 });
  const program = await ProgramClient.open(createClient(context, cluster), 800);
  let output = 0;
  const spend = async (calls: number) => {
    for (let call = 0; call < calls; call += 1) {
      output += (await program.callModel(ask('x', 40))).answer.usage.outputTokens;
    }
  };
  await spend(3);
  await ownerOf(cluster, program.program).entry.kill();
  const problem = await problemOf(spend(30));
  assert.equal(problem.title, 'budget-exhausted');
  assert.ok(output <= 800, `the engines gave ${output} tokens`);
});

test('sub-agents spend from their parent and give back what is left', async (context) => {
  const cluster = await startCluster(context);
  const program = await ProgramClient.open(createClient(context, cluster), 1_000);
  const child = await program.spawn(600);
  const refused = await problemOf(program.spawn(600));
  assert.equal(refused.title, 'budget-exhausted');
  await child.callModel(ask('sub', 10));
  await child.end();
  const second = await program.spawn(600);
  assert.notEqual(second.program, child.program);
  const ended = await problemOf(child.callModel(ask('after the end')));
  assert.equal(ended.title, 'program-ended');
});

test('engine memory is released at the end of a program', async (context) => {
  const cluster = await startCluster(context);
  const program = await ProgramClient.open(createClient(context, cluster));
  await program.callModel(ask('x'.repeat(2_000), 40));
  assert.ok(heldPrograms(cluster).includes(program.program));
  await program.end();
  await eventually(() => heldPrograms(cluster).length === 0, 'no engine holds memory');
});

test('engine memory is released when the owner vanished before the end', async (context) => {
  const cluster = await startCluster(context, { entryCount: 3 });
  const program = await ProgramClient.open(createClient(context, cluster));
  await program.callModel(ask('x'.repeat(2_000), 40));
  await ownerOf(cluster, program.program).entry.kill();
  await program.end();
  await eventually(() => heldPrograms(cluster).length === 0, 'no engine holds memory');
});

test('a planned stop of an entry loses no call', async (context) => {
  const cluster = await startCluster(context, { entryCount: 3 });
  const [leaving] = cluster.entries;
  assert.ok(leaving);
  // Callers go on sending to the leaving entry over the connections that they have.
  const client = createClient(context, cluster);
  const programs = await Promise.all(Array.from({ length: 12 }, () => ProgramClient.open(client)));
  let isStopped = false;
  const runs = programs.map(async (program) => {
    for (let turn = 1; !isStopped || turn < 6; turn += 1) {
      const { answer } = await program.callModel(ask(`turn ${turn}`));
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

test('a planned stop of an agent cuts no request and gets no new work', async (context) => {
  const cluster = await startCluster(context, { engine: { decodeStepMs: 10 } });
  const client = createClient(context, cluster);
  const programs = await Promise.all(Array.from({ length: 8 }, () => ProgramClient.open(client)));
  const [leaving] = cluster.endpoints;
  assert.ok(leaving && leaving.standin instanceof EngineStandin);
  const { model } = leaving.standin;
  const first = programs.map((program) => program.callModel(ask('long', 60)));
  await eventually(() => model.runningCount > 0, 'the engine works');
  const stopping = leaving.agent.stop();
  await Promise.all(first);
  await stopping;
  const { finished } = model.totals;
  await Promise.all(programs.map((program) => program.callModel(ask('next'))));
  assert.equal(model.totals.finished, finished);
});

test('context moves along from an engine whose agent is leaving', async (context) => {
  const cluster = await startCluster(context, { engine: { decodeStepMs: 10 } });
  const client = createClient(context, cluster);
  const program = await ProgramClient.open(client);
  await program.callModel(ask('x'.repeat(4_000), 4));
  const warm = cluster.endpoints.find(
    ({ standin }) => standin instanceof EngineStandin && standin.model.totals.finished > 0,
  );
  assert.ok(warm);
  // A long call keeps the agent draining for long enough.
  const other = await ProgramClient.open(client);
  const long = other.callModel(ask('long', 150));
  const stopping = warm.agent.stop();
  await sleep(50);
  const { answer } = await program.callModel(ask('next', 4));
  assert.ok(answer.usage.cachedTokens >= 900, `${answer.usage.cachedTokens} tokens were cached`);
  assert.equal(answer.usage.rebuiltTokens, 0);
  await long;
  await stopping;
});

test('work that may wait is refused early under load, and says when to come back', async (context) => {
  const cluster = await startCluster(context, {
    endpointCount: 1,
    engine: { decodeStepMs: 20, batchSize: 2 },
    configuration: WAITING_CONFIGURATION,
  });
  const client = createClient(context, cluster);
  const programs = await Promise.all(Array.from({ length: 14 }, () => ProgramClient.open(client)));
  const running = programs.map((program) =>
    program.callModel(ask('x', 40)).catch((error: unknown) => error),
  );
  await sleep(700);
  const waiting = await ProgramClient.open(client);
  const problem = await problemOf(waiting.callModel(ask('y')));
  assert.deepEqual([problem.title, problem.execution], ['overloaded', 'not-run']);
  assert.ok(problem.retryAfterMs > 0);
  await Promise.all(running);
});

test('a history whose holders are gone asks for the transcript and checks it', async (context) => {
  const cluster = await startCluster(context, { entryCount: 2 });
  const program = await ProgramClient.open(createClient(context, cluster));
  await program.callModel(ask('first'));
  const { turns } = await program.history();
  const before = [...cluster.entries];
  await cluster.startEntry(2);
  await Promise.all(before.map(({ entry }) => entry.kill()));
  const url = cluster.entries[2]?.url ?? '';
  const client = new CallerClient({ urls: [url], key: KEY });
  context.after(() => client.close());
  const path = `/v1/programs/${program.program}/model-calls`;
  const call = { continuation: program.continuation, ...ask('second') };
  const problem = await problemOf(client.call(path, call));
  assert.equal(problem.title, 'transcript-required');
  const forged = turns.map((turn) => ({ ...(turn as object), answer: 'forged' }));
  const refused = await problemOf(client.call(path, { ...call, transcript: forged }));
  assert.equal(refused.title, 'invalid-request');
  const { answer } = await client.call(path, { ...call, transcript: turns });
  assert.equal(answer.turn, 2);
});

test('one customer cannot reach the program of another', async (context) => {
  const cluster = await startCluster(context);
  const program = await ProgramClient.open(createClient(context, cluster));
  const other = createClient(context, cluster, OTHER_KEY);
  const path = `/v1/programs/${program.program}/model-calls`;
  const { continuation } = program;
  assert.equal(
    (await problemOf(other.call(path, { continuation, ...ask('x') }))).title,
    'forbidden',
  );
  const own = await ProgramClient.open(other);
  const foreign = other.call(`/v1/programs/${own.program}/model-calls`, {
    continuation,
    ...ask('x'),
  });
  assert.equal((await problemOf(foreign)).title, 'forbidden');
});

function heldPrograms(cluster: DevelopmentCluster): string[] {
  return cluster.endpoints.flatMap(({ standin }) =>
    standin instanceof EngineStandin ? standin.model.cache.holders() : [],
  );
}

function slowServices(cluster: DevelopmentCluster, delayMs: number): void {
  cluster.endpoints.forEach(({ standin }) => {
    if (standin instanceof ServiceStandin) Object.assign(standin.faults, { delayMs });
  });
}

/** Streams a model call through one entry and collects the parts. */
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
  let rest = '';
  const decoder = new TextDecoder();
  for await (const chunk of response.body as AsyncIterable<Buffer>) {
    rest += decoder.decode(chunk, { stream: true });
    const events = rest.split('\n\n');
    rest = events.pop() ?? '';
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
