import assert from 'node:assert/strict';
import test from 'node:test';
import { MemoryEventLog } from '@marjorampin/logging';
import type { Reply } from '@marjorampin/protocol';
import { CallError, type Clock, type Endpoint, toCallError } from '@marjorampin/types';
import type { ServiceCallBody } from '../calls';
import { EndpointClient } from '../endpointDispatcher';
import type { Ledger } from '../ledgerClient';
import type { Program } from '../program';
import { ServiceTurn } from '../serviceTurn';

const ENDPOINT: Endpoint = {
  id: 'e0',
  service: 'lookup',
  address: '127.0.0.1:1',
  incarnation: '1',
  domain: 'd0',
  state: 'live',
};

type Step = 'no endpoint' | 'refused' | 'lost';

const ERRORS: Record<Step, CallError> = {
  'no endpoint': new CallError({ kind: 'no-endpoint', message: 'none' }),
  refused: new CallError({ kind: 'leaving', message: 'leaving' }),
  lost: new CallError({ kind: 'connection-lost', message: 'lost', execution: 'unknown' }),
};

/** Fails the attempts of a call in the given ways; the last one applies to all further attempts. */
class FailingEndpoints extends EndpointClient {
  private readonly steps: Step[];

  constructor({ steps }: { steps: Step[] }) {
    super();
    this.steps = [...steps];
  }

  override async choose(): Promise<Endpoint> {
    if (this.steps[0] === 'no endpoint') throw ERRORS['no endpoint'];
    return ENDPOINT;
  }

  override async send(): Promise<Reply> {
    const step = (this.steps.length > 1 ? this.steps.shift() : this.steps[0]) as Step;
    throw ERRORS[step];
  }

  override get(): undefined {
    return undefined;
  }
}

const CASES: { steps: Step[]; execution: string }[] = [
  { steps: ['no endpoint'], execution: 'not-run' },
  { steps: ['refused'], execution: 'not-run' },
  { steps: ['lost'], execution: 'unknown' },
  { steps: ['lost', 'refused'], execution: 'unknown' },
  { steps: ['lost', 'no endpoint'], execution: 'unknown' },
  { steps: ['refused', 'no endpoint'], execution: 'not-run' },
];

CASES.forEach(({ steps, execution }) => {
  test(`an idempotent call whose attempts end "${steps.join(', ')}" is reported as ${execution}`, async () => {
    const turn = new ServiceTurn({
      program: { partition: 1, epoch: 1, id: 'p', customer: 'c' } as Program,
      body: {
        service: 'lookup',
        operation: 'find',
        idempotencyKey: 'k',
        body: {},
        deadlineMs: 1_000,
      } as unknown as ServiceCallBody,
      service: {
        name: 'lookup',
        kind: 'plain',
        progressTimeoutMs: 1_000,
        idempotentOperations: ['find'],
        wastedCachePriceMs: 0,
        costTokens: 0,
        checksFencing: false,
      },
      priority: 'standard',
      endpoints: new FailingEndpoints({ steps }),
      ledger: {} as Ledger,
      clock: { sleep: async () => undefined } as unknown as Clock,
      log: new MemoryEventLog(),
      mayHaveRunBefore: false,
    });
    const error = await turn.run().then(
      () => undefined,
      (thrown) => toCallError(thrown),
    );
    assert.equal(error?.execution, execution);
  });
});
