import { create } from '@bufbuild/protobuf';
import { type EventFields, type EventLog, LimitLog } from '@marjorampin/logging';
import { loadHash } from '@marjorampin/membership';
import type { Metrics } from '@marjorampin/metrics';
import { PeerPool, PeerServer, type Roster, RosterSchema } from '@marjorampin/protocol';
import {
  type KeyValueStore,
  type Snapshot,
  type StoreError,
  WatchedPrefix,
} from '@marjorampin/store';
import {
  type Clock,
  formatPeerAddress,
  Ok,
  type PeerAddress,
  type Result,
} from '@marjorampin/types';
import { compactLog } from './compactLog';
import { DurableLog } from './durableLog';
import { KeeperHandler } from './keeperHandler';
import { type KeeperState, readKeeperState, writeKeeperState } from './keeperState';
import { ProgramTable } from './programTable';
import { replayEvents } from './replayEvents';
import { restoreFromPeers, type RestorationResult } from './restoration';
import { type RetirementOrders, RosterMaintainer } from './rosterMaintainer';
import { RelayedStore } from './relayedStore';
import { ALL_KEYS, SharedList, type ValueReadTimes } from './sharedList';

/** Delay before a restoration that lacked sources is retried. */
const RESTORATION_RETRY_DELAY_MS = 200;
/** Interval between removals of expired data from memory and log. */
const COMPACTION_INTERVAL_MS = 5_000;

/** Options of `KeeperProcess`. */
export interface KeeperProcessOptions {
  id: string;
  domain: string;
  address: PeerAddress;
  /** Folder of the log and of the state file. */
  folder: string;
  /** Whether the whole system starts for the first time, with empty disks. */
  isFirstStart: boolean;
  /** Number of keepers whose disks may be lost at once. */
  lossLimit: number;
  /** Time without a reply after which a keeper is removed from the roster. */
  removalAfterMs?: number;
  /** Time for which entries may spend tokens of the allowances of client accounts. */
  leaseMs?: number | undefined;
  /** Tokens that an account may save up besides its burst. */
  toleratedTokens?: number | undefined;
  store: KeyValueStore;
  readTimes: ValueReadTimes;
  retirement: RetirementOrders;
  /** Most connections of peers, and limit of the bytes of their incomplete messages. */
  peerLimits?: { connections: number; heldBytes: number };
  clock: Clock;
  log: EventLog;
  metrics: Metrics;
}

/** Stores turns and budgets of programs on disk and serves them to entries. */
export class KeeperProcess {
  private readonly options: KeeperProcessOptions;

  private readonly table = new ProgramTable();

  private readonly durableLog: DurableLog;

  private readonly sharedList: SharedList;

  private values: WatchedPrefix | undefined;

  private handler: KeeperHandler | undefined;

  private server: PeerServer | undefined;

  private peers: PeerPool | undefined;

  private rosterMaintainer: RosterMaintainer | undefined;

  private compactionTimer: NodeJS.Timeout | undefined;

  /** The compaction under way, if any. */
  private compacting: Promise<void> | undefined;

  private state: KeeperState = { disk: '', intact: false, restoredVersion: -1, isNew: true };

  /** The last write of the state. */
  private saving: Promise<void> = Promise.resolve();

  private isRestoring = false;

  /** Counts of the last restoration that was logged as incomplete. */
  private loggedCounts = '';

  private isStopped = false;

  /** Whether the state may not be written any more: no reply that depends on it can be sent. */
  private isClosed = false;

  constructor(options: KeeperProcessOptions) {
    this.options = options;
    const { folder, log, store, clock, readTimes } = options;
    this.durableLog = new DurableLog({ folder, log });
    this.sharedList = new SharedList({ store, clock, readTimes });
  }

