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

/** A shard without a reachable writer is tried for this long. */
const WRITER_RETRY_TIMEOUT_MS = 3_000;
const WRITER_RETRY_DELAY_MS = 50;

/** An append that the writer does not answer for this long is given up. */
const APPEND_TIMEOUT_MS = 5_000;

/** What the client needs. */
export interface LedgerClientOptions {
  self: string;
  store: KeyValueStore;
  table: PartitionTable;
  peers: PeerPool;
  clock: Clock;
  /** Returns the peer address of an entry. */
  addressOf(entry: string): string | undefined;
}

interface OpenShard {
  epoch: number;
  shard: LedgerShard;
}

/** Returns the shard that records a key. */
export function shardOfKey(key: string): number {
  return (createHash('sha256').update(key).digest()[0] ?? 0) % LEDGER_SHARD_COUNT;
}

/** Where facts about calls and budgets are recorded. */
export abstract class Ledger {
  /** Appends one record, unless what stands about its key speaks against it. */
  abstract append(record: LedgerRecord): Promise<Result<AppendOutcome, CallError>>;

  /** Returns the newest record of a key. */
  abstract read(key: string): Promise<Result<LedgerRecord | undefined, CallError>>;
}

/**
 * Reaches the writer of each ledger shard: the owner of the partition with the shard's number.
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
        return { appended: !conflict, standing: records };
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

  /** Returns the local writer of a shard; throws `not-owner` when it is elsewhere. */
  localWriter(shard: number): LedgerShard {
    const { self, table, store, clock } = this.options;
    const { owner, epoch } = table.get(shard);
    if (owner !== self) {
      const message = `ledger shard ${shard} is written by ${owner || 'nobody'}; ask that entry`;
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
    return peers.get(address).call(body, { progressTimeoutMs: APPEND_TIMEOUT_MS });
  }

  /** Asks the writer, and follows it when it changes; gives up after a short while. */
  private async withWriter<Value>(
    shard: number,
    callLocal: (local: LedgerShard) => Promise<Result<Value, CallError>>,
    callRemote: (address: string) => Promise<Value>,
  ): Promise<Result<Value, CallError>> {
    const { self, table, clock, addressOf } = this.options;
    const retryUntilMs = clock.now() + WRITER_RETRY_TIMEOUT_MS;
    let lastError = writerUnavailable(shard);
    while (clock.now() < retryUntilMs) {
      const { owner } = table.get(shard);
      const address = addressOf(owner);
      try {
        if (owner === self) {
          const result = await callLocal(this.localWriter(shard));
          if (result.ok || result.val.kind !== 'not-owner') return result;
          lastError = result.val;
        }
        if (owner !== self && address) return Ok(await callRemote(address));
      } catch (error) {
        lastError = toCallError(error);
        if (!['not-owner', 'connection-lost', 'stale-epoch'].includes(lastError.kind)) return Err(lastError);
      }
      await clock.sleep(WRITER_RETRY_DELAY_MS);
    }
    return Err(writerUnavailable(shard, lastError.message));
  }
}

function recordsOf(reply: Reply): { conflict: boolean; records: LedgerRecord[] } {
  if (reply.body.case !== 'records') return { conflict: false, records: [] };
  const { conflict, records } = reply.body.value;
  return { conflict, records: records.map(recordOf) };
}

function writerUnavailable(shard: number, reason = 'no entry owns it'): CallError {
  const message = `the writer of ledger shard ${shard} can't be reached (${reason}); retry later`;
  return new CallError({ kind: 'platform-unavailable', message, retryAfterMs: 1_000 });
}
