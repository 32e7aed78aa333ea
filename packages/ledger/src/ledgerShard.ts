import {
  compareAndSwapWithReadBack,
  type KeyValueStore,
  type StoreError,
} from '@marjorampin/store';
import { CallError, type Clock, Err, Ok, type Result } from '@marjorampin/types';
import { headKey, type LedgerHead, readHead, segmentKey } from './ledgerHead';
import { isValidSuccessor, type LedgerRecord } from './ledgerRecord';

/** Minimum interval between two commits of a shard, which bounds the writes to the store. */
const COMMIT_INTERVAL_MS = 100;

/** When the tail exceeds this size, its records move into a segment. */
const MAXIMUM_TAIL_BYTES = 64 * 1024;

/** Appends beyond this queue length are refused. */
const MAXIMUM_QUEUED_APPENDS = 10_000;

/** Options of `LedgerShard`. */
export interface LedgerShardOptions {
  store: KeyValueStore;
  shard: number;
  /** Id of the process that writes. */
  writer: string;
  clock: Clock;
  commitIntervalMs?: number;
  maximumTailBytes?: number;
}

/** Result of an append; if refused, `conflictingRecords` are the newest records of its keys. */
export interface AppendOutcome {
  appended: boolean;
  conflictingRecords: LedgerRecord[];
}

interface QueuedAppend {
  records: LedgerRecord[];
  resolve(result: Result<AppendOutcome, CallError>): void;
}

/** The single writer of one ledger shard, with group commit. */
export class LedgerShard {
  private readonly store: KeyValueStore;

  private readonly shard: number;

  private readonly writer: string;

  private readonly clock: Clock;

  private readonly commitIntervalMs: number;

  private readonly maximumTailBytes: number;

  /** Newest record of each key. */
  private readonly newestRecords = new Map<string, LedgerRecord>();

  private head: LedgerHead | undefined;

  /** Version of the head in the store. */
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

  /**
   * Appends records atomically; resolves once they are stored or refused. Fails with `overloaded`
   * when the queue is full, `not-owner` after a takeover, or `platform-unavailable`.
   */
  append(records: LedgerRecord[]): Promise<Result<AppendOutcome, CallError>> {
    if (this.queue.length >= MAXIMUM_QUEUED_APPENDS) {
      const message = `ledger shard ${this.shard} has ${this.queue.length} appends waiting; retry later`;
      const error = { kind: 'overloaded', message, retryAfterMs: 1_000 } as const;
      return Promise.resolve(Err(new CallError(error)));
    }
    return new Promise((resolve) => {
      this.queue.push({ records, resolve });
      this.startCommits();
    });
  }

  /** Returns the newest record of a key; fails like `append` when the shard can't be opened. */
  async read(key: string): Promise<Result<LedgerRecord | undefined, CallError>> {
    const opened = await this.ensureOpen();
    if (opened.err) return opened;
    return Ok(this.newestRecords.get(key));
  }

  /** Number of keys that have a record. */
  get size(): number {
    return this.newestRecords.size;
  }

  private startCommits(): void {
    if (this.isCommitting) return;
    this.isCommitting = true;
    this.commitQueued();
  }

