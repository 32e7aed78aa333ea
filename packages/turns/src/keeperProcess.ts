import { create } from '@bufbuild/protobuf';
import type { EventLog } from '@marjorampin/logging';
import { loadHash } from '@marjorampin/membership';
import type { Metrics } from '@marjorampin/metrics';
import {
  type Keeper,
  PeerPool,
  PeerServer,
  type Roster,
  RosterSchema,
} from '@marjorampin/protocol';
import { type KeyValueStore, WatchedPrefix } from '@marjorampin/store';
import type { Clock, PeerAddress } from '@marjorampin/types';
import { DurableLog } from './durableLog';
import { KeeperHandler } from './keeperHandler';
import { type KeeperState, readKeeperState, writeKeeperState } from './keeperState';
import { ProgramBook } from './programBook';
import { replayEvent } from './replayEvent';
import { countDepartures, restoreFromPeers } from './restoration';
import { type RetirementOrders, RosterMember } from './rosterMember';
import { ROSTER_KEY } from './rosterRecord';

/** Pause before a restoration that missed sources is tried again. */
const RESTORATION_PAUSE_MS = 200;
/** A keeper that does not tell its version within this time is asked in the next round. */
const VERSION_TIMEOUT_MS = 1_000;
/** How often what has expired is dropped. */
const EXPIRY_INTERVAL_MS = 5_000;
/** A silent watch of the roster is noticed after this long. */
const ROSTER_WAIT_MS = 5_000;

/** What a keeper needs. */
export interface KeeperProcessOptions {
  id: string;
  domain: string;
  address: PeerAddress;
  folder: string;
  /** No keeper held anything before this start. */
  isFirstStart: boolean;
  /** Keepers whose disks may be lost at once. */
  lossLimit: number;
  store: KeyValueStore;
  retirement: RetirementOrders;
  clock: Clock;
  log: EventLog;
  metrics: Metrics;
}

/** Keeps turns and budgets of programs on disk and answers entries. */
export class KeeperProcess {
  private readonly options: KeeperProcessOptions;

  private readonly book = new ProgramBook();

  private readonly disk: DurableLog;

  private readonly rosterKeys: WatchedPrefix;

  private handler: KeeperHandler | undefined;

  private server: PeerServer | undefined;

  private peers: PeerPool | undefined;

  private member: RosterMember | undefined;

  private expiry: NodeJS.Timeout | undefined;

  private state: KeeperState = { disk: '', intact: false, restoredVersion: -1, isNew: true };

  /** The disk of this keeper is one of the losses that the others have to make good. */
  private hasLostDisk = false;

  private isRestoring = false;

  private isStopped = false;

  constructor(options: KeeperProcessOptions) {
    this.options = options;
    const { folder, log, store, clock } = options;
    this.disk = new DurableLog({ folder, log });
    this.rosterKeys = new WatchedPrefix({
      store,
      clock,
      prefix: ROSTER_KEY,
      waitMs: ROSTER_WAIT_MS,
    });
  }

  /** Reads the disk, listens, and joins the roster in the background; returns the port in use. */
  async start(): Promise<number> {
    const { id, domain, address, folder, isFirstStart, clock, log, store } = this.options;
    this.state = await readKeeperState(folder, { isFirstStart });
    // Whether a restoration that did not finish began with a lost disk is not known any more.
    this.hasLostDisk = !this.state.isNew && !this.state.intact;
    const events = await this.disk.replay();
    events.forEach((event) => replayEvent(this.book, event, clock));
    const handler = await this.createHandler();
    this.handler = handler;
    this.peers = new PeerPool({ handler, clock });
    this.server = new PeerServer({ address, handler, clock });
    const { host, port } = await this.server.listen();
    this.member = new RosterMember({
      self: { id, domain, address: `${host}:${port}`, disk: this.state.disk },
      store,
      rosterKeys: this.rosterKeys,
      retirement: this.options.retirement,
      peers: this.peers,
      clock,
      log,
      adopt: (roster) => handler.adopt(roster),
      areOthersRestored: (roster) => this.areOthersRestored(roster),
    });
    this.expiry = setInterval(() => this.expire(), EXPIRY_INTERVAL_MS);
    log.write('processStarted', {
      role: 'keeper',
      replayed: events.length,
      intact: this.state.intact,
    });
    this.rosterKeys.start().then(() => this.member?.run());
    return port;
  }

