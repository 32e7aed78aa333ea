import { create, type MessageInitShape } from '@bufbuild/protobuf';
import { AllowanceTable, leaseTimeMs } from '@marjorampin/allowances';
import type { Hash } from '@marjorampin/membership';
import { LoadTable } from '@marjorampin/placement';
import {
  type AcquireAllowance,
  type AcquirePermit,
  type CommitTurn,
  type CopyPrograms,
  type CopyTurns,
  type EndpointReport,
  type KeptEvent,
  KeptEventSchema,
  PeerHandler,
  type ProgramCopy,
  type ReadTurns,
  type ReplySchema,
  type ReportRateLimit,
  type Request,
  type ReserveTokens,
  type Roster,
  type SettleTokens,
  type ShareLoad,
  type TurnRecord,
} from '@marjorampin/protocol';
import type { Snapshot, StoreError } from '@marjorampin/store';
import { CallError, type Clock, type Result } from '@marjorampin/types';
import { AllowanceOwnership, TAKEOVER_MS } from './allowanceOwnership';
import type { StoredData } from './copyHolders';
import type { DurableLog } from './durableLog';
import { hasHolders, withKnownHolders } from './earlierRoster';
import { valueListReply } from './listedValues';
import { PermitTable } from './permitTable';
import type { ProgramTable } from './programTable';
import { fromRateLimitMessage, toRateLimitMessage } from './rateLimitMessage';
import { firstBatch } from './recordBatches';
import { isAssigned } from './restoration';
import { RENEWAL_AGE_MS } from './retention';

/** Retry delay sent to callers before the roster is read; a starting keeper reads it within this
 * time if the platform's store is available. */
const START_RETRY_MS = 500;
/** Size of a page of copied programs, well below the size limit of a message between peers. */
const PAGE_BYTES = 1024 * 1024;

type ReplyInit = MessageInitShape<typeof ReplySchema>;

/** Options of `KeeperHandler`. */
export interface KeeperHandlerOptions {
  table: ProgramTable;
  durableLog: Pick<DurableLog, 'append'>;
  clock: Clock;
  hash: Hash;
  /** Number of keepers whose disks may be lost at once. */
  lossLimit: number;
  /** Writes a roster to disk, so that it is adopted again after a restart; by default, none is written. */
  saveRoster?(roster: Roster): Promise<void>;
  /** Returns all values of the platform's store, read after the call, or earlier if it doesn't reply. */
  listValues(): Promise<Result<Snapshot, StoreError>>;
  /** Id of this keeper in rosters; by default, it owns no allowances. */
  id?: string;
  /** Time for which entries may spend tokens of allowances. */
  leaseMs?: number | undefined;
  /** Tokens that an account may save up besides its burst. */
  toleratedTokens?: number | undefined;
  /** Whether the whole system starts for the first time. */
  isFirstStart?: boolean;
  /** Milliseconds since the roster was last confirmed to be the newest; by default, it always is. */
  rosterAgeMs?(): number;
}

/** Handles requests for turns and budgets; replies to a write once it is synced to disk. */
export class KeeperHandler extends PeerHandler {
  /** Newest roster that this keeper received. */
  roster: Roster | undefined;

  /** Whether the disk of this keeper was never lost, or its data has been restored. */
  isIntact = false;

  /** Roster version up to which all assigned data is stored; -1 before the first restoration. */
  restoredVersion = -1;

  /** Id of the data on the disk of this keeper. */
  disk = '';

  /** Number of reservations that only other keepers stored until an entry sent them here. */
  addedReservations = 0;

  private readonly options: KeeperHandlerOptions;

  /** Programs that need a turn which is being copied from another keeper, by the turn. */
  private readonly awaitingPrograms = new Map<string, Set<string>>();

  /** Programs of the last commits of stored turns, with the clock times of their writes. */
  private readonly writes = new WeakMap<TurnRecord, { program: string; atMs: number }>();

  /** Programs for which the last write of a stored turn failed: it is in memory only. */
  private readonly unwritten = new WeakMap<TurnRecord, Set<string>>();

  private readonly listeners: (() => void)[] = [];