  /** Replays the log, listens, and joins the roster in the background; returns the port in use. */
  async start(): Promise<number> {
    const { id, domain, address, folder, isFirstStart, clock, log, store, lossLimit } =
      this.options;
    const { peerLimits, metrics } = this.options;
    const limitLog = new LimitLog({ log, clock });
    this.state = await readKeeperState(folder, { isFirstStart });
    const handler = await this.createHandler();
    this.handler = handler;
    const peers = new PeerPool({ handler, clock, supervision: 'during calls' });
    this.peers = peers;
    const values = this.watchValues(handler, peers);
    this.values = values;
    // The store is read while the log is replayed; rosters are adopted from it only afterwards.
    const isRead = values.start();
    const events = await this.durableLog.replay();
    replayEvents(this.table, events, clock);
    this.server = new PeerServer({
      address,
      handler,
      clock,
      maximumConnections: peerLimits?.connections,
      heldLimitBytes: peerLimits?.heldBytes,
      onLimit: (action) => {
        metrics.count('limited_connections_total', { server: 'peers', action });
        limitLog.record('peers', action);
      },
    });
    const bound = await this.server.listen();
    this.rosterMaintainer = new RosterMaintainer({
      self: { id, domain, address: formatPeerAddress(bound), disk: this.state.disk },
      store,
      values,
      retirement: this.options.retirement,
      peers,
      hash: await loadHash(),
      clock,
      log,
      adopt: (roster) => handler.adopt(roster),
      completed: (roster, replies) => handler.completed(roster, replies),
      lossLimit,
      removalAfterMs: this.options.removalAfterMs,
      status: () => handler.status,
    });
    this.compactionTimer = setInterval(() => this.compact(), COMPACTION_INTERVAL_MS);
    log.write('processStarted', {
      role: 'keeper',
      replayed: events.length,
      intact: this.state.intact,
    });
    isRead.then(() => this.rosterMaintainer?.run());
    return bound.port;
  }

  /** Whether replies are complete: all data assigned under the newest roster is stored. */
  get isComplete(): boolean {
    return this.handler?.isComplete ?? false;
  }

  /** Stops listening and closes the log; resolves once nothing is written to the folder any more. */
  async stop(): Promise<void> {
    this.isStopped = true;
    clearInterval(this.compactionTimer);
    this.rosterMaintainer?.stop();
    this.values?.stop();
    this.peers?.close();
    await this.server?.close();
    this.isClosed = true;
    await this.saving.catch(() => undefined);
    await this.compacting;
    await this.durableLog.close();
    this.options.log.write('processStopped', { role: 'keeper' });
  }

  private async createHandler(): Promise<KeeperHandler> {
    const { id, clock, lossLimit, metrics, isFirstStart, leaseMs, toleratedTokens } = this.options;
    const { table, durableLog } = this;
    const handler = new KeeperHandler({
      id,
      table,
      durableLog,
      clock,
      hash: await loadHash(),
      lossLimit,
      isFirstStart,
      leaseMs,
      toleratedTokens,
      listValues: () => this.listValues(),
      saveRoster: (saved) => this.saveAdopted(saved),
      rosterAgeMs: () => this.values?.longestAgeMs ?? Infinity,
    });
    const { disk, intact, restoredVersion, roster } = this.state;
    handler.disk = disk;
    handler.isIntact = intact;
    handler.restoredVersion = restoredVersion;
    if (roster) handler.adopt(create(RosterSchema, roster));
    handler.onRoster(() => this.restore());
    metrics.gauge('keeper_turns', 'turns held', () => table.size.turns);
    metrics.gauge('keeper_programs', 'programs held', () => table.size.programs);
    metrics.gauge(
      'keeper_added_reservations',
      'reservations that only other keepers stored before',
      () => handler.addedReservations,
    );
    metrics.gauge('keeper_complete', '1 when answers prove absence', () =>
      handler.isComplete ? 1 : 0,
    );
    metrics.gauge(
      'keeper_allowance_accounts',
      'client accounts of whose allowances tokens were requested here',
      () => handler.allowances.size,
    );
    metrics.gauge(
      'keeper_allowance_granted',
      'tokens of allowances granted since the start',
      () => handler.allowances.granted,
    );
    return handler;
  }

  /** Lists all values for another process; returns what was last read if the store doesn't reply. */
  private async listValues(): Promise<Result<Snapshot, StoreError>> {
    const { sharedList, values } = this;
    const { isFailing } = sharedList;
    // Also while reads fail: this one finds out whether the store is back.
    const reading = sharedList.read();
    const known = values?.snapshot;
    // The other process would not wait for a silent store.
    if (isFailing && known) return Ok(known);
    const listed = await reading;
    return listed.err && known ? Ok(known) : listed;
  }

  private watchValues(handler: KeeperHandler, peers: PeerPool): WatchedPrefix {
    const { id, domain, clock, log, store, readTimes } = this.options;
    const { timeoutMs, intervalMs: pollIntervalMs } = readTimes;
    const relayed = new RelayedStore({
      store,
      peers,
      domain,
      clock,
      log,
      timeoutMs,
      roster: () => handler.roster,
      own: { id, list: this.sharedList },
    });
    return new WatchedPrefix({ store: relayed, clock, prefix: ALL_KEYS, pollIntervalMs });
  }

