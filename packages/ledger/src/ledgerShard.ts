import { type KeyValueStore, type StoreError, swapDurably } from '@marjorampin/store';
import { CallError, type Clock, Err, Ok, type Result } from '@marjorampin/types';
import { headKey, type LedgerHead, readHead, segmentKey } from './ledgerHead';
import { canFollow, type LedgerRecord } from './ledgerRecord';

/** Two commits of a shard are at least this far apart, which bounds the writes to the store. */
const COMMIT_INTERVAL_MS = 100;

/** A tail above this size moves into a segment. */
const MAXIMUM_TAIL_BYTES = 64 * 1024;

/** Records waiting beyond this number are refused. */
const MAXIMUM_QUEUED_APPENDS = 10_000;

/** What a writer of one shard needs. */
export interface LedgerShardOptions {
  store: KeyValueStore;
  shard: number;
  writer: string;
  clock: Clock;
  commitIntervalMs?: number;
  maximumTailBytes?: number;
}

/** The answer to an append: appended, or the records that stand against it. */
export interface AppendOutcome {
  appended: boolean;
  standing: LedgerRecord[];
}

interface QueuedAppend {
  records: LedgerRecord[];
  settle(result: Result<AppendOutcome, CallError>): void;
}

/** The single writer of one ledger shard, with group commit. */
export class LedgerShard {
  private readonly store: KeyValueStore;

  private readonly shard: number;

  private readonly writer: string;

  private readonly clock: Clock;

  private readonly commitIntervalMs: number;

  private readonly maximumTailBytes: number;

  private readonly index = new Map<string, LedgerRecord>();

  private head: LedgerHead | undefined;

  private version = 0;

  private queue: QueuedAppend[] = [];

  private isCommitting = false;

  private opening: Promise<Result<void, CallError>> | undefined;

  constructor({
    store,
    shard,
    writer,
    clock,
    commitIntervalMs = COMMIT_INTERVAL_MS,
    maximumTailBytes = MAXIMUM_TAIL_BYTES,
  }: LedgerShardOptions) {
    this.store = store;
    this.shard = shard;
    this.writer = writer;
    this.clock = clock;
    this.commitIntervalMs = commitIntervalMs;
    this.maximumTailBytes = maximumTailBytes;
  }

  /** Appends records as one unit once they are in the store. */
  append(records: LedgerRecord[]): Promise<Result<AppendOutcome, CallError>> {
    if (this.queue.length >= MAXIMUM_QUEUED_APPENDS) {
      const message = `ledger shard ${this.shard} has ${this.queue.length} appends waiting; retry later`;
      const error = { kind: 'overloaded', message, retryAfterMs: 1_000 } as const;
      return Promise.resolve(Err(new CallError(error)));
    }
    return new Promise((settle) => {
      this.queue.push({ records, settle });
      this.startCommits();
    });
  }

  /** Returns the newest record of a key. */
  async read(key: string): Promise<Result<LedgerRecord | undefined, CallError>> {
    const opened = await this.ensureOpen();
    if (opened.err) return opened;
    return Ok(this.index.get(key));
  }

  /** Number of keys in memory. */
  get size(): number {
    return this.index.size;
  }

  private startCommits(): void {
    if (this.isCommitting) return;
    this.isCommitting = true;
    this.commitAll();
  }

  private async commitAll(): Promise<void> {
    while (this.queue.length > 0) {
      const startedMs = this.clock.now();
      const batch = this.queue;
      this.queue = [];
      await this.commitBatch(batch);
      const spentMs = this.clock.now() - startedMs;
      if (this.queue.length > 0 || spentMs < this.commitIntervalMs) {
        await this.clock.sleep(Math.max(0, this.commitIntervalMs - spentMs));
      }
    }
    this.isCommitting = false;
  }

  private async commitBatch(batch: QueuedAppend[]): Promise<void> {
    const opened = await this.ensureOpen();
    if (opened.err) {
      batch.forEach(({ settle }) => settle(opened));
      return;
    }
    const overlay = new Map<string, LedgerRecord>();
    const accepted = batch.filter((append) => this.accept(append, overlay));
    const records = accepted.flatMap((append) => append.records);
    if (records.length === 0) return;
    const written = await this.write(records);
    if (written.err) {
      // Reopening bumps the head's version, so that a write still on its way can't land.
      this.head = undefined;
      const error = this.unavailable(written.val);
      accepted.forEach(({ settle }) => settle(Err(error)));
      return;
    }
    records.forEach((record) => this.index.set(record.key, record));
    accepted.forEach(({ settle }) => settle(Ok({ appended: true, standing: [] })));
  }