  /** Answers of this keeper count as complete. */
  get isComplete(): boolean {
    return this.handler?.isComplete ?? false;
  }

  /** Stops listening and closes the disk. */
  async stop(): Promise<void> {
    this.isStopped = true;
    clearInterval(this.expiry);
    this.member?.stop();
    this.rosterKeys.stop();
    this.peers?.close();
    await this.server?.close();
    await this.disk.close();
    this.options.log.write('processStopped', { role: 'keeper' });
  }

  private async createHandler(): Promise<KeeperHandler> {
    const { clock, lossLimit, metrics } = this.options;
    const hash = await loadHash();
    const { book, disk } = this;
    const handler = new KeeperHandler({ book, disk, clock, hash, lossLimit });
    const { intact, restoredVersion, roster } = this.state;
    handler.isIntact = intact;
    handler.restoredVersion = restoredVersion;
    if (roster) handler.adopt(create(RosterSchema, roster));
    handler.onRoster(() => this.restore());
    metrics.gauge('keeper_turns', 'turns held', () => book.size.turns);
    metrics.gauge('keeper_programs', 'programs held', () => book.size.programs);
    metrics.gauge('keeper_complete', '1 when answers prove absence', () =>
      handler.isComplete ? 1 : 0,
    );
    return handler;
  }

  /** Copies what is assigned to this keeper under the newest roster, until nothing can be missing. */
  private async restore(): Promise<void> {
    const { handler, peers } = this;
    if (!handler || !peers || this.isRestoring) return;
    this.isRestoring = true;
    const { id, lossLimit, clock, log } = this.options;
    while (!handler.isComplete && !this.isStopped) {
      const { roster } = handler;
      // Under the roster of the lost disk, others still accept what counted on that disk; restoring
      // goes on with the roster that lists the new one.
      if (!roster || this.listsLostDisk(roster)) break;
      const departures = countDepartures(this.restoredRoster, roster);
      const losses = departures + (this.hasLostDisk ? 1 : 0);
      const accept = handler.accept.bind(handler);
      const acceptTurns = handler.acceptTurns.bind(handler);
      const options = { roster, self: id, lossLimit, losses, peers, accept, acceptTurns };
      if (await restoreFromPeers(options)) {
        await this.noteRestored(roster);
        handler.completeUpTo(roster.version);
        log.write('keeperRestored', { rosterVersion: roster.version, turns: this.book.size.turns });
      } else {
        await clock.sleep(RESTORATION_PAUSE_MS);
      }
    }
    this.isRestoring = false;
  }

  /** A keeper that is in the roster with another disk has lost that one. */
  private listsLostDisk({ keepers }: Roster): boolean {
    const own = keepers.find(({ id }) => id === this.options.id);
    const isLost = own !== undefined && own.disk !== this.state.disk;
    if (isLost) this.hasLostDisk = true;
    return isLost;
  }

  private get restoredRoster(): Roster | undefined {
    return this.state.roster && create(RosterSchema, this.state.roster);
  }

  private async noteRestored(roster: Roster): Promise<void> {
    const restoredVersion = roster.version;
    this.state = { ...this.state, intact: true, restoredVersion, roster };
    await writeKeeperState(this.options.folder, this.state);
    this.hasLostDisk = false;
  }

  private async areOthersRestored(roster: Roster): Promise<boolean> {
    const others = roster.keepers.filter(({ id }) => id !== this.options.id);
    const versions = await Promise.all(
      others.map((other) => this.restoredVersionOf(other, roster)),
    );
    return versions.every((version) => version >= roster.version);
  }

  private async restoredVersionOf({ address }: Keeper, roster: Roster): Promise<number> {
    const value = { roster, receiver: this.options.id, after: '' };
    try {
      const reply = await this.peers
        ?.get(address)
        .call({ case: 'copyPrograms', value }, { progressTimeoutMs: VERSION_TIMEOUT_MS });
      return reply?.body.case === 'programPage' ? reply.body.value.restoredVersion : -1;
    } catch (error) {
      this.options.log.write('keeperUnreachable', { address, error: String(error) });
      return -1;
    }
  }

  private expire(): void {
    const { clock, log } = this.options;
    this.book.expire(clock.now());
    this.disk.dropExpired(clock.wallTime()).catch((error: Error) => {
      log.write('diskFailed', { error: error.message, step: 'drop' });
    });
  }
}
