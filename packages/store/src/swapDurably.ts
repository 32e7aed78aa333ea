import { Err, Ok, type Result } from '@marjorampin/types';
import { randomUUID } from 'node:crypto';
import { type KeyValueStore, StoreError } from './keyValueStore';

const READ_BACK_ATTEMPTS = 3;

/** A value that names its writer, so that a lost answer can be resolved by reading back. */
export interface TokenedValue {
  /** Unique for each write. */
  token: string;
}

/** A write of a value that carries a token. */
export interface DurableSwap<Value extends TokenedValue> {
  key: string;
  value: Omit<Value, 'token'>;
  expectedVersion: number;
}

/**
 * Writes by compare-and-swap and resolves a lost answer by reading the token back.
 * Returns the new version. `ambiguous` remains only when the store can't be read either.
 */
export async function swapDurably<Value extends TokenedValue>(
  store: KeyValueStore,
  { key, value, expectedVersion }: DurableSwap<Value>,
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
  lost: StoreError,
): Result<number, StoreError> {
  if (stored && (JSON.parse(stored.value) as TokenedValue).token === token) {
    return Ok(stored.version);
  }
  // An unchanged version proves nothing: the write may still be on its way.
  if ((stored?.version ?? 0) === expectedVersion) return Err(lost);
  return Err(
    new StoreError({ kind: 'conflict', message: 'another writer came first; read again' }),
  );
}
