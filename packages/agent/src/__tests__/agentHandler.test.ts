import assert from 'node:assert/strict';
import test from 'node:test';
import { create } from '@bufbuild/protobuf';
import { MemoryEventLog } from '@marjorampin/logging';
import { type RequestBody, RequestSchema } from '@marjorampin/protocol';
import { ManualClock, toCallError } from '@marjorampin/types';
import { AgentHandler, IDLE_CONTEXT_LIMIT_MS } from '../agentHandler';
import { type EndpointLoad, ModelEndpoint, type ModelOutcome } from '../modelEndpoint';
import { PlainEndpoint, type PlainOutcome } from '../plainEndpoint';

class FakeEngine extends ModelEndpoint {
  readonly released: string[] = [];

  override async generate(): Promise<ModelOutcome> {
    return { text: 'x', inputTokens: 1, cachedTokens: 0, rebuiltTokens: 0, outputTokens: 1 };
  }

  override async release(program: string): Promise<void> {
    this.released.push(program);
  }

  override async load(): Promise<EndpointLoad> {
    return { running: 0, queued: 0, cachedTokens: 0 };
  }

  override async exportContext(): Promise<string> {
    return '';
  }

  override async importContext(): Promise<void> {
    assert.fail('nothing is imported');
  }

  override async heldPrograms(): Promise<string[]> {
    return [];
  }
}

class FakeService extends PlainEndpoint {
  executions = 0;

  override async execute(): Promise<PlainOutcome> {
    this.executions += 1;
    return { status: 200, body: 'done' };
  }
}

const CALL = { signal: new AbortController().signal, send: () => undefined };

function createHandler(adapter: FakeEngine | FakeService, clock = new ManualClock()) {
  return new AgentHandler({
    endpoint: 'endpoint-0',
    incarnation: 'start-1',
    adapter,
    log: new MemoryEventLog(),
    clock,
    sendContext: () => Promise.resolve(),
  });
}

function send(handler: AgentHandler, body: RequestBody) {
  return handler.handle(create(RequestSchema, { body }), CALL);
}

const fence = (epoch: number) => ({ partition: 3, epoch });

const modelCall = (epoch: number, program: string): RequestBody => ({
  case: 'modelCall',
  value: { fence: fence(epoch), program, maximumTokens: 1 },
});

const serviceCall = (epoch: number, attempt: number, incarnation = 'start-1'): RequestBody => ({
  case: 'serviceCall',
  value: { fence: fence(epoch), key: 'key', attempt, incarnation, operation: 'book' },
});

const voidCall = (epoch: number, attempt: number, incarnation = 'start-1'): RequestBody => ({
  case: 'voidCall',
  value: { fence: fence(epoch), key: 'key', attempt, incarnation },
});

const CASES: {
  name: string;
  requests: RequestBody[];
  /** Kind of the last request's error, or undefined when it is answered. */
  kind: string | undefined;
  executions: number;
}[] = [
  { name: 'a call runs', requests: [serviceCall(1, 1)], kind: undefined, executions: 1 },
  {
    name: 'a repeated dispatch joins the first',
    requests: [serviceCall(1, 1), serviceCall(1, 1)],
    kind: undefined,
    executions: 1,
  },
  {
    name: 'a former owner is refused',
    requests: [voidCall(2, 9), serviceCall(1, 1)],
    kind: 'stale-epoch',
    executions: 0,
  },
  {
    name: 'a voided call is refused when it arrives late',
    requests: [voidCall(1, 1), serviceCall(1, 1)],
    kind: 'voided',
    executions: 0,
  },
  {
    name: 'a call prepared for an earlier start is refused',
    requests: [serviceCall(1, 1, 'start-0')],
    kind: 'stale-epoch',
    executions: 0,
  },
  {
    name: 'a voided call stays refused after its key is settled',
    requests: [
      voidCall(1, 1),
      { case: 'settleCalls', value: { keys: ['key#1'] } },
      serviceCall(1, 1),
    ],
    kind: 'voided',
    executions: 0,
  },
];

CASES.forEach(({ name, requests, kind, executions }) => {
  test(name, async () => {
    const service = new FakeService();
    const handler = createHandler(service);
    let last: string | undefined;
    for (const request of requests) {
      last = await send(handler, request).then(
        () => undefined,
        (error) => toCallError(error).kind,
      );
    }
    assert.equal(last, kind);
    assert.equal(service.executions, executions);
  });
});

test('a void of another start is answered as unknown', async () => {
  const reply = await send(createHandler(new FakeService()), voidCall(1, 1, 'start-0'));
  assert.deepEqual(reply.body, { case: 'voidResult', value: { outcome: 'unknown' } });
});

test('a leaving agent refuses new work as not run', async () => {
  const service = new FakeService();
  const handler = createHandler(service);
  handler.isLeaving = true;
  const error = await send(handler, serviceCall(1, 1)).catch(toCallError);
  assert.ok('kind' in error);
  assert.deepEqual([error.kind, error.execution, service.executions], ['leaving', 'not-run', 0]);
});

test('context of programs without a call for long is released', async () => {
  const engine = new FakeEngine();
  const clock = new ManualClock();
  const handler = createHandler(engine, clock);
  await send(handler, modelCall(1, 'old'));
  await clock.advance(IDLE_CONTEXT_LIMIT_MS / 2);
  await send(handler, modelCall(1, 'recent'));
  await handler.releaseIdle();
  assert.deepEqual(engine.released, []);
  await clock.advance(IDLE_CONTEXT_LIMIT_MS / 2 + 1);
  await handler.releaseIdle();
  assert.deepEqual(engine.released, ['old']);
});
