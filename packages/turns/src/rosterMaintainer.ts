import { create } from '@bufbuild/protobuf';
import type { EventLog } from '@marjorampin/logging';
import { type Hash, MonitorRing } from '@marjorampin/membership';
import {
  type Keeper,
  KeeperSchema,
  type PeerPool,
  type Reply,
  type Roster,
} from '@marjorampin/protocol';
import type { KeyValueStore, WatchedPrefix } from '@marjorampin/store';
import type { Clock } from '@marjorampin/types';
import {
  type Copies,
  countUnavailable,
  nextCopies,
  relevantHolders,
  type StoredData,
  unreadLimit,
} from './copyHolders';
import { parseRoster, ROSTER_KEY, writeRoster } from './rosterRecord';

/** Interval between two rounds of probes and roster checks. */
const ROUND_INTERVAL_MS = 1_000;
const PROBE_TIMEOUT_MS = 800;
/** Delay before a write that met another change is repeated; random, because all keepers of a new
 * deployment join at the same time. */
const MAXIMUM_CONFLICT_DELAY_MS = 300;
/** Default time without a probe reply after which a keeper is removed; longer than a restart takes. */
const REMOVAL_AFTER_MS = 4_000;
/** Time for which a keeper with an empty disk waits for silent keepers before the roster lists that disk:
 * until then, programs that neither of them stores are served. */
const REGISTRATION_WAIT_MS = 15_000;

/** Operators' orders to retire a host: its data is copied to other hosts before it is removed. */
export abstract class RetirementOrders {
  /** Returns whether an operator ordered this host to be retired, according to the store's values. */
  abstract isOrdered(values: WatchedPrefix): boolean;

  /** Reports the progress; `completed` only once no data is stored on this host alone. Returns
   * whether the report was written. */
  abstract report(state: 'running' | 'completed'): Promise<boolean>;
}

/** Options of `RosterMaintainer`. */
export interface RosterMaintainerOptions {
  /** Roster record of this keeper. */
  self: Pick<Keeper, 'id' | 'address' | 'domain' | 'disk'>;
  store: KeyValueStore;
  /** Watches all values of the store. */
  values: WatchedPrefix;
  retirement: RetirementOrders;
  peers: PeerPool;
  hash: Hash;
  clock: Clock;
  log: EventLog;
  /** Number of keepers whose disks may be lost at once. */
  lossLimit: number;
  /** Time without a probe reply after which a keeper is removed. */
  removalAfterMs?: number;
  /** Returns which data this keeper stores. */
  status(): StoredData;
  /** Receives each roster that is read or written. */
  adopt(roster: Roster): void;
  /** Returns a roster that was read with its holders, as far as they are known. */
  completed(roster: Roster, replies: Map<string, StoredData>): Roster;
}

/** Replies of the other keepers to one probe each. */
interface ProbeReplies {
  /** Ids of the keepers that replied. */
  responding: Set<string>;
  /** What the keepers that replied, and this one, store, by id. */
  stored: Map<string, StoredData>;
}

/** Keeps this keeper in the roster, removes unresponsive ones that it monitors, and leaves on a retirement order. */
export class RosterMaintainer {
  private readonly options: RosterMaintainerOptions;

  /** Clock time of the last reply of each monitored keeper, at first of the first probe. */
  private readonly lastReplyAtMs = new Map<string, number>();

  private ring: { keepers: Keeper[]; monitors: MonitorRing<Keeper> } | undefined;

  private parsed: { version: number; roster: Roster | undefined } | undefined;

  /** The newest roster that could be read. */
  private readable: Roster | undefined;

  private readonly stopped = new AbortController();

  private hasRetired = false;

  /** Clock time since which the new disk of this keeper waits to be listed. */
  private deferredSinceMs: number | undefined;

  /** Changes that were logged as deferred since the last write. */
  private readonly loggedDeferrals = new Set<string>();

