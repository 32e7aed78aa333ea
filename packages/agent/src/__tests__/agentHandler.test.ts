import assert from 'node:assert/strict';
import test from 'node:test';
import { create } from '@bufbuild/protobuf';
import { MemoryEventLog } from '@marjorampin/logging';
import { type RequestBody, RequestSchema } from '@marjorampin/protocol';
import { ManualClock, toCallError } from '@marjorampin/types';
import { AgentHandler, IDLE_CONTEXT_TIMEOUT_MS } from '../agentHandler';
import {
  type EndpointLoad,
  ModelEndpoint,
  type ModelOutcome,
  type ModelRequest,
} from '../modelEndpoint';

import { PlainEndpoint, type PlainOutcome } from '../plainEndpoint';

const TRICKLE_INTERVAL_MS = 100;
const DEADLINE_MS = 1_000;

class FakeEngine extends ModelEndpoint {
  readonly released: string[] = [];

  override async generate(
    _request: ModelRequest,
    _onText: (text: string) => void,
    _signal: AbortSignal,
  ): Promise<ModelOutcome> {
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
    assert.fail('importContext was called unexpectedly');
  }

  override async cachedPrograms(): Promise<string[]> {
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

const INCOMING_CALL = { signal: new AbortController().signal, sendItem: () => undefined };

function createHandler(adapter: FakeEngine | FakeService, clock = new ManualClock()) {
  return new AgentHandler({
    endpoint: 'endpoint-0',
    incarnation: 'incarnation-1',
    adapter,
    log: new MemoryEventLog(),
    clock,
    sendContext: () => Promise.resolve(),
  });
}

function send(handler: AgentHandler, body: RequestBody) {
  return handler.handle(create(RequestSchema, { body }), INCOMING_CALL);
}

const fence = (epoch: number) => ({ partition: 3, epoch });

const modelCall = (epoch: number, program: string): RequestBody => ({
  case: 'modelCall',
  value: { fence: fence(epoch), program, maximumTokens: 1 },
});

const serviceCall = (
  epoch: number,
  attempt: number,
  incarnation = 'incarnation-1',
): RequestBody => ({
  case: 'serviceCall',
  value: { fence: fence(epoch), key: 'key', attempt, incarnation, operation: 'book' },
});

const voidCall = (epoch: number, attempt: number, incarnation = 'incarnation-1'): RequestBody => ({
  case: 'voidCall',
  value: { fence: fence(epoch), key: 'key', attempt, incarnation },
});

const CASES: {
  name: string;
  requests: RequestBody[];
  /** Error kind of the last request, or undefined when it succeeds. */
  errorKind: string | undefined;
  executions: number;
}[] = [
  {
    name: 'a service call is executed',
    requests: [serviceCall(1, 1)],
    errorKind: undefined,
    executions: 1,
  },
  {
    name: 'a repeated service call is executed once',
    requests: [serviceCall(1, 1), serviceCall(1, 1)],
    errorKind: undefined,
    executions: 1,
  },
  {
    name: 'a call from a former owner is refused',
    requests: [voidCall(2, 9), serviceCall(1, 1)],
    errorKind: 'stale-epoch',
    executions: 0,
  },
  {
    name: 'a call that arrives after it was voided is refused',
    requests: [voidCall(1, 1), serviceCall(1, 1)],
    errorKind: 'voided',
    executions: 0,
  },
  {
    name: 'a call prepared for an earlier incarnation of the agent is refused',
    requests: [serviceCall(1, 1, 'incarnation-0')],
    errorKind: 'stale-epoch',
    executions: 0,
  },
  {
    name: 'a voided call is still refused after its key is settled',
    requests: [
      voidCall(1, 1),
      { case: 'settleCalls', value: { keys: ['key#1'] } },
      serviceCall(1, 1),
    ],
    errorKind: 'voided',
    executions: 0,
  },
];

CASES.forEach(({ name, requests, errorKind, executions }) => {
  test(name, async () => {
    const service = new FakeService();
    const handler = createHandler(service);
    let lastErrorKind: string | undefined;
    for (const request of requests) {
      lastErrorKind = await send(handler, request).then(
        () => undefined,
        (error) => toCallError(error).kind,
      );
    }
    assert.equal(lastErrorKind, errorKind);
    assert.equal(service.executions, executions);
  });
});

test('voiding a call of another incarnation returns unknown', async () => {
  const reply = await send(createHandler(new FakeService()), voidCall(1, 1, 'incarnation-0'));
  assert.deepEqual(reply.body, { case: 'voidResult', value: { outcome: 'unknown' } });
});

test('a leaving agent refuses new calls and reports them as not run', async () => {
  const service = new FakeService();
  const handler = createHandler(service);
  handler.isLeaving = true;
  const error = await send(handler, serviceCall(1, 1)).catch(toCallError);
  assert.ok('kind' in error);
  assert.deepEqual([error.kind, error.execution, service.executions], ['leaving', 'not-run', 0]);
});

test('the context of a program without recent calls is released', async () => {
  const engine = new FakeEngine();
  const clock = new ManualClock();
  const handler = createHandler(engine, clock);
  await send(handler, modelCall(1, 'idle'));
  await clock.advance(IDLE_CONTEXT_TIMEOUT_MS / 2);
  await send(handler, modelCall(1, 'recent'));
  await handler.releaseIdleContexts();
  assert.deepEqual(engine.released, []);
  await clock.advance(IDLE_CONTEXT_TIMEOUT_MS / 2 + 1);
  await handler.releaseIdleContexts();
  assert.deepEqual(engine.released, ['idle']);
});

/** Sends a text at each interval until its call is aborted. */
class TricklingEngine extends FakeEngine {
  private readonly clock: ManualClock;

  constructor({ clock }: { clock: ManualClock }) {
    super();
    this.clock = clock;
  }

  override async generate(
    _request: ModelRequest,
    onText: (text: string) => void,
    signal: AbortSignal,
  ): Promise<ModelOutcome> {
    while (!signal.aborted) {
      await this.clock.sleep(TRICKLE_INTERVAL_MS);
      onText('x');
    }
    throw new Error('aborted');
  }
}

test('a generation that sends a text now and then is stopped after its deadline', async () => {
  const clock = new ManualClock();
  const handler = createHandler(new TricklingEngine({ clock }), clock);
  const value = { fence: fence(1), program: 'p', maximumTokens: 1, deadlineMs: DEADLINE_MS };
  const ended = send(handler, { case: 'modelCall', value }).catch(toCallError);
  await clock.advance(DEADLINE_MS);
  assert.equal(handler.running, 1);
  await clock.advance(4 * DEADLINE_MS);
  assert.equal(handler.running, 0);
  const error = await ended;
  assert.ok('kind' in error);
  assert.deepEqual([error.kind, error.execution], ['deadline-exceeded', 'unknown']);
});