  /** Copies the data assigned to this keeper under the newest roster until none can be missing. */
  private async restore(): Promise<void> {
    const { handler, peers } = this;
    if (!handler || !peers || this.isRestoring) return;
    this.isRestoring = true;
    const { id, lossLimit, clock } = this.options;
    while (!handler.isComplete && !this.isStopped) {
      const { roster } = handler;
      // Under a roster that lists the lost disk, other keepers still accept writes whose majority
      // counts that disk. Restoration continues under the roster that lists the new disk.
      if (!roster || !this.isListed(roster)) break;
      let result: RestorationResult | undefined;
      const isRestored = await restoreFromPeers({
        roster,
        self: { id, ...handler.status },
        lossLimit,
        nowMs: clock.wallTime(),
        peers,
        importProgram: handler.importProgram.bind(handler),
        importTurns: handler.importTurns.bind(handler),
        onResult: (counted) => {
          result = counted;
        },
      });
      if (this.isStopped) break;
      const counts = { rosterVersion: roster.version, ...result };
      if (isRestored) {
        await this.finishRestoration(handler, roster, counts);
      } else {
        this.logIncomplete(counts);
        await clock.sleep(RESTORATION_RETRY_DELAY_MS);
      }
    }
    this.isRestoring = false;
  }

  /** Records that all data is stored, unless the roster's holders were stated meanwhile: these may need more copies. */
  private async finishRestoration(
    handler: KeeperHandler,
    roster: Roster,
    counts: EventFields,
  ): Promise<void> {
    const { clock, log } = this.options;
    if (handler.hasReplaced(roster)) return;
    try {
      await this.saveRestored(roster);
    } catch (error) {
      // A disk may be full for a while; the restoration is repeated.
      log.write('diskFailed', { error: String(error), step: 'save the restoration' });
      await clock.sleep(RESTORATION_RETRY_DELAY_MS);
      return;
    }
    if (handler.hasReplaced(roster)) return;
    handler.markRestored(roster.version);
    log.write('keeperRestored', { turns: this.table.size.turns, ...counts });
  }

  /** Logs what an incomplete restoration counted, once until it changes. */
  private logIncomplete(counts: EventFields): void {
    const text = JSON.stringify(counts);
    if (text === this.loggedCounts) return;
    this.loggedCounts = text;
    this.options.log.write('restorationIncomplete', counts);
  }

  /** Returns whether a roster lists this keeper with its disk. */
  private isListed({ keepers }: Roster): boolean {
    const { disk } = this.state;
    return keepers.some((keeper) => keeper.id === this.options.id && keeper.disk === disk);
  }

  private saveRestored(restored: Roster): Promise<void> {
    const { version: restoredVersion } = restored;
    const { roster = restored } = this.state;
    const newest = roster.version > restoredVersion ? roster : restored;
    return this.saveState({ intact: true, restoredVersion, roster: newest });
  }

  /** Writes an adopted roster to disk if it is newer than the one there. */
  private async saveAdopted(roster: Roster): Promise<void> {
    const isNewer = roster.version > (this.state.roster?.version ?? -Infinity);
    const saved = isNewer ? this.saveState({ roster }) : this.saving;
    await saved.catch((error: Error) => {
      // The keeper remains a source: if no disk took the roster, nobody could restore.
      this.options.log.write('diskFailed', { error: error.message, step: 'save the roster' });
    });
  }

  /** Changes the state of the disk; the changes are written one after the other. */
  private saveState(changes: Partial<KeeperState>): Promise<void> {
    if (this.isClosed) return Promise.reject(new Error('the keeper has stopped; start it again'));
    const state = { ...this.state, ...changes };
    this.state = state;
    this.saving = this.saving
      .catch(() => undefined)
      .then(() => writeKeeperState(this.options.folder, state));
    return this.saving;
  }

  private compact(): void {
    if (this.compacting) return;
    const { clock, log } = this.options;
    const { table, durableLog } = this;
    this.compacting = compactLog({ table, durableLog, clock })
      .catch((error: Error) => log.write('diskFailed', { error: error.message, step: 'compact' }))
      .finally(() => {
        this.compacting = undefined;
      });
  }
}