  constructor(options: RosterMaintainerOptions) {
    this.options = options;
  }

  /** Probes the other keepers and updates the roster periodically until `stop`. */
  async run(): Promise<void> {
    const { clock, values, log } = this.options;
    values.onChange(() => this.adoptStored());
    this.adoptStored();
    while (!this.stopped.signal.aborted) {
      const isDone = await this.runRound().catch((error: unknown) => {
        log.write('rosterRoundFailed', { error: String(error) });
        return true;
      });
      const delayMs = isDone ? ROUND_INTERVAL_MS : Math.random() * MAXIMUM_CONFLICT_DELAY_MS;
      await clock.sleep(delayMs, this.stopped.signal).catch(() => undefined);
    }
  }

  /** Ends the periodic probes and updates. */
  stop(): void {
    this.stopped.abort();
  }

  private storedRoster(): Roster | undefined {
    const stored = this.options.values.get(ROSTER_KEY);
    if (!stored) return undefined;
    if (this.parsed?.version !== stored.version) {
      const roster = parseRoster(stored.value, stored.version);
      if (!roster) this.options.log.write('rosterUnreadable', { revision: stored.version });
      this.parsed = { version: stored.version, roster };
      this.readable = roster ?? this.readable;
    }
    return this.parsed.roster;
  }

  private adoptStored(): void {
    const roster = this.storedRoster();
    if (roster) this.options.adopt(roster);
  }

  /** Runs one round; returns false if the roster has to be written again soon. */
  private async runRound(): Promise<boolean> {
    const roster = this.storedRoster();
    const storedVersion = this.options.values.get(ROSTER_KEY)?.version ?? 0;
    const isUnreadable = storedVersion > 0 && !roster;
    // A keeper that has read no roster leaves it to the others to write it again.
    if (this.hasRetired || (isUnreadable && !this.readable)) return true;
    await this.retireIfOrdered(roster);
    if (this.hasRetired) return true;
    const keepers = (roster ?? this.readable)?.keepers ?? [];
    const unresponsive = await this.probeMonitored(keepers);
    const wanted = this.withSelf(keepers.filter(({ id }) => !unresponsive.has(id)));
    if (!isUnreadable && sameKeepers(wanted, keepers)) return true;
    // A keeper that reaches no majority neither joins the roster nor removes others from it.
    const others = keepers.filter(({ id }) => id !== this.options.self.id);
    const replies = await this.probeAll(others);
    if (others.length > 0 && (1 + replies.responding.size) * 2 <= 1 + others.length) return true;
    const base = roster ?? this.readable;
    // A keeper that replies now is back.
    const present = this.withSelf(
      keepers.filter(({ id }) => !unresponsive.has(id) || replies.responding.has(id)),
    );
    const changed = this.mayRemove(base, present, replies) ? present : this.withSelf(keepers);
    if (!isUnreadable && sameKeepers(changed, keepers)) return true;
    const copies = this.copiesAfter(base, changed, replies);
    if (this.mustWait(base, changed, copies, replies)) return true;
    if (!(await this.write(changed, copies, storedVersion))) return false;
    keepers
      .filter(({ id }) => unresponsive.has(id) && !changed.some((keeper) => keeper.id === id))
      .forEach(({ id }) => {
        const { log, removalAfterMs: silentMs = REMOVAL_AFTER_MS } = this.options;
        log.write('keeperRemoved', { keeper: id, silentMs, answering: replies.responding.size });
      });
    return true;
  }

  /** Returns whether silent keepers may be removed: what they store can be read from others, and
   * this keeper has not lost its own disk. */
  private mayRemove(base: Roster | undefined, keepers: Keeper[], replies: ProbeReplies): boolean {
    const { clock, status } = this.options;
    const removed = (base?.keepers ?? []).filter(({ id }) =>
      keepers.every((each) => each.id !== id),
    );
    if (removed.length === 0) return true;
    const copies = this.copiesAfter(base, keepers, replies);
    const unavailable = countUnavailable(copies, replies.stored, clock.wallTime());
    if (!status().intact) return false;
    if (unavailable <= unreadLimit(copies)) return true;
    this.logDeferred(removed, unavailable, unreadLimit(copies));
    return false;
  }

