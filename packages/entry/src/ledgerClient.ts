import { createHash } from 'node:crypto';
import { type AppendOutcome, type LedgerRecord, LedgerShard } from '@marjorampin/ledger';
import type { PartitionTable } from '@marjorampin/membership';
import type { KeyValueStore } from '@marjorampin/store';
import type { PeerPool, Reply, RequestBody } from '@marjorampin/protocol';
import {
  CallError,
  type Clock,
  Err,
  LEDGER_SHARD_COUNT,
  Ok,
  type Result,
  toCallError,
} from '@marjorampin/types';
import { recordOf } from './messages';

/** Time to keep retrying while the writer of a shard is unknown or unreachable. */
const WRITER_RETRY_TIMEOUT_MS = 3_000;
const WRITER_RETRY_DELAY_MS = 50;

/** Timeout of an append or a read at a remote writer. */
const REQUEST_TIMEOUT_MS = 5_000;

/** Options of `LedgerClient`. */
export interface LedgerClientOptions {
  /** Id of this entry. */
  self: string;
  store: KeyValueStore;
  table: PartitionTable;
  peers: PeerPool;
  clock: Clock;
  /** Returns the peer address of an entry; undefined when it is not a member. */
  addressOf(entry: string): string | undefined;
}

interface OpenShard {
  /** Epoch of the partition under which this process opened the shard. */
  epoch: number;
  shard: LedgerShard;
}

/** Returns the number of the shard that stores the records of a key. */
export function shardOfKey(key: string): number {
  return (createHash('sha256').update(key).digest()[0] ?? 0) % LEDGER_SHARD_COUNT;
}

/** Durable record of service calls and granted budgets. */
export abstract class Ledger {
  /** Appends one record unless it conflicts with the stored records of its key. */
  abstract append(record: LedgerRecord): Promise<Result<AppendOutcome, CallError>>;

  /** Returns the newest record of a key. */
  abstract read(key: string): Promise<Result<LedgerRecord | undefined, CallError>>;
}

/**
 * Sends ledger requests to the writer of each shard, which is the owner of the partition with the
 * shard's number.
 */
export class LedgerClient extends Ledger {
  private readonly options: LedgerClientOptions;

  private readonly openShards = new Map<number, OpenShard>();

  constructor(options: LedgerClientOptions) {
    super();
    this.options = options;
  }

  override async append(record: LedgerRecord): Promise<Result<AppendOutcome, CallError>> {
    const shard = shardOfKey(record.key);
    return this.withWriter(
      shard,
      (local) => local.append([record]),
      async (address) => {
        const value = { shard, records: [record] };
        const reply = await this.request(address, { case: 'appendRecords', value });
        const { conflict, records } = recordsOf(reply);
        return { appended: !conflict, conflictingRecords: records };
      },
    );
  }

  override async read(key: string): Promise<Result<LedgerRecord | undefined, CallError>> {
    const shard = shardOfKey(key);
    return this.withWriter(
      shard,
      (local) => local.read(key),
      async (address) => {
        const value = { shard, key };
        return recordsOf(await this.request(address, { case: 'readRecord', value })).records[0];
      },
    );
  }

  /** Returns a shard that this process writes; throws `not-owner` when another entry writes it. */
  localShard(shard: number): LedgerShard {
    const { self, table, store, clock } = this.options;
    const { owner, epoch } = table.assignmentOf(shard);
    if (owner !== self) {
      const message = `ledger shard ${shard} is written by ${owner || 'no entry'}; send the request to its writer`;
      throw new CallError({ kind: 'not-owner', message, retryAfterMs: WRITER_RETRY_DELAY_MS });
    }
    const known = this.openShards.get(shard);
    if (known?.epoch === epoch) return known.shard;
    const opened = new LedgerShard({ store, shard, writer: self, clock });
    this.openShards.set(shard, { epoch, shard: opened });
    return opened;
  }

  private request(address: string, body: RequestBody): Promise<Reply> {
    const { peers } = this.options;
    return peers.get(address).call(body, { progressTimeoutMs: REQUEST_TIMEOUT_MS });
  }

  /**
   * Calls the writer of a shard. Retries at the current writer while it changes or is unreachable,
   * for up to `WRITER_RETRY_TIMEOUT_MS`, then returns `platform-unavailable`.
   */
  private async withWriter<Value>(
    shard: number,
    callLocal: (local: LedgerShard) => Promise<Result<Value, CallError>>,
    callRemote: (address: string) => Promise<Value>,
  ): Promise<Result<Value, CallError>> {
    const { self, table, clock, addressOf } = this.options;
    const retryUntilMs = clock.now() + WRITER_RETRY_TIMEOUT_MS;
    let last = writerUnavailable(shard);
    while (clock.now() < retryUntilMs) {
      const { owner } = table.assignmentOf(shard);
      const address = addressOf(owner);
      try {
        if (owner === self) {
          const result = await callLocal(this.localShard(shard));
          if (result.ok || result.val.kind !== 'not-owner') return result;
          last = result.val;
        }
        if (owner !== self && address) return Ok(await callRemote(address));
      } catch (error) {
        last = toCallError(error);
        if (!['not-owner', 'connection-lost', 'stale-epoch'].includes(last.kind)) return Err(last);
      }
      await clock.sleep(WRITER_RETRY_DELAY_MS);
    }
    return Err(writerUnavailable(shard, last.message));
  }
}

function recordsOf(reply: Reply): { conflict: boolean; records: LedgerRecord[] } {
  if (reply.body.case !== 'records') {
    const message = `the writer of a ledger shard replied with an unexpected "${reply.body.case}" message; run the same version of marjorampin on all hosts`;
    throw new CallError({ kind: 'internal', message, execution: 'unknown' });
  }
  const { conflict, records } = reply.body.value;
  return { conflict, records: records.map(recordOf) };
}

function writerUnavailable(shard: number, reason = 'no entry owns the shard'): CallError {
  const message = `the writer of ledger shard ${shard} cannot be reached (${reason}); retry later`;
  return new CallError({ kind: 'platform-unavailable', message, retryAfterMs: 1_000 });
}
