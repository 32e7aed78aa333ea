/**
 * What a record says about its key.
 * `intent`: the call is about to be dispatched, once. `outcome`: it ran. `not-run`: it never
 * will under this attempt. `unknown`: its endpoint vanished. `budget`: tokens granted so far.
 */
export type RecordKind = 'intent' | 'outcome' | 'not-run' | 'unknown' | 'budget';

/** One fact about a key. */
export interface LedgerRecord {
  key: string;
  kind: RecordKind;
  program: string;
  /** Epoch of the partition under which the record was written. */
  epoch: number;
  /** Counts the intents of a key. */
  attempt: number;
  endpoint: string;
  incarnation: string;
  requestDigest: string;
  status: number;
  body: string;
  /** For budgets: all tokens granted so far, and the grant that this one follows. */
  granted: number;
  previousGranted: number;
}

const EMPTY: LedgerRecord = {
  key: '',
  kind: 'intent',
  program: '',
  epoch: 0,
  attempt: 0,
  endpoint: '',
  incarnation: '',
  requestDigest: '',
  status: 0,
  body: '',
  granted: 0,
  previousGranted: 0,
};

/** Makes a record; what is left out is empty. */
export function createLedgerRecord(
  fields: Partial<LedgerRecord> & Pick<LedgerRecord, 'key' | 'kind'>,
): LedgerRecord {
  return { ...EMPTY, ...fields };
}

/** Returns true when `next` may follow what is known about its key. */
export function canFollow(known: LedgerRecord | undefined, next: LedgerRecord): boolean {
  if (next.kind === 'budget') {
    const isNewest = next.epoch >= (known?.epoch ?? 0);
    return isNewest && next.previousGranted === (known?.granted ?? 0);
  }
  if (next.kind === 'intent') {
    if (!known) return next.attempt === 1;
    const isRepeated = known.kind === 'not-run' && next.attempt === known.attempt + 1;
    return isRepeated && next.requestDigest === known.requestDigest;
  }
  return known?.kind === 'intent' && known.attempt === next.attempt;
}
