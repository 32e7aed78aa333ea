import type { Result } from '@marjorampin/types';

/** A stored value; `version` grows with every write of the key. */
export interface StoredValue {
  key: string;
  value: string;
  version: number;
}

/** Why a request to the store failed. */
export type StoreErrorKind = 'conflict' | 'unavailable' | 'ambiguous';

/** A failed request to the store. `ambiguous`: the write may have taken effect. */
export class StoreError extends Error {
  readonly kind: StoreErrorKind;

  constructor({ kind, message }: { kind: StoreErrorKind; message: string }) {
    super(message);
    this.name = 'StoreError';
    this.kind = kind;
  }
}

/** Makes the error of a write over another version than the present one. */
export function conflictError(): StoreError {
  const message = 'the key was changed by another writer; read it again and retry';
  return new StoreError({ kind: 'conflict', message });
}

/** A write that succeeds only over the expected version; 0 means that the key must be absent. */
export interface CompareAndSwap {
  key: string;
  value: string;
  expectedVersion: number;
}

/** Values below a prefix at one revision of the store. */
export interface Snapshot {
  revision: number;
  values: StoredValue[];
}

/** What changed below a prefix since an earlier revision. */
export interface Changes extends Snapshot {
  removed: string[];
  /** True when the values are all there are, because the earlier revision is too old. */
  complete: boolean;
}

/** The platform's key-value service. */
export abstract class KeyValueStore {
  /** Returns the value, or undefined when the key is absent. */
  abstract get(key: string): Promise<Result<StoredValue | undefined, StoreError>>;

  /** Returns all values below a prefix. */
  abstract list(prefix: string): Promise<Result<Snapshot, StoreError>>;

  /** Writes over the expected version and returns the new one. */
  abstract compareAndSwap(write: CompareAndSwap): Promise<Result<number, StoreError>>;

  /** Removes a key of the expected version. */
  abstract remove(key: string, expectedVersion: number): Promise<Result<void, StoreError>>;

  /** Waits until something below the prefix changes after `revision`, at most `waitMs`. */
  abstract watch(
    prefix: string,
    revision: number,
    waitMs: number,
  ): Promise<Result<Changes, StoreError>>;
}
