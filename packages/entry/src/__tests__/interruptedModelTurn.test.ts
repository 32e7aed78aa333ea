import assert from 'node:assert/strict';
import test from 'node:test';
import { CallError, type CallErrorKind, type Endpoint } from '@marjorampin/types';
import type { Reply } from '@marjorampin/protocol';
import type { BudgetAccount } from '../budgetAccount';
import { EndpointClient } from '../endpointDispatcher';
import { runModelTurn } from '../modelTurn';
import { Program } from '../program';

/** Endpoints each of which fails under every call. */
class FailingEndpoints extends EndpointClient {
  /** Ids of the endpoints that the calls were sent to. */
  readonly sentTo: string[] = [];

  private readonly error: () => CallError;

  constructor(error: () => CallError) {
    super();
    this.error = error;
  }

  override async choose(): Promise<Endpoint> {
    const id = `e${this.sentTo.length}`;
    return { id, service: 'm', address: '', incarnation: '1', domain: 'd', state: 'live' };
  }

  override async send({ id }: Endpoint): Promise<Reply> {
    this.sentTo.push(id);
    throw this.error();
  }

  override get(): undefined {
    return undefined;
  }
}

function createProgram(id: string): Program {
  const budget = {} as BudgetAccount;
  return new Program({
    id,
    customer: 'c',
    parent: '',
    partition: 0,
    epoch: 1,
    budget,
    expiresMs: 1,
  });
}

/** Runs one model call of a program and returns the kind of its error. */
async function runTurn(
  endpoints: EndpointClient,
  program: Program,
  input: string,
): Promise<CallErrorKind | undefined> {
  const body = {
    continuation: '',
    service: 'm',
    input,
    maximumTokens: 1,
    stream: false,
    deadlineMs: 1_000,
  };
  const service = {
    name: 'm',
    kind: 'model' as const,
    idempotentOperations: [],
    costTokens: 0,
    wastedCachePriceMs: 0,
    progressTimeoutMs: 1_000,
    checksFencing: false,
  };
  const result = runModelTurn({
    program,
    body,
    service,
    priority: 'standard',
    requestId: `${program.id}/${input}`,
    endpoints,
    emittedText: '',
    onText: () => undefined,
    release: () => undefined,
    sleep: async () => undefined,
  });
  return result.then(
    () => undefined,
    (error: CallError) => error.kind,
  );
}

const CASES: {
  name: string;
  kind: CallErrorKind;
  execution: CallError['execution'];
  /** Inputs of the calls, one after the other. */
  inputs: string[];
  /** Number of endpoints that they reach. */
  sends: number;
  lastKind: CallErrorKind;
}[] = [
  {
    name: 'one call',
    kind: 'connection-lost',
    execution: 'unknown',
    inputs: ['g'],
    sends: 3,
    lastKind: 'endpoint-failed',
  },
  {
    name: 'a call that is repeated',
    kind: 'endpoint-failed',
    execution: 'unknown',
    inputs: ['g', 'g', 'g'],
    sends: 3,
    lastKind: 'quarantined',
  },
  {
    name: 'two calls with different inputs',
    kind: 'connection-lost',
    execution: 'unknown',
    inputs: ['g', 'h'],
    sends: 6,
    lastKind: 'endpoint-failed',
  },
  {
    name: 'a call that the endpoints did not run',
    kind: 'connection-lost',
    execution: 'not-run',
    inputs: ['g'],
    sends: 5,
    lastKind: 'connection-lost',
  },
];

CASES.forEach(({ name, kind, execution, inputs, sends, lastKind }) => {
  test(`${name} interrupts another number of endpoints than ${sends}`, async () => {
    const endpoints = new FailingEndpoints(
      () => new CallError({ kind, message: 'interrupted', execution }),
    );
    const program = createProgram('p');
    let last: CallErrorKind | undefined;
    for (const input of inputs) last = await runTurn(endpoints, program, input);
    assert.equal(endpoints.sentTo.length, sends);
    assert.equal(last, lastKind);
  });
});

test('one input under several programs interrupts more than three endpoints', async () => {
  const endpoints = new FailingEndpoints(
    () => new CallError({ kind: 'connection-lost', message: 'interrupted', execution: 'unknown' }),
  );
  await runTurn(endpoints, createProgram('p1'), 'g');
  await runTurn(endpoints, createProgram('p2'), 'g');
  assert.ok(endpoints.sentTo.length <= 3, `${endpoints.sentTo.length} endpoints`);
});
