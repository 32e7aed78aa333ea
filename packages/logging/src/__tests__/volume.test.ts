import assert from 'node:assert/strict';
import { Writable } from 'node:stream';
import test from 'node:test';
import { MemoryEventLog } from '../eventLog';
import { LineBuffer } from '../lineBuffer';
import { SampledEventLog } from '../sampledEventLog';

/** Never completes a write, so that all text stays in its buffer. */
const createStalledTarget = () => new Writable({ write: () => undefined });

const createRequestIds = (count: number) =>
  Array.from({ length: count }, (_, index) => `request-${index}`);

const CASES = [
  { name: 'routine successes are sampled', event: 'requestAnswered', count: 160, from: 4, to: 20 },
  {
    name: 'failures below the rate limit are all written',
    event: 'requestFailed',
    count: 150,
    from: 150,
    to: 150,
  },
  {
    name: 'failures above the rate limit are dropped',
    event: 'requestFailed',
    count: 900,
    from: 200,
    to: 200,
  },
] as const;

CASES.forEach(({ name, event, count, from, to }) => {
  test(`log volume: ${name}`, () => {
    const target = new MemoryEventLog();
    const log = new SampledEventLog({ target, now: () => 0 });
    createRequestIds(count).forEach((request) => log.write(event, { request }));
    const { length } = target.events;
    assert.ok(length >= from && length <= to, `${length} lines`);
  });
});

test('log volume: the number of lines dropped by the rate limit is logged in the next second', () => {
  let now = 0;
  const target = new MemoryEventLog();
  const log = new SampledEventLog({ target, now: () => now });
  createRequestIds(250).forEach((request) => log.write('requestFailed', { request }));
  now = 1_000;
  log.write('requestFailed', { request: 'next' });
  assert.deepEqual(
    target.events.filter(({ event }) => event === 'linesDropped').map(({ fields }) => fields.lines),
    [50],
  );
});

(['processExited', 'processFailed'] as const).forEach((event) => {
  test(`log volume: the rate limit drops the last line of a process (${event})`, () => {
    const target = new MemoryEventLog();
    const log = new SampledEventLog({ target, now: () => 0 });
    createRequestIds(900).forEach((request) => log.write('requestFailed', { request }));
    log.write(event, { reason: 'x' });
    assert.deepEqual(target.events.at(-1), { event, fields: { reason: 'x' } });
  });
});

test('log volume: a stalled target neither blocks writers nor lets the buffer exceed its bound', () => {
  const target = createStalledTarget();
  const buffer = new LineBuffer({ target });
  const line = `${'x'.repeat(999)}\n`;
  for (let count = 0; count < 10_000; count += 1) {
    buffer.write(line);
    if (count % 50 === 0) buffer.flush();
  }
  assert.ok(target.writableLength <= 256 * 1024);
  assert.ok(buffer.dropped > 9_000);
});
