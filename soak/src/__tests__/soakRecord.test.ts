import assert from 'node:assert/strict';
import test from 'node:test';
import { SoakRecord } from '../soakRecord';

/** Events at callers and endpoints, and the guarantees that they violate. */
const CASES: { name: string; apply(record: SoakRecord): void; violations: string[] }[] = [
  {
    name: 'a call may run once',
    apply: (record) => {
      record.recordRequest('a', 'non-idempotent', 'x');
      record.recordExecution('a', 'GET', 'x');
      record.recordOutcome('a', { status: 200 });
    },
    violations: [],
  },
  {
    name: 'an idempotent call may run twice',
    apply: (record) => {
      record.recordRequest('a', 'idempotent', '');
      record.recordExecution('a', 'GET', '');
      record.recordExecution('a', 'GET', '');
      record.recordOutcome('a', { status: 503 });
    },
    violations: [],
  },
  {
    name: 'a call that no caller sent is reported',
    apply: (record) => record.recordExecution('a', 'GET', ''),
    violations: ['UNASKED'],
  },
  {
    name: 'a turn that runs with another context is reported',
    apply: (record) => {
      record.recordRequest('a', 'turn', 'one two');
      record.recordExecution('a', 'POST', 'one');
    },
    violations: ['UNASKED'],
  },
  {
    name: 'an at-most-once call that runs twice is reported',
    apply: (record) => {
      record.recordRequest('a', 'non-idempotent', '');
      record.recordExecution('a', 'GET', '');
      record.recordExecution('a', 'GET', '');
    },
    violations: ['TWICE'],
  },
  {
    name: 'a call that ran and is then refused is reported',
    apply: (record) => {
      record.recordRequest('a', 'turn', '');
      record.recordExecution('a', 'POST', '');
      record.recordOutcome('a', { status: 503 });
    },
    violations: ['REFUSED'],
  },
  {
    name: 'a call that runs after its refusal is reported',
    apply: (record) => {
      record.recordRequest('a', 'turn', '');
      record.recordOutcome('a', { status: 402 });
      record.recordExecution('a', 'POST', '');
    },
    violations: ['REFUSED'],
  },
  {
    name: 'tokens beyond the budget are reported',
    apply: (record) => {
      record.recordTokens('p', 20, 30);
      record.recordTokens('p', 20, 30);
    },
    violations: ['BUDGET'],
  },
];

const LOSSES = [
  { name: 'a request that was not read', ran: false, sinceSentMs: 100, violations: [] },
  { name: 'a request that was read', ran: false, sinceSentMs: 300, violations: ['LOST'] },
  { name: 'a request that was passed on', ran: true, sinceSentMs: 100, violations: ['LOST'] },
  { name: 'a request beyond its time', ran: true, sinceSentMs: 4_000, violations: [] },
];

LOSSES.forEach(({ name, ran, sinceSentMs, violations }) => {
  test(`soak record: no answer during planned work (${name})`, () => {
    const record = new SoakRecord({ answerTimeoutMs: 4_000 });
    record.recordRequest('a', 'idempotent', '');
    if (ran) record.recordExecution('a', 'GET', '');
    record.recordOutcome('a', { status: 'broken', sinceSentMs });
    assert.deepEqual(
      record.violations.map((text) => text.split(':')[0]),
      violations,
    );
  });
});

CASES.forEach(({ name, apply, violations }) => {
  test(`soak record: ${name}`, () => {
    const record = new SoakRecord();
    apply(record);
    assert.deepEqual(
      record.violations.map((text) => text.split(':')[0]),
      violations,
    );
  });
});
