/** Fakes whose asynchronous steps a fast-check scheduler interleaves. */
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
import { propertyParameters } from '@marjorampin/standins';
import fc from 'fast-check';
import { Ledger } from '../ledgerClient';

/** Seed and number of runs of the property tests in this folder. */
export const PROPERTY_PARAMETERS = propertyParameters(1_200);

/** Deliveries of messages and store requests; each fault is half as frequent as a success. */
export const deliveriesArbitrary = fc.array(
  fc.constantFrom<Delivery>('delivered', 'delivered', 'refused', 'reply-lost', 'delayed'),
  { maxLength: 40 },
);

/** What happens to one message or store request. */
export type Delivery = 'delivered' | 'refused' | 'reply-lost' | 'delayed';

/** Deliveries in the order of use; after the last one, everything is delivered. */
export class DeliverySequence {
  private readonly deliveries: Delivery[];

  constructor(deliveries: Delivery[]) {
    this.deliveries = [...deliveries];
  }

  next(): Delivery {
    return this.deliveries.shift() ?? 'delivered';
  }
}

/** A store in which `get` and `compareAndSwap` are interleaved and can be refused; a `compareAndSwap`
 * can also be delayed or lose its reply. */
export class ScheduledStore extends KeyValueStore {
  private readonly store = new MemoryKeyValueStore();

  private readonly scheduler: fc.Scheduler;

  private readonly deliveries: DeliverySequence;

  constructor(scheduler: fc.Scheduler, deliveries: DeliverySequence) {
    super();
    this.scheduler = scheduler;
    this.deliveries = deliveries;
  }

  override async get(key: string): Promise<Result<StoredValue | undefined, StoreError>> {
    await this.scheduler.schedule(Promise.resolve());
    if (this.deliveries.next() === 'refused') return Err(failure('unavailable'));
    return this.store.get(key);
  }

  override list(prefix: string): Promise<Result<Snapshot, StoreError>> {
    return this.store.list(prefix);
  }

  override async compareAndSwap(write: CompareAndSwap): Promise<Result<number, StoreError>> {
    await this.scheduler.schedule(Promise.resolve());
    const delivery = this.deliveries.next();
    if (delivery === 'refused') return Err(failure('unavailable'));
    if (delivery === 'delayed') {
      this.scheduler.schedule(Promise.resolve()).then(() => this.store.compareAndSwap(write));
      return Err(failure('ambiguous'));
    }
    const written = await this.store.compareAndSwap(write);
    return delivery === 'reply-lost' ? Err(failure('ambiguous')) : written;
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

/** A ledger that is a single shard in the same process. */
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

/** Opens a ledger with a single shard as the writer of an epoch. */
export function openLedger(store: KeyValueStore, clock: Clock, epoch: number): Ledger {
  const writer = `entry-${epoch}`;
  return new ShardLedger(
    new LedgerShard({ store, shard: 0, writer, clock, maximumTailBytes: 600 }),
  );
}