  /**
   * Returns whether a change that drops a disk from the roster must wait, as no keeper could restore its
   * data under it: without limit for copies that earlier rosters have lost, which expire, and for some
   * time for silent keepers.
   */
  private mustWait(
    base: Roster | undefined,
    keepers: Keeper[],
    copies: Copies,
    replies: ProbeReplies,
  ): boolean {
    const { clock } = this.options;
    const disks = new Set(keepers.map(({ id, disk }) => `${id} ${disk}`));
    const dropped = (base?.keepers ?? []).filter(({ id, disk }) => !disks.has(`${id} ${disk}`));
    const limit = unreadLimit(copies);
    const unavailable = countUnavailable(copies, replies.stored, clock.wallTime());
    if (dropped.length === 0 || unavailable <= limit) {
      this.deferredSinceMs = undefined;
      return false;
    }
    this.deferredSinceMs ??= clock.now();
    const missing = relevantHolders(copies, clock.wallTime()).filter(
      ({ missingSinceMs }) => missingSinceMs > 0,
    );
    const isWaiting = clock.now() - this.deferredSinceMs < REGISTRATION_WAIT_MS;
    if (!isWaiting && missing.length <= limit) return false;
    this.logDeferred(dropped, unavailable, limit);
    return true;
  }

  /** Logs a change that waits, once until the roster is written. */
  private logDeferred(dropped: Keeper[], unavailable: number, limit: number): void {
    const keepers = dropped.map(({ id }) => id).join(' ');
    const fields = { keepers, unavailable, unreadLimit: limit };
    const text = JSON.stringify(fields);
    if (this.loggedDeferrals.has(text)) return;
    this.loggedDeferrals.add(text);
    this.options.log.write('rosterChangeDeferred', fields);
  }

  private copiesAfter(
    roster: Roster | undefined,
    keepers: Keeper[],
    { stored }: ProbeReplies,
  ): Copies {
    const { lossLimit, clock, completed } = this.options;
    return nextCopies({
      roster: roster && completed(roster, stored),
      keepers,
      replies: stored,
      lossLimit,
      nowMs: clock.wallTime(),
    });
  }

  /** Probes the keepers that this one monitors; returns those without a reply for too long. */
  private async probeMonitored(keepers: Keeper[]): Promise<Set<string>> {
    const { self, clock, removalAfterMs = REMOVAL_AFTER_MS } = this.options;
    const monitored = this.ringOf(keepers).monitoredBy(self.id);
    const ids = new Set(monitored.map(({ id }) => id));
    [...this.lastReplyAtMs.keys()]
      .filter((id) => !ids.has(id))
      .forEach((id) => {
        this.lastReplyAtMs.delete(id);
      });
    await Promise.all(
      monitored.map(async (keeper) => {
        // The time of silence counts from the first probe.
        if (!this.lastReplyAtMs.has(keeper.id)) this.lastReplyAtMs.set(keeper.id, clock.now());
        if (await this.probe(keeper)) this.lastReplyAtMs.set(keeper.id, clock.now());
      }),
    );
    const now = clock.now();
    const silent = [...this.lastReplyAtMs].filter(([, atMs]) => now - atMs >= removalAfterMs);
    return new Set(silent.map(([id]) => id));
  }

  private ringOf(keepers: Keeper[]): MonitorRing<Keeper> {
    if (this.ring?.keepers !== keepers) {
      const { hash } = this.options;
      this.ring = { keepers, monitors: new MonitorRing({ members: keepers, hash }) };
    }
    return this.ring.monitors;
  }

