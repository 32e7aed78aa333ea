import assert from 'node:assert/strict';
import test from 'node:test';
import { MemoryKeyValueStore } from '@marjorampin/store';
import { ManualClock } from '@marjorampin/types';
import { createLedgerRecord } from '../ledgerRecord';
import { LedgerShard } from '../ledgerShard';

const intent = (key: string) => createLedgerRecord({ key, kind: 'intent', attempt: 1 });

function openShard(store: MemoryKeyValueStore, writer: string, clock: ManualClock): LedgerShard {
  return new LedgerShard({ store, shard: 0, writer, clock, maximumTailBytes: 500 });
}

const nextTick = () =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

/** Advances the clock until a promise is settled. */
async function advanceUntilSettled<Value>(
  clock: ManualClock,
  promise: Promise<Value>,
): Promise<Value> {
  let isSettled = false;
  promise.finally(() => {
    isSettled = true;
  });
  while (!isSettled) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    await clock.advance(10);
  }
  return promise;
}

test('a superseded writer fails with not-owner, and its acknowledged records are kept', async () => {
  const store = new MemoryKeyValueStore();
  const clock = new ManualClock();
  const former = openShard(store, 'entry-0', clock);
  for (let index = 0; index < 9; index += 1) {
    const appended = await advanceUntilSettled(clock, former.append([intent(`key-${index}`)]));
    assert.ok(appended.unwrap().appended);
  }
  const newer = openShard(store, 'entry-1', clock);
  assert.equal((await newer.read('key-3')).unwrap()?.kind, 'intent');
  const late = await advanceUntilSettled(clock, former.append([intent('late')]));
  assert.equal(late.err && late.val.kind, 'not-owner');
  assert.equal((await newer.read('late')).unwrap(), undefined);
  assert.equal(newer.size, 9);
});

/** A store that can delay reads of segments until `release`. */
class HeldSegmentStore extends MemoryKeyValueStore {
  private held: Promise<void> | undefined;

  private resolveHeld: (() => void) | undefined;

  hold(): void {
    this.held = new Promise((resolve) => {
      this.resolveHeld = resolve;
    });
  }

  release(): void {
    this.resolveHeld?.();
  }

  override async get(key: string) {
    if (key.includes('/segment/')) await this.held;
    return super.get(key);
  }
}

// While one request opens a shard that was taken over, the head is set before the records are loaded,
// and other requests are answered from an empty index.
test('requests wait until a shard that was taken over has loaded its records', async () => {
  const store = new HeldSegmentStore();
  const clock = new ManualClock();
  const former = openShard(store, 'entry-0', clock);
  for (let index = 0; index < 9; index += 1) {
    await advanceUntilSettled(clock, former.append([intent(`key-${index}`)]));
  }
  store.hold();
  const newer = openShard(store, 'entry-1', clock);
  const opening = newer.read('key-0');
  await nextTick();
  const second = newer.read('key-0');
  await nextTick();
  store.release();
  assert.equal((await opening).unwrap()?.kind, 'intent');
  assert.equal((await second).unwrap()?.kind, 'intent');
});

test('a missing segment fails reads instead of being read as empty', async () => {
  const store = new MemoryKeyValueStore();
  const clock = new ManualClock();
  const former = openShard(store, 'entry-0', clock);
  for (let index = 0; index < 9; index += 1) {
    await advanceUntilSettled(clock, former.append([intent(`key-${index}`)]));
  }
  const listed = (await store.list('')).unwrap();
  const segment = listed.values.find(({ key }) => key.includes('/segment/'));
  assert.ok(segment);
  await store.remove(segment.key, segment.version);
  const read = await openShard(store, 'entry-1', clock).read('key-0');
  assert.equal(read.err && read.val.kind, 'platform-unavailable');
});

test('the commit interval bounds the writes to the store under load', async () => {
  const store = new MemoryKeyValueStore();
  const clock = new ManualClock();
  const shard = openShard(store, 'entry-0', clock);
  const appends: Promise<unknown>[] = [];
  for (let tick = 0; tick < 100; tick += 1) {
    for (let index = 0; index < 20; index += 1) {
      appends.push(shard.append([intent(`${tick}/${index}`)]));
    }
    await clock.advance(10);
  }
  await advanceUntilSettled(clock, Promise.all(appends));
  // One commit per `COMMIT_INTERVAL_MS`, each with up to two writes (segment and head), and one
  // write to open.
  const commits = clock.now() / 100 + 1;
  assert.ok(store.counts.writes <= 2 * commits + 1, `${store.counts.writes} writes`);
});