  private async commitQueued(): Promise<void> {
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
      batch.forEach(({ resolve }) => resolve(opened));
      return;
    }
    const overlay = new Map<string, LedgerRecord>();
    const accepted = batch.filter((append) => this.accept(append, overlay));
    const records = accepted.flatMap((append) => append.records);
    if (records.length === 0) return;
    const written = await this.write(records);
    if (written.err) {
      // Reopening increments the head's version, so that a commit still in flight fails.
      this.head = undefined;
      const error = this.callErrorOf(written.val);
      accepted.forEach(({ resolve }) => resolve(Err(error)));
      return;
    }
    records.forEach((record) => this.newestRecords.set(record.key, record));
    accepted.forEach(({ resolve }) => resolve(Ok({ appended: true, conflictingRecords: [] })));
  }

  /** Adds an append to the overlay of its batch, or refuses it if a record is not a valid successor. */
  private accept(append: QueuedAppend, overlay: Map<string, LedgerRecord>): boolean {
    const newestOf = ({ key }: LedgerRecord) => overlay.get(key) ?? this.newestRecords.get(key);
    const isAllowed = append.records.every((record) => isValidSuccessor(newestOf(record), record));
    if (!isAllowed) {
      const conflictingRecords = append.records.flatMap((record) => newestOf(record) ?? []);
      append.resolve(Ok({ appended: false, conflictingRecords }));
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
    const written = await this.writeSegment(tail, (head.segments.at(-1) ?? 0) + 1);
    if (written.err) return written;
    return this.swapHead({ ...head, tail: [], segments: [...head.segments, written.val] });
  }

  /** Writes a segment under the first free number, skipping numbers left by lost writes. */
  private async writeSegment(
    records: LedgerRecord[],
    firstNumber: number,
  ): Promise<Result<number, StoreError>> {
    const value = JSON.stringify(records);
    for (let number = firstNumber; ; number += 1) {
      const key = segmentKey(this.shard, number);
      const written = await this.store.compareAndSwap({ key, value, expectedVersion: 0 });
      if (written.ok) return Ok(number);
      if (written.val.kind !== 'conflict') return written;
    }
  }

  private async swapHead(head: LedgerHead): Promise<Result<void, StoreError>> {
    const { token, ...value } = head;
    const key = headKey(this.shard);
    const swap = await compareAndSwapWithReadBack<LedgerHead>(this.store, {
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
    // The head is set before the records are loaded, so an opening in progress is awaited first.
    if (!this.opening && this.head) return Promise.resolve(Ok(undefined));
    this.opening ??= this.open().finally(() => {
      this.opening = undefined;
    });
    return this.opening;
  }

  /** Takes over the shard: once the head is swapped, every commit of an earlier writer fails. */
  private async open(): Promise<Result<void, CallError>> {
    const read = await readHead(this.store, this.shard);
    if (read.err) return Err(this.callErrorOf(read.val));
    const { head, version } = read.val;
    this.version = version;
    const swapped = await this.swapHead({ ...head, writer: this.writer, epoch: head.epoch + 1 });
    if (swapped.err) {
      this.head = undefined;
      return Err(this.callErrorOf(swapped.val));
    }
    const loaded = await this.loadRecords(head);
    if (loaded.err) this.head = undefined;
    return loaded;
  }

  private async loadRecords(head: LedgerHead): Promise<Result<void, CallError>> {
    const newest = new Map<string, LedgerRecord>();
    for (const segment of head.segments) {
      const read = await this.store.get(segmentKey(this.shard, segment));
      if (read.err) return Err(this.callErrorOf(read.val));
      if (!read.val) return Err(this.missingSegmentError(segment));
      const records = JSON.parse(read.val.value) as LedgerRecord[];
      records.forEach((record) => newest.set(record.key, record));
    }
    head.tail.forEach((record) => newest.set(record.key, record));
    this.newestRecords.clear();
    newest.forEach((record, key) => this.newestRecords.set(key, record));
    return Ok(undefined);
  }

  private missingSegmentError(segment: number): CallError {
    const message = `segment ${segment} of ledger shard ${this.shard} is missing from the store; restore the key ${segmentKey(this.shard, segment)}`;
    return new CallError({ kind: 'platform-unavailable', message, retryAfterMs: 1_000 });
  }

  private callErrorOf(cause: StoreError): CallError {
    if (cause.kind === 'conflict') {
      const message = `ledger shard ${this.shard} was taken over by a newer writer; send the request to that entry`;
      return new CallError({ kind: 'not-owner', message, retryAfterMs: 100 });
    }
    const message = `ledger shard ${this.shard} is unavailable (${cause.message}); retry later`;
    return new CallError({ kind: 'platform-unavailable', message, retryAfterMs: 1_000 });
  }
}