  /** Probes all other keepers once. */
  private async probeAll(others: Keeper[]): Promise<ProbeReplies> {
    const { self, status } = this.options;
    const stored = new Map<string, StoredData>([[self.id, status()]]);
    const replies = await Promise.all(
      others.map(async (other) => {
        const reply = await this.probe(other);
        // Earlier versions of marjorampin reply without a status.
        if (reply?.body.case === 'keeperStatus') stored.set(other.id, reply.body.value);
        return reply;
      }),
    );
    const responding = others.filter((_, index) => replies[index]).map(({ id }) => id);
    return { responding: new Set(responding), stored };
  }

  /** Returns the keepers with this keeper's current roster record, sorted by id. */
  private withSelf(keepers: Keeper[]): Keeper[] {
    const { self, retirement, values } = this.options;
    const current = create(KeeperSchema, { ...self, leaving: retirement.isOrdered(values) });
    // A replaced host keeps its id but may have another address. Another record with this keeper's
    // address is outdated, as its keeper no longer listens there.
    const others = keepers.filter(({ id, address }) => id !== self.id && address !== self.address);
    return [...others, current].sort((a, b) => a.id.localeCompare(b.id));
  }

  /** Probes a keeper; returns undefined if it does not reply in time. */
  private async probe({ address }: Keeper): Promise<Reply | undefined> {
    const { peers, self } = this.options;
    const body = { case: 'probe' as const, value: { sender: self.id } };
    try {
      return await peers.get(address).call(body, { progressTimeoutMs: PROBE_TIMEOUT_MS });
    } catch {
      // Expected if the keeper is down; the callers count the silence.
      return undefined;
    }
  }

  private async retireIfOrdered(roster: Roster | undefined): Promise<void> {
    const { retirement, self, log, values } = this.options;
    const listed = roster?.keepers.find(({ id }) => id === self.id);
    if (!roster || !listed?.leaving || !retirement.isOrdered(values)) return;
    await retirement.report('running');
    const others = roster.keepers.filter(({ id }) => id !== self.id);
    const replies = await this.probeAll(others);
    if (!others.every((other) => isRestored(other, roster, replies))) return;
    const copies = this.copiesAfter(roster, others, replies);
    if (!(await this.write(others, copies, roster.version))) return;
    this.hasRetired = await retirement.report('completed');
    log.write('keeperRetired', { keeper: self.id, rosterVersion: roster.version });
  }

  private async write(
    keepers: Keeper[],
    copies: Copies,
    expectedVersion: number,
  ): Promise<boolean> {
    const { store, values, adopt, log } = this.options;
    const written = await writeRoster(store, { keepers, ...copies }, expectedVersion);
    const stored = await store.get(ROSTER_KEY);
    if (stored.ok && stored.val) values.applyWrite(stored.val);
    const roster = this.storedRoster();
    if (roster) adopt(roster);
    if (written.err) {
      log.write('rosterWriteFailed', { kind: written.val.kind, expectedVersion });
      return false;
    }
    this.loggedDeferrals.clear();
    log.write('rosterChanged', {
      version: written.val,
      keepers: keepers.length,
      missing: copies.holders.filter(({ missingSinceMs }) => missingSinceMs > 0).length,
      minimumCopies: copies.minimumCopies,
      wholeVersion: copies.wholeVersion,
    });
    return true;
  }
}

/** Returns whether a keeper stores all data that a roster assigns to it. */
function isRestored({ id, disk }: Keeper, { version }: Roster, { stored }: ProbeReplies): boolean {
  const status = stored.get(id);
  return status?.disk === disk && status.intact && status.restoredVersion >= version;
}

function sameKeepers(left: Keeper[], right: Keeper[]): boolean {
  const fieldsOf = (keepers: Keeper[]) =>
    keepers.map(({ id, address, domain, disk, leaving }) => [id, address, domain, disk, leaving]);
  return JSON.stringify(fieldsOf(left)) === JSON.stringify(fieldsOf(right));
}
