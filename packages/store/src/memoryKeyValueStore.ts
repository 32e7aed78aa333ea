import { Err, Ok, type Result } from '@marjorampin/types';
import {
  type Changes,
  type CompareAndSwap,
  conflictError,
  KeyValueStore,
  type Snapshot,
  type StoredValue,
  StoreError,
} from './keyValueStore';

/** Faults that a `MemoryKeyValueStore` simulates. */
export interface StoreFaults {
  /** Every request fails. */
  down: boolean;
  /** Every write fails; reads succeed. */
  refusesWrites: boolean;
  /** Delay of every read and write in milliseconds. */
  slowMs: number;
  /** Number of further writes that take effect but whose response is lost. */
  loseAnswers: number;
}

/** Number of requests by type. */
export interface StoreCounts {
  reads: number;
  writes: number;
  watches: number;
}

const unavailable = () =>
  new StoreError({ kind: 'unavailable', message: 'the store is down; retry later' });

/** A key-value store in memory that can simulate faults. */
export class MemoryKeyValueStore extends KeyValueStore {
  readonly faults: StoreFaults = {
    down: false,
    refusesWrites: false,
    slowMs: 0,
    loseAnswers: 0,
  };

  readonly counts: StoreCounts = { reads: 0, writes: 0, watches: 0 };

  private readonly values = new Map<string, StoredValue & { revision: number }>();

  private readonly removals = new Map<string, number>();

  private revision = 0;

  private waiters: (() => void)[] = [];

  override async get(key: string): Promise<Result<StoredValue | undefined, StoreError>> {
    this.counts.reads += 1;
    await this.delayRequest();
    if (this.faults.down) return Err(unavailable());
    return Ok(this.values.get(key));
  }

  override async list(prefix: string): Promise<Result<Snapshot, StoreError>> {
    this.counts.reads += 1;
    await this.delayRequest();
    if (this.faults.down) return Err(unavailable());
    return Ok(this.snapshot(prefix));
  }

  override async compareAndSwap(write: CompareAndSwap): Promise<Result<number, StoreError>> {
    this.counts.writes += 1;
    await this.delayRequest();
    if (this.faults.down || this.faults.refusesWrites) return Err(unavailable());
    const { key, value, expectedVersion } = write;
    if ((this.values.get(key)?.version ?? 0) !== expectedVersion) return Err(conflictError());
    const version = expectedVersion + 1;
    this.revision += 1;
    this.removals.delete(key);
    this.values.set(key, { key, value, version, revision: this.revision });
    this.wake();
    if (this.consumeLostResponse()) return Err(this.lostResponseError());
    return Ok(version);
  }

  override async remove(key: string, expectedVersion: number): Promise<Result<void, StoreError>> {
    this.counts.writes += 1;
    await this.delayRequest();
    if (this.faults.down || this.faults.refusesWrites) return Err(unavailable());
    if ((this.values.get(key)?.version ?? 0) !== expectedVersion) return Err(conflictError());
    this.revision += 1;
    this.values.delete(key);
    this.removals.set(key, this.revision);
    this.wake();
    if (this.consumeLostResponse()) return Err(this.lostResponseError());
    return Ok(undefined);
  }

  override async watch(
    prefix: string,
    revision: number,
    waitMs: number,
  ): Promise<Result<Changes, StoreError>> {
    this.counts.watches += 1;
    if (this.faults.down) return Err(unavailable());
    const deadline = performance.now() + waitMs;
    let changes = this.changesAfter(prefix, revision);
    while (changes.values.length + changes.removed.length === 0) {
      const leftMs = deadline - performance.now();
      if (leftMs <= 0) break;
      await this.nextChange(leftMs);
      if (this.faults.down) return Err(unavailable());
      changes = this.changesAfter(prefix, revision);
    }
    return Ok(changes);
  }

  /** Makes every waiting watch check the store again, so that it fails when `down` has been set. */
  interruptWatches(): void {
    this.wake();
  }

  private changesAfter(prefix: string, revision: number): Changes {
    const values = [...this.values.values()]
      .filter((stored) => stored.key.startsWith(prefix) && stored.revision > revision)
      .map(({ key, value, version }) => ({ key, value, version }));
    const removed = [...this.removals]
      .filter(([key, removalRevision]) => key.startsWith(prefix) && removalRevision > revision)
      .map(([key]) => key);
    return { revision: this.revision, values, removed, complete: false };
  }

  private snapshot(prefix: string): Snapshot {
    const values = [...this.values.values()]
      .filter((stored) => stored.key.startsWith(prefix))
      .map(({ key, value, version }) => ({ key, value, version }));
    return { revision: this.revision, values };
  }

  private async nextChange(waitMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, waitMs);
      timer.unref();
      this.waiters.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  private wake(): void {
    const ready = this.waiters;
    this.waiters = [];
    ready.forEach((resolve) => resolve());
  }

  private consumeLostResponse(): boolean {
    if (this.faults.loseAnswers === 0) return false;
    this.faults.loseAnswers -= 1;
    return true;
  }

  private lostResponseError(): StoreError {
    const message = `the response to the write at revision ${this.revision} was lost; read the key back`;
    return new StoreError({ kind: 'ambiguous', message });
  }

  private async delayRequest(): Promise<void> {
    if (this.faults.slowMs === 0) return;
    await new Promise((resolve) => {
      setTimeout(resolve, this.faults.slowMs);
    });
  }
}
