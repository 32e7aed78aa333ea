import type { KeyValueStore, Snapshot, StoreError } from '@marjorampin/store';
import type { Clock, Result } from '@marjorampin/types';

/** Time within which requests are answered by the same read. */
const GATHERING_MS = 40;

/** Prefix of all keys. */
export const ALL_KEYS = '';

/** Options of `SharedList`. */
export interface SharedListOptions {
  store: KeyValueStore;
  clock: Clock;
}

/** Reads all values of the store once for all requests that arrive within a short time. */
export class SharedList {
  private readonly options: SharedListOptions;

  private upcoming: Promise<Result<Snapshot, StoreError>> | undefined;

  constructor(options: SharedListOptions) {
    this.options = options;
  }

  /** Returns all values, read from the store after this call. */
  read(): Promise<Result<Snapshot, StoreError>> {
    this.upcoming ??= this.startRead();
    return this.upcoming;
  }

  private async startRead(): Promise<Result<Snapshot, StoreError>> {
    const { store, clock } = this.options;
    await clock.sleep(GATHERING_MS);
    // The next request must not get values that were read before it arrived.
    this.upcoming = undefined;
    return store.list(ALL_KEYS);
  }
}
