import type { KeyValueStore, Snapshot, StoreError } from '@marjorampin/store';
import type { Clock, Result } from '@marjorampin/types';

/** Prefix of all keys. */
export const ALL_KEYS = '';

/** Time within which requests that are not due at a common read share one. */
const COLLECTION_MS = 10;
/** Requests wait for a common read for up to this multiple of the gathering time. Above 1, a process
 * whose reads are apart from the common ones reaches one of them within a few intervals. */
const WINDOW_FACTOR = 1.25;

/** Times of periodic reads of the store's values, in milliseconds. */
export interface ValueReadTimes {
  /** Time between two reads of a process. */
  intervalMs: number;
  /** Usual time that a request waits for the common read of its failure domain. */
  gatheringMs: number;
  /** Time to wait for a keeper before a process reads the store itself; longer than the gathering. */
  timeoutMs: number;
}

/** Options of `SharedList`. */
export interface SharedListOptions {
  store: KeyValueStore;
  clock: Clock;
  readTimes: Pick<ValueReadTimes, 'intervalMs' | 'gatheringMs'>;
}

/**
 * Reads all values of the store once for all processes that read periodically. Common reads take place
 * at fixed times; a request that arrives shortly before one waits for it. Its process then arrives at
 * the same distance before the next one. Other requests are answered at once, and their processes
 * arrive earlier each time until they meet a common read.
 */
export class SharedList {
  private readonly options: SharedListOptions;

  private upcoming: Promise<Result<Snapshot, StoreError>> | undefined;

  private hasFailed = false;

  constructor(options: SharedListOptions) {
    this.options = options;
  }

  /** Whether the last read failed. */
  get isFailing(): boolean {
    return this.hasFailed;
  }

  /** Returns all values, read from the store after this call. */
  read(): Promise<Result<Snapshot, StoreError>> {
    this.upcoming ??= this.startRead();
    return this.upcoming;
  }

  private async startRead(): Promise<Result<Snapshot, StoreError>> {
    const { store, clock } = this.options;
    await clock.sleep(this.delayMs());
    // The next request must not get values that were read before it arrived.
    this.upcoming = undefined;
    const listed = await store.list(ALL_KEYS);
    this.hasFailed = listed.err;
    return listed;
  }

  private delayMs(): number {
    const { clock, readTimes } = this.options;
    const { intervalMs, gatheringMs } = readTimes;
    const periodMs = intervalMs + gatheringMs;
    const untilCommonReadMs = periodMs - (clock.now() % periodMs);
    const isDue = untilCommonReadMs <= gatheringMs * WINDOW_FACTOR;
    return isDue ? untilCommonReadMs : COLLECTION_MS;
  }
}
