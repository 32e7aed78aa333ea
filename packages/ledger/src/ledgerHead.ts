import { Ok, type Result } from '@marjorampin/types';
import type { KeyValueStore, StoreError, TokenedValue } from '@marjorampin/store';
import type { LedgerRecord } from './ledgerRecord';

/** Head of a ledger shard; every commit of the shard is a compare-and-swap of this value. */
export interface LedgerHead extends TokenedValue {
  /** Id of the process that may write to the shard. */
  writer: string;
  /** Increases by one each time a writer takes over the shard. */
  epoch: number;
  /** Records that are not in a segment yet, oldest first. */
  tail: LedgerRecord[];
  /** Numbers of the immutable segments, oldest first. */
  segments: number[];
}

/** A head and its version in the store, which the next compare-and-swap expects. */
export interface VersionedHead {
  head: LedgerHead;
  version: number;
}

/** Returns the store key of a shard's head. */
export function headKey(shard: number): string {
  return `ledger/${shard}/head`;
}

/** Returns the store key of one immutable segment of a shard. */
export function segmentKey(shard: number, segment: number): string {
  return `ledger/${shard}/segment/${segment}`;
}

/** Reads a shard's head; returns an empty one of version 0 if the shard was never written. */
export async function readHead(
  store: KeyValueStore,
  shard: number,
): Promise<Result<VersionedHead, StoreError>> {
  const read = await store.get(headKey(shard));
  if (read.err) return read;
  if (!read.val) {
    const head = { writer: '', epoch: 0, tail: [], segments: [], token: '' };
    return Ok({ head, version: 0 });
  }
  return Ok({ head: JSON.parse(read.val.value) as LedgerHead, version: read.val.version });
}