  /** Refuses an append that contradicts what is known; else adds it to the overlay. */
  private accept(append: QueuedAppend, overlay: Map<string, LedgerRecord>): boolean {
    const known = ({ key }: LedgerRecord) => overlay.get(key) ?? this.index.get(key);
    const isAllowed = append.records.every((record) => canFollow(known(record), record));
    if (!isAllowed) {
      const standing = append.records.flatMap((record) => known(record) ?? []);
      append.settle(Ok({ appended: false, standing }));
      return false;
    }
    append.records.forEach((record) => overlay.set(record.key, record));
    return true;
  }

  private async write(records: LedgerRecord[]): Promise<Result<void, StoreError>> {
    const head = this.head as LedgerHead;
    const tail = [...head.tail, ...records];
    const bytes = JSON.stringify(tail).length;
    if (bytes <= this.maximumTailBytes) return this.swapHead({ ...head, tail });
    const sealed = await this.writeSegment(tail, (head.segments.at(-1) ?? 0) + 1);
    if (sealed.err) return sealed;
    return this.swapHead({ ...head, tail: [], segments: [...head.segments, sealed.val] });
  }

  /** Writes a segment under the first free number; a number left by a lost write is skipped. */
  private async writeSegment(
    records: LedgerRecord[],
    first: number,
  ): Promise<Result<number, StoreError>> {
    const value = JSON.stringify(records);
    for (let number = first; ; number += 1) {
      const key = segmentKey(this.shard, number);
      const written = await this.store.compareAndSwap({ key, value, expectedVersion: 0 });
      if (written.ok) return Ok(number);
      if (written.val.kind !== 'conflict') return written;
    }
  }

  private async swapHead(head: LedgerHead): Promise<Result<void, StoreError>> {
    const { token, ...value } = head;
    const key = headKey(this.shard);
    const swap = await swapDurably<LedgerHead>(this.store, {
      key,
      value,
      expectedVersion: this.version,
    });
    if (swap.err) return swap;
    this.head = { ...value, token };
    this.version = swap.val;
    return Ok(undefined);
  }

  private ensureOpen(): Promise<Result<void, CallError>> {
    if (this.head) return Promise.resolve(Ok(undefined));
    this.opening ??= this.open().finally(() => {
      this.opening = undefined;
    });
    return this.opening;
  }

  /** Takes the head over: after this swap no write of an earlier writer can land. */
  private async open(): Promise<Result<void, CallError>> {
    const read = await readHead(this.store, this.shard);
    if (read.err) return Err(this.unavailable(read.val));
    const { head, version } = read.val;
    this.version = version;
    const swapped = await this.swapHead({ ...head, writer: this.writer, epoch: head.epoch + 1 });
    if (swapped.err) {
      this.head = undefined;
      return Err(this.unavailable(swapped.val));
    }
    const loaded = await this.loadIndex(head);
    if (loaded.err) this.head = undefined;
    return loaded;
  }

  private async loadIndex(head: LedgerHead): Promise<Result<void, CallError>> {
    const index = new Map<string, LedgerRecord>();
    for (const segment of head.segments) {
      const read = await this.store.get(segmentKey(this.shard, segment));
      if (read.err) return Err(this.unavailable(read.val));
      const records = JSON.parse(read.val?.value ?? '[]') as LedgerRecord[];
      records.forEach((record) => index.set(record.key, record));
    }
    head.tail.forEach((record) => index.set(record.key, record));
    this.index.clear();
    index.forEach((record, key) => this.index.set(key, record));
    return Ok(undefined);
  }

  private unavailable(cause: StoreError): CallError {
    if (cause.kind === 'conflict') {
      const message = `ledger shard ${this.shard} has a newer writer; ask that entry`;
      return new CallError({ kind: 'not-owner', message, retryAfterMs: 100 });
    }
    const message = `ledger shard ${this.shard} could not be written (${cause.message}); retry later`;
    return new CallError({ kind: 'platform-unavailable', message, retryAfterMs: 1_000 });
  }
}
