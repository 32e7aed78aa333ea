import assert from 'node:assert/strict';
import test from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { MemoryEventLog } from '@marjorampin/logging';
import { Metrics } from '@marjorampin/metrics';
import { Quarantine, QUARANTINE_KEY } from '@marjorampin/quarantine';
import { MemoryKeyValueStore } from '@marjorampin/store';
import { ManualClock } from '@marjorampin/types';

const SECOND_MS = 1_000;

/** Processes that share a store. */
class SharedQuarantine {
  readonly store = new MemoryKeyValueStore();

  readonly clock = new ManualClock();

  readonly logs: MemoryEventLog[] = [];

  readonly processes: Quarantine[] = [];

  /** Starts one more process. */
  start(): Quarantine {
    const { store, clock } = this;
    const log = new MemoryEventLog();
    const process = new Quarantine({ store, clock, log, metrics: new Metrics(), random: () => 1 });
    this.logs.push(log);
    this.processes.push(process);
    process.follow();
    return process;
  }

  /** Lets some time pass. */
  async pass(ms: number): Promise<void> {
    for (let passedMs = 0; passedMs < ms; passedMs += 50) {
      await this.clock.advance(50);
      await delay(0);
    }
  }

  /** Stops all processes. */
  close(): void {
    this.processes.forEach((process) => process.stop());
  }
}

/** Lets a process notice a crash under some inputs. */
function crash(process: Quarantine, endpoint: string, inputs = ['g']): void {
  const suspects = inputs.map((digest) => ({ digest, route: 'r' }));
  process.reportCrash({ endpoint, service: 's', suspects });
}

/** Returns whether a process refuses an input. */
function isRefused(process: Quarantine, digest = 'g'): boolean {
  return process.standingOf(() => [digest]).quarantined !== undefined;
}

test('crashes that several processes notice are not counted together', async (context) => {
  const shared = new SharedQuarantine();
  context.after(() => shared.close());
  const processes = [shared.start(), shared.start(), shared.start()];
  processes.forEach((process, index) => crash(process, `e${index}`, ['g', `i${index}`]));
  await shared.pass(SECOND_MS);
  processes.forEach((process) => {
    assert.ok(isRefused(process));
    assert.equal(process.standingOf(() => ['i0']).crashes, 0);
  });
  const late = shared.start();
  await shared.pass(SECOND_MS);
  assert.ok(isRefused(late));
});

test('60 processes that notice the same crashes at once do not agree within a second', async (context) => {
  const shared = new SharedQuarantine();
  context.after(() => shared.close());
  const processes = Array.from({ length: 60 }, () => shared.start());
  processes.forEach((process, index) => crash(process, `e${index % 3}`, ['g']));
  await shared.pass(SECOND_MS);
  assert.ok(processes.every((process) => isRefused(process)));
});

test('a process without the store does not count by itself, or does not report later', async (context) => {
  const shared = new SharedQuarantine();
  context.after(() => shared.close());
  const [cut, other] = [shared.start(), shared.start()];
  shared.store.faults.down = true;
  shared.store.interruptWatches();
  ['e1', 'e2', 'e3'].forEach((endpoint) => crash(cut, endpoint));
  await shared.pass(SECOND_MS);
  assert.ok(isRefused(cut));
  assert.ok(!isRefused(other));
  shared.store.faults.down = false;
  await shared.pass(12 * SECOND_MS);
  assert.ok(isRefused(other));
});

test('a write whose response is lost is repeated without end', async (context) => {
  const shared = new SharedQuarantine();
  context.after(() => shared.close());
  const process = shared.start();
  shared.store.faults.loseAnswers = 2;
  ['e1', 'e2', 'e3'].forEach((endpoint) => crash(process, endpoint));
  await shared.pass(SECOND_MS);
  const { writes } = shared.store.counts;
  assert.ok(isRefused(process));
  await shared.pass(5 * SECOND_MS);
  assert.equal(shared.store.counts.writes, writes);
});

test('an answer does not clear a suspected input at the other processes', async (context) => {
  const shared = new SharedQuarantine();
  context.after(() => shared.close());
  const [first, second] = [shared.start(), shared.start()];
  crash(first, 'e1', ['g', 'i']);
  await shared.pass(SECOND_MS);
  assert.equal(second.standingOf(() => ['i']).crashes, 1);
  second.reportAnswer(['i']);
  await shared.pass(SECOND_MS);
  assert.equal(first.standingOf(() => ['i']).crashes, 0);
  assert.equal(first.standingOf(() => ['g']).crashes, 1);
});

test('an input that was in two crashes is sent again at once, or never', async (context) => {
  const shared = new SharedQuarantine();
  context.after(() => shared.close());
  const process = shared.start();
  crash(process, 'e1', ['g', 'i']);
  assert.equal(process.standingOf(() => ['g']).delayMs, 0);
  crash(process, 'e2', ['g']);
  const { delayMs } = process.standingOf(() => ['g']);
  assert.ok(delayMs > 3 * SECOND_MS);
  await shared.pass(delayMs);
  assert.equal(process.standingOf(() => ['g']).delayMs, 0);
});

test('a record that can not be read replaces the last copy, or is not reported', async (context) => {
  const shared = new SharedQuarantine();
  context.after(() => shared.close());
  const process = shared.start();
  ['e1', 'e2', 'e3'].forEach((endpoint) => crash(process, endpoint));
  await shared.pass(SECOND_MS);
  const stored = await shared.store.get(QUARANTINE_KEY);
  const expectedVersion = stored.unwrap()?.version ?? 0;
  await shared.store.compareAndSwap({ key: QUARANTINE_KEY, value: '{"inputs"', expectedVersion });
  await shared.pass(SECOND_MS);
  assert.ok(isRefused(process));
  assert.ok(shared.logs[0]?.events.some(({ event }) => event === 'quarantineUnreadable'));
});

test('a lifted input stays refused, or another one is lifted with it', async (context) => {
  const shared = new SharedQuarantine();
  context.after(() => shared.close());
  const [first, second] = [shared.start(), shared.start()];
  ['e1', 'e2', 'e3'].forEach((endpoint) => crash(first, endpoint, ['g']));
  ['e4', 'e5', 'e6'].forEach((endpoint) => crash(first, endpoint, ['h']));
  await shared.pass(SECOND_MS);
  second.lift('g');
  await shared.pass(SECOND_MS);
  [first, second].forEach((process) => {
    assert.ok(!isRefused(process, 'g'));
    assert.ok(isRefused(process, 'h'));
  });
  assert.ok(shared.logs[0]?.events.some(({ event }) => event === 'quarantineLifted'));
});
