import { Err, Ok, parseJson, type Result } from '@marjorampin/types';
import { randomUUID } from 'node:crypto';
import { type KeyValueStore, StoreError } from './keyValueStore';

const READ_BACK_ATTEMPTS = 3;

/** A value with a token that identifies its write. Reading it back shows whether a write whose
 * response was lost took effect. */
export interface TokenedValue {
  /** Unique for each write. */
  token: string;
}

/** A compare-and-swap of a value to which `compareAndSwapWithReadBack` adds the token. */
export interface TokenedSwap<Value extends TokenedValue> {
  key: string;
  value: Omit<Value, 'token'>;
  expectedVersion: number;
}

/**
 * Writes by compare-and-swap. If the outcome is ambiguous, reads the key back and compares the
 * token. Returns the new version. The error stays `ambiguous` when the store can't be read, or
 * still has the expected version.
 */
export async function compareAndSwapWithReadBack<Value extends TokenedValue>(
  store: KeyValueStore,
  { key, value, expectedVersion }: TokenedSwap<Value>,
): Promise<Result<number, StoreError>> {
  const token = randomUUID();
  const text = JSON.stringify({ ...value, token });
  const swap = await store.compareAndSwap({ key, value: text, expectedVersion });
  if (swap.ok || swap.val.kind !== 'ambiguous') return swap;
  for (let attempt = 0; attempt < READ_BACK_ATTEMPTS; attempt += 1) {
    const read = await store.get(key);
    if (read.ok) return resolveReadBack(read.val, token, expectedVersion, swap.val);
  }
  return swap;
}

function resolveReadBack(
  stored: { value: string; version: number } | undefined,
  token: string,
  expectedVersion: number,
  ambiguousError: StoreError,
): Result<number, StoreError> {
  const found = stored && (parseJson(stored.value) as Partial<TokenedValue> | null | undefined);
  if (stored && found?.token === token) {
    return Ok(stored.version);
  }
  // An unchanged version does not mean that the write failed: it may still arrive.
  if ((stored?.version ?? 0) === expectedVersion) return Err(ambiguousError);
  return Err(
    new StoreError({
      kind: 'conflict',
      message: 'another writer changed the key first; read it again and retry',
    }),
  );
}
