/** Fakes whose steps fast-check interleaves. */
import { type AppendOutcome, type LedgerRecord, LedgerShard } from '@marjorampin/ledger';
import {
  type Changes,
  type CompareAndSwap,
  KeyValueStore,
  MemoryKeyValueStore,
  type Snapshot,
  type StoredValue,
  StoreError,
} from '@marjorampin/store';
import { type CallError, type Clock, Err, type Result } from '@marjorampin/types';
import { propertyRuns } from '@marjorampin/standins';
import fc from 'fast-check';
import { Ledger } from '../ledgerClient';

/** Seed and number of runs of the properties of entries. */
export const PROPERTY = propertyRuns(1_200);

/** Fates of messages and writes, most of them good. */
export const fatesArbitrary = fc.array(
  fc.constantFrom<Fate>('delivered', 'delivered', 'refused', 'answer-lost', 'delayed'),
  { maxLength: 40 },
);

/** What happens to one message or write. */
export type Fate = 'delivered' | 'refused' | 'answer-lost' | 'delayed';

/** Fates in the order of use; what comes after them is delivered. */
export class Fates {
  private readonly fates: Fate[];

  constructor(fates: Fate[]) {
    this.fates = [...fates];
  }

  next(): Fate {
    return this.fates.shift() ?? 'delivered';
  }
}

/** A store whose requests are interleaved, refused, or lose their answers. */
export class ScheduledStore extends KeyValueStore {
  private readonly store = new MemoryKeyValueStore();

  private readonly scheduler: fc.Scheduler;

  private readonly fates: Fates;

  constructor(scheduler: fc.Scheduler, fates: Fates) {
    super();
    this.scheduler = scheduler;
    this.fates = fates;
  }

  override async get(key: string): Promise<Result<StoredValue | undefined, StoreError>> {
    await this.scheduler.schedule(Promise.resolve());
    if (this.fates.next() === 'refused') return Err(failure('unavailable'));
    return this.store.get(key);
  }

  override list(prefix: string): Promise<Result<Snapshot, StoreError>> {
    return this.store.list(prefix);
  }

  override async compareAndSwap(write: CompareAndSwap): Promise<Result<number, StoreError>> {
    await this.scheduler.schedule(Promise.resolve());
    const fate = this.fates.next();
    if (fate === 'refused') return Err(failure('unavailable'));
    if (fate === 'delayed') {
      this.scheduler.schedule(Promise.resolve()).then(() => this.store.compareAndSwap(write));
      return Err(failure('ambiguous'));
    }
    const written = await this.store.compareAndSwap(write);
    return fate === 'answer-lost' ? Err(failure('ambiguous')) : written;
  }

  override remove(key: string, version: number): Promise<Result<void, StoreError>> {
    return this.store.remove(key, version);
  }

  override watch(prefix: string, revision: number): Promise<Result<Changes, StoreError>> {
    return this.store.watch(prefix, revision, 0);
  }
}

function failure(kind: 'unavailable' | 'ambiguous'): StoreError {
  return new StoreError({ kind, message: kind });
}

export class ShardLedger extends Ledger {
  private readonly shard: LedgerShard;

  constructor(shard: LedgerShard) {
    super();
    this.shard = shard;
  }

  override append(record: LedgerRecord): Promise<Result<AppendOutcome, CallError>> {
    return this.shard.append([record]);
  }

  override read(key: string): Promise<Result<LedgerRecord | undefined, CallError>> {
    return this.shard.read(key);
  }
}

/** Opens the ledger's only shard as a new writer. */
export function openLedger(store: KeyValueStore, clock: Clock, epoch: number): Ledger {
  const writer = `entry-${epoch}`;
  return new ShardLedger(
    new LedgerShard({ store, shard: 0, writer, clock, maximumTailBytes: 600 }),
  );
}