  /** Whether the roster was received with its holders. */
  private wasReceivedWhole = true;

  /** The roster before the newest one, if it was received with its holders. */
  private preceding: Roster | undefined;

  private readonly permits: PermitTable;

  private readonly loads: LoadTable;

  private readonly ownership: AllowanceOwnership;

  /** Owned parts of the allowances of client accounts. */
  readonly allowances: AllowanceTable;

  constructor(options: KeeperHandlerOptions) {
    super();
    this.options = options;
    this.permits = new PermitTable({ clock: options.clock });
    this.loads = new LoadTable({ clock: options.clock });
    const { clock, leaseMs = leaseTimeMs({}), toleratedTokens } = options;
    this.ownership = new AllowanceOwnership(options);
    const partOf = (account: string) => this.ownership.partOf(account);
    this.allowances = new AllowanceTable({ clock, leaseMs, toleratedTokens, partOf });
  }

  /** Adds a listener that is called after each newer roster. */
  onRoster(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Replaces the roster if the given one is newer, or states the holders of the same version. */
  adopt(received: Roster): void {
    const { roster: known } = this;
    const isNewer = !known || known.version < received.version;
    const statesHolders =
      !this.wasReceivedWhole && hasHolders(received) && known?.version === received.version;
    if ((!isNewer && !statesHolders) || received === known) return;
    const { lossLimit, clock } = this.options;
    this.preceding = this.wasReceivedWhole ? known : undefined;
    this.wasReceivedWhole = hasHolders(received);
    this.roster = withKnownHolders(received, { known, lossLimit, nowMs: clock.wallTime() });
    if (isNewer) this.ownership.adopt(this.roster);
    // Without the holders, it may have been restored from too few copies.
    if (!isNewer) this.restoredVersion = Math.min(this.restoredVersion, received.version - 1);
    this.listeners.forEach((listener) => listener());
  }

  /** Returns whether a roster was replaced by one of the same version, which states its holders. */
  hasReplaced(roster: Roster): boolean {
    return this.roster !== roster && this.roster?.version === roster.version;
  }

  /** Returns a roster with its holders, as far as they are known; `replies` tell what keepers store. */
  completed(received: Roster, replies: Map<string, StoredData>): Roster {
    const { roster, preceding: known } = this;
    if (hasHolders(received) || roster?.version !== received.version) return received;
    if (!known) return roster;
    const { lossLimit, clock } = this.options;
    return withKnownHolders(received, { known, replies, lossLimit, nowMs: clock.wallTime() });
  }

  /** Marks all data assigned to this keeper under a roster version as stored. */
  markRestored(version: number): void {
    this.isIntact = true;
    this.restoredVersion = Math.max(this.restoredVersion, version);
    this.awaitingPrograms.clear();
  }

  /** Whether replies are complete: all data assigned under the newest roster is stored. */
  get isComplete(): boolean {
    return this.roster !== undefined && this.isCompleteFor(this.roster.version);
  }

  /** Which data this keeper stores. */
  get status(): StoredData {
    const { disk, isIntact, restoredVersion } = this;
    return { disk, intact: isIntact, restoredVersion };
  }

  override async handle({ body }: Request): Promise<ReplyInit> {
    switch (body.case) {
      case 'reserveTokens':
        return this.newerRosterReply(body.value.rosterVersion) ?? (await this.reserve(body.value));
      case 'commitTurn':
        return this.newerRosterReply(body.value.rosterVersion) ?? (await this.commit(body.value));
      case 'settleTokens':
        return this.newerRosterReply(body.value.rosterVersion) ?? (await this.settle(body.value));
      case 'readTurns':
        return this.newerRosterReply(body.value.rosterVersion) ?? this.read(body.value);
      case 'copyPrograms':
        return this.copy(body.value);
      case 'copyTurns':
        return this.copyTurns(body.value);
      case 'listValues':
        return this.listValues();
      case 'acquirePermit':
        return this.newerRosterReply(body.value.rosterVersion) ?? this.acquirePermit(body.value);
      case 'acquireAllowance':
        return this.newerRosterReply(body.value.rosterVersion) ?? this.acquireAllowance(body.value);
      case 'reportRateLimit':
        return this.recordRateLimit(body.value);
      case 'shareLoad':
        return this.shareLoad(body.value);
      case 'probe':
        return { body: { case: 'keeperStatus', value: this.status } };
      default:
        throw new CallError({
          kind: 'invalid-request',
          message: `a keeper does not handle "${body.case ?? 'empty'}" requests; send them to an entry`,
        });
    }
  }

  override handleReport(_: EndpointReport): void {}

  /** Stores reservations copied from another keeper; returns ids of turns that are missing here. */
  async importProgram({
    program,
    reservations,
    turns,
    remainingMs,
  }: ProgramCopy): Promise<string[]> {
    const { table, clock } = this.options;
    const expiresAtMs = clock.now() + remainingMs;
    const changed = reservations.filter((reservation) => table.wouldChange(program, reservation));
    await Promise.all(
      changed.map((reservation) => {
        table.reserve(program, reservation, expiresAtMs);
        return this.write({ case: 'reservation', value: reservation }, program, remainingMs);
      }),
    );
    table.recordStart(program, -Infinity);
    const needed = turns.filter((turn) => !this.isStored(program, turn));
    const known = table.records(needed);
    await this.storeTurns(program, known, remainingMs);
    const absent = needed.filter((turn) => !this.isStored(program, turn));
    absent.forEach((turn) => {
      const programs = this.awaitingPrograms.get(turn) ?? new Set();
      this.awaitingPrograms.set(turn, programs.add(program));
    });
    return absent;
  }

  /** Stores turns copied from another keeper; resolves once they are synced to disk. */
  async importTurns(records: TurnRecord[]): Promise<void> {
    await Promise.all(
      records.map(async (record) => {
        const { turn, retentionMs } = record;
        const programs = [...(this.awaitingPrograms.get(turn) ?? [record.program])];
        this.awaitingPrograms.delete(turn);
        await Promise.all(
          programs.map((program) => this.storeTurns(program, [record], retentionMs)),
        );
      }),
    );
  }

  /** Whether a turn has been synced to disk for a program so recently that a repeated commit needs no
   * further write. */
  private isWritten(program: string, turn: string): boolean {
    const { table, clock } = this.options;
    const record = table.record(turn);
    const written = record && this.writes.get(record);
    return written?.program === program && clock.now() - written.atMs < RENEWAL_AGE_MS;
  }

  private recordWrite(program: string, turn: string): void {
    const { table, clock } = this.options;
    const record = table.record(turn);
    if (record) this.writes.set(record, { program, atMs: clock.now() });
  }

  private async storeTurns(
    program: string,
    records: TurnRecord[],
    retentionMs: number,
  ): Promise<void> {
    const { table, clock } = this.options;
    const expiresAtMs = clock.now() + retentionMs;
    records.forEach((record) => table.add(program, record, expiresAtMs));
    await Promise.all(records.map((record) => this.writeTurn(program, record, retentionMs)));
  }

  /** Writes a turn; one that can't be written is not stored, although it stays in memory. */
  private async writeTurn(program: string, value: TurnRecord, retentionMs: number): Promise<void> {
    const stored = this.options.table.record(value.turn) ?? value;
    try {
      await this.write({ case: 'record', value }, program, retentionMs);
    } catch (error) {
      const programs = this.unwritten.get(stored) ?? new Set();
      this.unwritten.set(stored, programs.add(program));
      throw error;
    }
    this.unwritten.get(stored)?.delete(program);
  }

  /** Returns whether a turn is stored for a program, and no write of it has failed since. */
  private isStored(program: string, turn: string): boolean {
    const { table } = this.options;
    if (!table.holds(program, turn)) return false;
    const record = table.record(turn);
    return !record || !this.unwritten.get(record)?.has(program);
  }

  /** Returns whether all data assigned under `version` and under this keeper's roster is stored. A
   * sender with a newer roster may need data that this keeper has not restored yet. */
  private isCompleteFor(version: number): boolean {
    const needed = Math.max(version, this.roster?.version ?? Infinity);
    return this.isIntact && this.restoredVersion >= needed;
  }

  /** Returns a reply with this keeper's roster if the sender's is older, as reads under the newer
   * roster could miss the sender's writes; otherwise undefined. */
  /** Returns whether a turn that this keeper has written counts as one of its copies. It does during a
   * restoration, too: only proofs of absence and budgets need all data. */
  private mayAcknowledge(version: number): boolean {
    return this.isIntact && this.roster?.version === version;
  }

  private newerRosterReply(version: number): ReplyInit | undefined {
    if (!this.roster) {
      throw new CallError({
        kind: 'platform-unavailable',
        message: 'this keeper has not read the roster yet; retry with another keeper',
        retryAfterMs: START_RETRY_MS,
      });
    }
    if (this.roster.version <= version) return undefined;
    return { body: { case: 'newerRoster', value: this.roster } };
  }

  private async reserve(request: ReserveTokens): Promise<ReplyInit> {
    const { table, clock } = this.options;
    const { program, reservation, known, retentionMs, previous, wantsChain, rosterVersion } =
      request;
    if (!reservation) throw missing('reservation');
    table.acknowledge(request.acknowledgedTurns);
    const expiresAtMs = clock.now() + retentionMs;
    const lacking = known.filter((each) => table.wouldChange(program, each));
    this.addedReservations += lacking.length;
    // Updates memory before the disk, so that the next reservation sees these.
    lacking.forEach((each) => table.reserve(program, each, expiresAtMs));
    const others = table.reserve(program, reservation, expiresAtMs);
    const programAgeMs = clock.now() - table.recordStart(program, clock.now());
    const written = [...lacking, reservation];
    await Promise.all(
      written.map((value) => this.write({ case: 'reservation', value }, program, retentionMs)),
    );
    const chain = wantsChain && previous !== '' ? table.chain(previous) : [];
    const complete = this.isCompleteFor(rosterVersion);
    const acknowledged = table.isAcknowledged(previous);
    const holdsPrevious = this.isStored(program, previous);
    const value = { others, chain, complete, programAgeMs, acknowledged, holdsPrevious };
    return { body: { case: 'reservations', value } };
  }

  private async listValues(): Promise<ReplyInit> {
    const listed = await this.options.listValues();
    if (listed.ok) return valueListReply(listed.val, this.options.clock);
    const { message } = listed.val;
    throw new CallError({ kind: 'platform-unavailable', message, retryAfterMs: START_RETRY_MS });
  }

  private async commit(request: CommitTurn): Promise<ReplyInit> {
    const { record, rosterVersion, ancestors } = request;
    if (!record) throw missing('record');
    const { table, clock } = this.options;
    table.acknowledge(request.acknowledgedTurns);
    const { program, turn, outputTokens, retentionMs } = record;
    table.settle(program, turn, outputTokens, clock.now() + retentionMs);
    const lacking = record.ancestors.filter((ancestor) => !this.isStored(program, ancestor));
    const sent = new Map(ancestors.map((ancestor) => [ancestor.turn, ancestor]));
    const added = lacking.flatMap((ancestor) => table.record(ancestor) ?? sent.get(ancestor) ?? []);
    const isWritten = this.isWritten(program, turn);
    await this.storeTurns(program, isWritten ? added : [...added, record], retentionMs);
    if (!isWritten) this.recordWrite(program, turn);
    const accepted = this.mayAcknowledge(rosterVersion);
    const missingTurns = lacking.filter((ancestor) => !this.isStored(program, ancestor));
    return { body: { case: 'acknowledgement', value: { accepted, missingTurns } } };
  }

  private async settle({ program, reservation, retentionMs }: SettleTokens): Promise<ReplyInit> {
    if (!reservation) throw missing('reservation');
    const { table, clock } = this.options;
    table.reserve(program, reservation, clock.now() + retentionMs);
    await this.write({ case: 'reservation', value: reservation }, program, retentionMs);
    return { body: { case: 'acknowledgement', value: { accepted: true } } };
  }

  private read({ turn, rosterVersion }: ReadTurns): ReplyInit {
    const complete = this.isCompleteFor(rosterVersion);
    const { table } = this.options;
    const acknowledged = table.isAcknowledged(turn);
    const value = { records: table.chain(turn), complete, acknowledged };
    return { body: { case: 'turnChain', value } };
  }

  private acquirePermit(request: AcquirePermit): ReplyInit {
    const { endpoint, owners, rank, maximumWaitMs } = request;
    const nowMs = this.options.clock.now();
    const permit = this.permits.acquire({
      endpoint,
      limit: fromRateLimitMessage(request.limit, nowMs),
      owners: Math.max(1, owners),
      rank,
      maximumWaitMs,
    });
    const { isGranted: granted, waitMs, nextWaitMs } = permit;
    const limit = toRateLimitMessage(permit.limit, nowMs);
    return { body: { case: 'permit', value: { granted, waitMs, nextWaitMs, limit } } };
  }

  /** Grants tokens unless the roster may be outdated: another keeper may have taken this one's part over. */
  private acquireAllowance(request: AcquireAllowance): ReplyInit {
    const { account, perSecond, burst, limitVersion, owners, tokens } = request;
    const { returned, returnedPeriod } = request;
    const ageMs = this.options.rosterAgeMs?.() ?? 0;
    if (ageMs > TAKEOVER_MS) {
      throw new CallError({
        kind: 'platform-unavailable',
        message: `this keeper has not confirmed its roster for ${Math.round(ageMs)} ms; check its connection to the store`,
        retryAfterMs: START_RETRY_MS,
      });
    }
    if (!(perSecond > 0 && burst >= 0)) throw invalidLimit(account);
    const limit = { perSecond, burst };
    const grant = this.allowances.acquire(
      { account, limit, limitVersion, owners, tokens, returned, returnedPeriod },
      this.roster?.version ?? 0,
    );
    const value = grant ?? { granted: 0, waitMs: TAKEOVER_MS };
    return { body: { case: 'allowance', value } };
  }

  private recordRateLimit({ endpoint, limit }: ReportRateLimit): ReplyInit {
    this.permits.observe(endpoint, fromRateLimitMessage(limit, this.options.clock.now()));
    return { body: { case: 'acknowledgement', value: { accepted: true } } };
  }

  private shareLoad({ load }: ShareLoad): ReplyInit {
    if (!load) throw missing('load');
    return { body: { case: 'entryLoads', value: { loads: this.loads.exchange(load) } } };
  }

  private copyTurns({ turns, maximumBytes }: CopyTurns): ReplyInit {
    const stored = this.options.table.records(turns);
    const records = maximumBytes > 0 ? firstBatch(stored, maximumBytes) : stored;
    const hasMore = records.length < stored.length;
    return { body: { case: 'turnChain', value: { records, complete: this.isIntact, hasMore } } };
  }

  private async copy({ roster, receiver, after }: CopyPrograms): Promise<ReplyInit> {
    if (!roster) throw missing('roster');
    this.adopt(roster);
    // After the copy, this keeper must accept no write under an older roster, not even after a restart.
    await this.options.saveRoster?.(this.completed(roster, new Map()));
    const newer = this.newerRosterReply(roster.version);
    if (newer) return newer;
    const { table, clock, lossLimit, hash } = this.options;
    const { programs, hasMore } = table.page(after, {
      isWanted: (program) => isAssigned(program, receiver, { roster, lossLimit, hash }),
      bytes: PAGE_BYTES,
      nowMs: clock.now(),
    });
    const value = { programs, hasMore, ...this.status };
    return { body: { case: 'programPage', value } };
  }

  private write(body: KeptEvent['body'], program: string, retentionMs: number): Promise<void> {
    const { durableLog, clock } = this.options;
    const writtenAtMs = clock.wallTime();
    return durableLog.append(create(KeptEventSchema, { body, program, writtenAtMs, retentionMs }));
  }
}

function invalidLimit(account: string): CallError {
  const message = `the limit of account ${account} is not positive; run the same version of marjorampin on all hosts`;
  return new CallError({ kind: 'invalid-request', message });
}

function missing(field: string): CallError {
  const message = `the request has no ${field}; run the same version of marjorampin on all hosts`;
  return new CallError({ kind: 'invalid-request', message });
}
