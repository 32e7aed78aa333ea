/**
 * Kind of a ledger record.
 * `intent`: the call is about to be dispatched, at most once. `outcome`: it ran. `not-run`: it did
 * not run and never will under this attempt. `unknown`: whether it ran can't be determined, since
 * its endpoint was removed or restarted. `budget`: part of a program's budget that its owner may
 * spend so far.
 */
export type RecordKind = 'intent' | 'outcome' | 'not-run' | 'unknown' | 'budget';

/** State of a call or budget; the newest record of a key is the valid one. */
export interface LedgerRecord {
  key: string;
  kind: RecordKind;
  program: string;
  /** Epoch of the program's partition when the record was written. */
  epoch: number;
  /** Number of the dispatch attempt that the record belongs to, from 1; 0 for budgets. */
  attempt: number;
  endpoint: string;
  /** Incarnation of the endpoint. */
  incarnation: string;
  requestDigest: string;
  status: number;
  body: string;
  /** For budgets: the part of the program's budget that its owner may spend so far, in tokens. */
  granted: number;
  /** For budgets: `granted` of the record that this one follows, 0 for the first one. */
  previousGranted: number;
}

const EMPTY_RECORD: LedgerRecord = {
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

/** Creates a record; omitted fields are empty or 0. */
export function createLedgerRecord(
  fields: Partial<LedgerRecord> & Pick<LedgerRecord, 'key' | 'kind'>,
): LedgerRecord {
  return { ...EMPTY_RECORD, ...fields };
}

/** Returns true when `next` may follow `current`, the newest record of its key. */
export function isValidSuccessor(current: LedgerRecord | undefined, next: LedgerRecord): boolean {
  if (next.kind === 'budget') {
    const isEpochCurrent = next.epoch >= (current?.epoch ?? 0);
    return isEpochCurrent && next.previousGranted === (current?.granted ?? 0);
  }
  if (next.kind === 'intent') {
    if (!current) return next.attempt === 1;
    const isRetry = current.kind === 'not-run' && next.attempt === current.attempt + 1;
    return isRetry && next.requestDigest === current.requestDigest;
  }
  return current?.kind === 'intent' && current.attempt === next.attempt;
}
