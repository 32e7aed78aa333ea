import assert from 'node:assert/strict';
import test from 'node:test';
import { CallRegistry } from '@marjorampin/agent';
import { MemoryEventLog } from '@marjorampin/logging';
import { create } from '@bufbuild/protobuf';
import { type Reply, ReplySchema, type RequestBody } from '@marjorampin/protocol';
import {
  CallError,
  type Clock,
  createProgramId,
  type Endpoint,
  EpochFence,
  toCallError,
} from '@marjorampin/types';
import fc from 'fast-check';
import { ScheduledClock } from '@marjorampin/standins';
import { BudgetAccount } from '../budgetAccount';
import { serviceCallSchema } from '../calls';
import { EndpointClient } from '../endpointDispatcher';
import type { Ledger } from '../ledgerClient';
import { Program } from '../program';
import { ServiceTurn } from '../serviceTurn';
import {
  type Delivery,
  DeliverySequence,
  deliveriesArbitrary,
  openLedger,
  PROPERTY_PARAMETERS,
  ScheduledStore,
} from './scheduledFakes';

const SERVICE = {
  name: 'bookings',
  kind: 'plain' as const,
  idempotentOperations: [],
  costTokens: 1,
  wastedCachePriceMs: 0,
  progressTimeoutMs: 1_000,
  checksFencing: true,
};

interface FakeAgent {
  endpoint: Endpoint;
  registry: CallRegistry;
  fence: EpochFence;
}

/** Agents behind a network that loses and delays messages. Counts executions by key. */
class FakeEndpointClient extends EndpointClient {
  readonly executions = new Map<string, number>();

  private readonly agents = new Map<string, FakeAgent>();

  private readonly scheduler: fc.Scheduler;

  private readonly deliveries: DeliverySequence;

  private incarnations = 0;

  constructor(scheduler: fc.Scheduler, deliveries: DeliverySequence) {
    super();
    this.scheduler = scheduler;
    this.deliveries = deliveries;
    ['bookings-0', 'bookings-1'].forEach((id) => this.restart(id));
  }

  restart(id: string): void {
    this.incarnations += 1;
    const incarnation = String(this.incarnations);
    const endpoint: Endpoint = {
      id,
      service: SERVICE.name,
      address: id,
      incarnation,
      domain: 'domain-a',
      state: 'live',
    };
    this.agents.set(id, { endpoint, registry: new CallRegistry(), fence: new EpochFence() });
  }

  override async choose(service: string, request: unknown, tried: Set<string>): Promise<Endpoint> {
    await this.scheduler.schedule(Promise.resolve());
    const agents = [...this.agents.values()];
    const agent = agents.find(({ endpoint }) => !tried.has(endpoint.id)) ?? agents[0];
    return (agent as FakeAgent).endpoint;
  }

  override get(id: string): Endpoint | undefined {
    return this.agents.get(id)?.endpoint;
  }

  override async send(endpoint: Endpoint, body: RequestBody): Promise<Reply> {
    // The request reaches the process that runs at delivery, whatever its incarnation.
    const delivery = this.deliveries.next();
    await this.scheduler.schedule(Promise.resolve());
    const deliver = () => this.handle(endpoint.id, body);
    if (delivery === 'refused') throw connectionLost('not-run');
    if (delivery === 'delayed') {
      this.scheduler
        .schedule(Promise.resolve())
        .then(deliver)
        .catch(() => undefined);
      throw connectionLost('unknown');
    }
    const reply = await deliver();
    await this.scheduler.schedule(Promise.resolve());
    if (delivery === 'reply-lost') throw connectionLost('unknown');
    return reply;
  }

  private async handle(id: string, body: RequestBody): Promise<Reply> {
    const agent = this.agents.get(id) as FakeAgent;
    if (body?.case === 'settleCalls') {
      agent.registry.settle(body.value.keys ?? []);
      return create(ReplySchema, { body: { case: 'acknowledgement', value: {} } });
    }
    if (body?.case !== 'serviceCall' && body?.case !== 'voidCall') throw new Error('unexpected');
    const { fence, key = '', attempt, incarnation } = body.value;
    agent.fence.check({ partition: fence?.partition ?? 0, epoch: fence?.epoch ?? 0 });
    const isCurrent = incarnation === agent.endpoint.incarnation;
    if (body.case === 'voidCall') {
      const value = isCurrent
        ? await agent.registry.void(`${key}#${attempt}`)
        : { outcome: 'unknown' as const };
      return create(ReplySchema, { body: { case: 'voidResult', value } });
    }
    if (!isCurrent) throw new CallError({ kind: 'stale-epoch', message: 'the agent restarted' });
    const value = await agent.registry.run(`${key}#${attempt}`, () => this.execute(key));
    return create(ReplySchema, { body: { case: 'serviceResult', value } });
  }

  private async execute(key: string) {
    this.executions.set(key, (this.executions.get(key) ?? 0) + 1);
    await this.scheduler.schedule(Promise.resolve());
    if (this.deliveries.next() === 'reply-lost') throw connectionLost('unknown');
    return { status: 200, body: key };
  }
}

