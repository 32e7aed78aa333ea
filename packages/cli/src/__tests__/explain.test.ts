import assert from 'node:assert/strict';
import test from 'node:test';
import { renderTimeline } from '../explain/timeline';

const line = (name: string, second: number, event: number, fields: Record<string, unknown>) =>
  JSON.stringify({ name, time: `2026-12-04T10:00:0${second}.000Z`, event, ...fields });

/** The clock of `e2` is two seconds ahead of that of `e1`, so times are comparable only within a
 * process. */
const LOGS = [
  [
    line('e1', 1, 300, { reason: 'no answer' }),
    line('e1', 2, 802, { request: 'r1', program: 'p1', outcome: 'not-configured' }),
    line('e1', 3, 801, { request: 'r2', program: 'p2', outcome: 'answered' }),
    'Warning: something else',
    line('e1', 9, 301, { lostMs: 8_000 }),
    '{"name":"e1","time":"2026-12-04T10:0',
  ].join('\n'),
  [
    `host2 ${line('e2', 5, 804, { request: 'r3', program: 'p1', endpoint: 'x' })}`,
    `host2 ${line('e2', 6, 802, { request: 'r3', program: 'p1', outcome: 'overloaded' })}`,
    line('e3', 7, 709, { program: 'p3', turn: 't1' }),
  ].join('\n'),
];

/** Expected lines of each timeline: processes and event numbers, with `~` for context. */
const CASES = [
  { name: 'a failed request', id: 'r1', expected: ['e1:', '~300', '802'] },
  { name: 'a request with a failed attempt', id: 'r3', expected: ['e2:', '804', '802'] },
  {
    name: 'a program with requests at two processes',
    id: 'p1',
    expected: ['e1:', '~300', '802', 'e2:', '804', '802'],
  },
  { name: 'a program with an event without a request', id: 'p3', expected: ['e3:', '709'] },
  { name: 'an unknown request', id: 'r9', expected: [] },
];

CASES.forEach(({ name, id, expected }) => {
  test(`the timeline of ${name} lists exactly its events and their context`, () => {
    const actual = renderTimeline(id, LOGS).flatMap((text) => {
      const match = /^(\S+:)$|^ {2}([ ~]) \S+ (\d+)/.exec(text);
      if (!match) return [];
      return [match[1] ?? `${match[2]?.trim() ?? ''}${match[3]}`];
    });
    assert.deepEqual(actual, expected);
  });
});
