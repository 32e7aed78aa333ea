import assert from 'node:assert/strict';
import test from 'node:test';
import { MemoryEventLog } from '@marjorampin/logging';
import { Metrics } from '@marjorampin/metrics';
import { Quarantine } from '@marjorampin/quarantine';
import { MemoryKeyValueStore } from '@marjorampin/store';
import { CallError, ManualClock } from '@marjorampin/types';
import { CallInput } from '../callInput';
import { type EndpointCounts, SuspectCalls } from '../suspectCalls';

function inputOf(body: string, target = '/path'): CallInput {
  return new CallInput({ host: 'h', method: 'POST', target, body: Buffer.from(body) });
}

/** Calls of one process and the record that it shares. */
function createSuspects() {
  const quarantine = new Quarantine({
    store: new MemoryKeyValueStore(),
    clock: new ManualClock(),
    log: new MemoryEventLog(),
    metrics: new Metrics(),
    random: () => 0,
  });
  const suspects = new SuspectCalls({ quarantine, metrics: new Metrics() });
  const crash = (endpoint: string, input: CallInput) =>
    quarantine.reportCrash({
      endpoint,
      service: 's',
      suspects: [suspects.suspectOf(input, 'r')],
    });
  return { suspects, crash };
}

const MANY: EndpointCounts = { registered: 6, available: 5 };

/** Crashes under an input, and what happens to its next call. */
const CASES: {
  name: string;
  crashes: number;
  endpoints?: EndpointCounts;
  /** Whether a call with the input is in progress. */
  isRunning?: boolean;
  remainingMs?: number;
  /** Retry delay of the refusal; undefined if the call is sent. */
  retryAfterMs: number | undefined;
}[] = [
  { name: 'after a crash', crashes: 1, retryAfterMs: undefined },
  { name: 'after two crashes', crashes: 2, retryAfterMs: 10_000 },
  {
    name: 'while the same input is in progress',
    crashes: 1,
    isRunning: true,
    retryAfterMs: 300,
  },
  {
    name: 'at the last of several endpoints',
    crashes: 1,
    endpoints: { registered: 2, available: 1 },
    retryAfterMs: 2_000,
  },
  {
    name: 'at the last of several endpoints, with little time left',
    crashes: 1,
    endpoints: { registered: 2, available: 1 },
    remainingMs: 900,
    retryAfterMs: 300,
  },
  {
    name: 'at the only endpoint of a service',
    crashes: 1,
    endpoints: { registered: 1, available: 1 },
    retryAfterMs: undefined,
  },
];

CASES.forEach(
  ({ name, crashes, endpoints = MANY, isRunning, remainingMs = 30_000, ...expected }) => {
    test(`a suspected input is ${expected.retryAfterMs === undefined ? 'refused' : 'sent'} ${name}`, () => {
      const { suspects, crash } = createSuspects();
      const input = inputOf('g');
      for (let index = 0; index < crashes; index += 1) crash(`e${index}`, input);
      assert.notEqual(suspects.rankOf(input), undefined);
      if (isRunning) suspects.begin(input);
      let retryAfterMs: number | undefined;
      try {
        suspects.refuseUnsafe({ input, service: 's', remainingMs, endpoints });
      } catch (error) {
        retryAfterMs = (error as CallError).retryAfterMs;
      }
      assert.equal(retryAfterMs, expected.retryAfterMs);
    });
  },
);

test('a target is suspected although another call with it was answered', () => {
  const { suspects, crash } = createSuspects();
  suspects.recordAnswer(inputOf('a', '/model'));
  ['b', 'c', 'd'].forEach((body, index) => crash(`e${index}`, inputOf(body, '/model')));
  suspects.refuseQuarantined(inputOf('e', '/model'));
  assert.equal(suspects.rankOf(inputOf('e', '/model')), undefined);
  ['b', 'c', 'd'].forEach((body, index) => crash(`f${index}`, inputOf(body, '/own')));
  assert.throws(() => suspects.refuseQuarantined(inputOf('e', '/own')), {
    kind: 'quarantined',
  });
});