function connectionLost(execution: 'not-run' | 'unknown'): CallError {
  return new CallError({ kind: 'connection-lost', message: 'lost', execution });
}

/** One step of a scenario: a request, a takeover by a new epoch, or a restart of an agent. */
interface Step {
  action: 'request' | 'takeover' | 'restart';
  key: number;
  agent: number;
}

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
  action: fc.constantFrom('request', 'request', 'request', 'takeover', 'restart'),
  key: fc.integer({ min: 0, max: 1 }),
  agent: fc.integer({ min: 0, max: 1 }),
});

/** How one request ended. */
interface RequestResult {
  key: string;
  execution: 'answered' | 'not-run' | 'done' | 'unknown';
  /** Executions of the key before the request began. */
  countBefore: number;
}

async function runScenario(
  scheduler: fc.Scheduler,
  steps: Step[],
  storeDeliveries: Delivery[],
  messageDeliveries: Delivery[],
) {
  const clock = new ScheduledClock(scheduler);
  const store = new ScheduledStore(scheduler, new DeliverySequence(storeDeliveries));
  const endpoints = new FakeEndpointClient(scheduler, new DeliverySequence(messageDeliveries));
  const results: RequestResult[] = [];
  const requestedKeys = new Set<string>();
  let epoch = 1;
  let ledger = openLedger(store, clock, epoch);
  const request = async (key: string, isFirst: boolean) => {
    const turn = createTurn({ key, epoch, ledger, endpoints, clock, isFirst });
    const ledgerKey = `call/customer/bookings/${key}`;
    const countBefore = endpoints.executions.get(ledgerKey) ?? 0;
    const execution = await turn.run().then(
      () => 'answered' as const,
      (error) => toCallError(error).execution,
    );
    results.push({ key: ledgerKey, execution, countBefore });
  };
  const pending: Promise<unknown>[] = [];
  steps.forEach(({ action, key, agent }) => {
    pending.push(
      scheduler.schedule(Promise.resolve()).then(() => {
        if (action === 'restart') endpoints.restart(`bookings-${agent}`);
        if (action === 'takeover') {
          epoch += 1;
          ledger = openLedger(store, clock, epoch);
        }
        if (action !== 'request') return undefined;
        const name = `key-${key}`;
        const isFirst = !requestedKeys.has(name);
        requestedKeys.add(name);
        return request(name, isFirst);
      }),
    );
  });
  await scheduler.waitIdle();
  await Promise.all(pending);
  await scheduler.waitIdle();
  return { results, executions: endpoints.executions };
}

function createTurn(options: {
  key: string;
  epoch: number;
  ledger: Ledger;
  endpoints: EndpointClient;
  clock: Clock;
  isFirst: boolean;
}): ServiceTurn {
  const { key, epoch, ledger, endpoints, clock, isFirst } = options;
  const partition = 7;
  const id = createProgramId({ customer: 'customer', partition });
  const budget = new BudgetAccount({ program: id, granted: 100, epoch, ledger });
  const program = new Program({
    id,
    customer: 'customer',
    parent: '',
    partition,
    epoch,
    budget,
    expiresMs: 0,
  });
  const body = serviceCallSchema.parse({
    continuation: '',
    service: 'bookings',
    operation: 'book',
    idempotencyKey: key,
  });
  const log = new MemoryEventLog();
  const mayHaveRunBefore = !isFirst;
  return new ServiceTurn({
    program,
    body,
    service: SERVICE,
    priority: 'standard',
    endpoints,
    ledger,
    clock,
    log,
    mayHaveRunBefore,
  });
}

test('a service call runs at most once and is never reported as "not run" after it ran', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.scheduler(),
      fc.array(stepArbitrary, { minLength: 1, maxLength: 8 }),
      deliveriesArbitrary,
      deliveriesArbitrary,
      async (scheduler, steps, storeDeliveries, messageDeliveries) => {
        const scenario = await runScenario(scheduler, steps, storeDeliveries, messageDeliveries);
        const { results, executions } = scenario;
        executions.forEach((count, key) => assert.equal(count, 1, `${key} ran ${count} times`));
        results.forEach(({ key, execution, countBefore }) => {
          if (execution === 'not-run') assert.equal(countBefore, 0, `${key} had run before`);
        });
        const keys = new Set(results.map(({ key }) => key));
        keys.forEach((key) => {
          const resultsOfKey = results.filter((result) => result.key === key);
          const count = executions.get(key) ?? 0;
          const isAnswered = resultsOfKey.some(({ execution }) => execution === 'answered');
          if (isAnswered) assert.equal(count, 1, `${key} was answered but did not run`);
          const isRefused = resultsOfKey.every(({ execution }) => execution === 'not-run');
          if (isRefused) assert.equal(count, 0, `${key} ran, but all requests reported "not run"`);
        });
      },
    ),
    PROPERTY_PARAMETERS,
  );
});
