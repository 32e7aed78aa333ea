import { Ok, type Result } from '@marjorampin/types';
import type { KeyValueStore, StoreError, TokenedValue } from '@marjorampin/store';
import type { LedgerRecord } from './ledgerRecord';

/** The value that all writes of one shard go through. */
export interface LedgerHead extends TokenedValue {
  /** The process that may write. */
  writer: string;
  /** Grows with every change of the writer. */
  epoch: number;
  /** Records that are in no segment yet. */
  tail: LedgerRecord[];
  /** Numbers of the immutable segments, oldest first. */
  segments: number[];
}

/** A head with the version that the next write must expect. */
export interface VersionedHead {
  head: LedgerHead;
  version: number;
}

/** Key of a shard's head. */
export function headKey(shard: number): string {
  return `ledger/${shard}/head`;
}

/** Key of one immutable segment of a shard. */
export function segmentKey(shard: number, segment: number): string {
  return `ledger/${shard}/segment/${segment}`;
}

/** Reads a shard's head; a shard that was never written has an empty one of version 0. */
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
