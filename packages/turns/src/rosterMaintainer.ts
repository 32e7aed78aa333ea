import { create } from '@bufbuild/protobuf';
import type { EventLog } from '@marjorampin/logging';
import { type Hash, MonitorRing } from '@marjorampin/membership';
import { type Keeper, KeeperSchema, type PeerPool, type Roster } from '@marjorampin/protocol';
import type { KeyValueStore, WatchedPrefix } from '@marjorampin/store';
import type { Clock } from '@marjorampin/types';
import { parseRoster, ROSTER_KEY, writeRoster } from './rosterRecord';

/** Interval between two rounds of probes and roster checks. */
const ROUND_INTERVAL_MS = 1_000;
const PROBE_TIMEOUT_MS = 800;
/** Delay before a write that met another change is repeated; random, because all keepers of a new
 * deployment join at the same time. */
const MAXIMUM_CONFLICT_DELAY_MS = 300;
/** Time without a probe reply after which a keeper is removed; longer than a restart takes. */
const REMOVAL_AFTER_MS = 4_000;

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
  /** Receives each roster that is read or written. */
  adopt(roster: Roster): void;
  /** Returns whether all other keepers store the data assigned to them under a roster. */
  areOthersRestored(roster: Roster): Promise<boolean>;
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
    const remaining = keepers.filter(({ id }) => !unresponsive.has(id));
    const changed = this.withSelf(remaining);
    if (!isUnreadable && sameKeepers(changed, keepers)) return true;
    // A keeper that reaches no majority neither joins the roster nor removes others from it.
    const others = keepers.filter(({ id }) => id !== this.options.self.id);
    const responding = await this.countResponding(others);
    if (others.length > 0 && (1 + responding) * 2 <= 1 + others.length) return true;
    if (!(await this.write(changed, storedVersion))) return false;
    unresponsive.forEach((keeper) => {
      const answering = responding;
      this.options.log.write('keeperRemoved', { keeper, silentMs: REMOVAL_AFTER_MS, answering });
    });
    return true;
  }

  /** Probes the keepers that this one monitors; returns those without a reply for too long. */
  private async probeMonitored(keepers: Keeper[]): Promise<Set<string>> {
    const { self, clock } = this.options;
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
        if (await this.responds(keeper)) this.lastReplyAtMs.set(keeper.id, clock.now());
      }),
    );
    const now = clock.now();
    const silent = [...this.lastReplyAtMs].filter(([, atMs]) => now - atMs >= REMOVAL_AFTER_MS);
    return new Set(silent.map(([id]) => id));
  }

  private ringOf(keepers: Keeper[]): MonitorRing<Keeper> {
    if (this.ring?.keepers !== keepers) {
      const { hash } = this.options;
      this.ring = { keepers, monitors: new MonitorRing({ members: keepers, hash }) };
    }
    return this.ring.monitors;
  }

  /** Probes all other keepers once and returns how many reply. */
  private async countResponding(others: Keeper[]): Promise<number> {
    const replies = await Promise.all(others.map((other) => this.responds(other)));
    return replies.filter(Boolean).length;
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

  /** Probes a keeper and returns whether it replies in time. */
  private async responds({ address }: Keeper): Promise<boolean> {
    const { peers, self } = this.options;
    const body = { case: 'probe' as const, value: { sender: self.id } };
    try {
      await peers.get(address).call(body, { progressTimeoutMs: PROBE_TIMEOUT_MS });
      return true;
    } catch {
      // Expected if the keeper is down; the callers count the silence.
      return false;
    }
  }

  private async retireIfOrdered(roster: Roster | undefined): Promise<void> {
    const { retirement, self, log, values, areOthersRestored } = this.options;
    const listed = roster?.keepers.find(({ id }) => id === self.id);
    if (!roster || !listed?.leaving || !retirement.isOrdered(values)) return;
    await retirement.report('running');
    if (!(await areOthersRestored(roster))) return;
    const others = roster.keepers.filter(({ id }) => id !== self.id);
    if (!(await this.write(others, roster.version))) return;
    this.hasRetired = await retirement.report('completed');
    log.write('keeperRetired', { keeper: self.id, rosterVersion: roster.version });
  }

  private async write(keepers: Keeper[], expectedVersion: number): Promise<boolean> {
    const { store, values, adopt, log } = this.options;
    const written = await writeRoster(store, keepers, expectedVersion);
    const stored = await store.get(ROSTER_KEY);
    if (stored.ok && stored.val) values.applyWrite(stored.val);
    const roster = this.storedRoster();
    if (roster) adopt(roster);
    if (written.err) {
      log.write('rosterWriteFailed', { kind: written.val.kind, expectedVersion });
      return false;
    }
    log.write('rosterChanged', { version: written.val, keepers: keepers.length });
    return true;
  }
}

function sameKeepers(left: Keeper[], right: Keeper[]): boolean {
  const fieldsOf = (keepers: Keeper[]) =>
    keepers.map(({ id, address, domain, disk, leaving }) => [id, address, domain, disk, leaving]);
  return JSON.stringify(fieldsOf(left)) === JSON.stringify(fieldsOf(right));
}
