import { create } from '@bufbuild/protobuf';
import type { EventLog } from '@marjorampin/logging';
import { type Keeper, KeeperSchema, type PeerPool, type Roster } from '@marjorampin/protocol';
import type { KeyValueStore, WatchedPrefix } from '@marjorampin/store';
import type { Clock } from '@marjorampin/types';
import { parseRoster, ROSTER_KEY, writeRoster } from './rosterRecord';

/** Interval between two rounds of probes and roster checks. */
const ROUND_INTERVAL_MS = 1_000;
const PROBE_TIMEOUT_MS = 800;
/** Time without a probe reply after which a keeper is removed; longer than a restart takes. */
const REMOVAL_AFTER_MS = 4_000;

/** Operators' orders to retire a host: its data is copied to other hosts before it is removed. */
export abstract class RetirementOrders {
  /** Returns whether an operator ordered this host to be retired. */
  abstract isOrdered(): boolean;

  /** Reports the progress; `completed` only once no data is stored on this host alone. Returns
   * whether the report was written. */
  abstract report(state: 'running' | 'completed'): Promise<boolean>;
}

/** Options of `RosterMaintainer`. */
export interface RosterMaintainerOptions {
  /** Roster record of this keeper. */
  self: Pick<Keeper, 'id' | 'address' | 'domain' | 'disk'>;
  store: KeyValueStore;
  /** Watches the roster's key. */
  rosterWatch: WatchedPrefix;
  retirement: RetirementOrders;
  peers: PeerPool;
  clock: Clock;
  log: EventLog;
  /** Receives each roster that is read or written. */
  adopt(roster: Roster): void;
  /** Returns whether all other keepers store the data assigned to them under a roster. */
  areOthersRestored(roster: Roster): Promise<boolean>;
}

/** Keeps this keeper in the roster, removes unresponsive ones, and leaves on a retirement order. */
export class RosterMaintainer {
  private readonly options: RosterMaintainerOptions;

  private readonly lastReplyAtMs = new Map<string, number>();

  private readonly stopped = new AbortController();

  private hasRetired = false;

  constructor(options: RosterMaintainerOptions) {
    this.options = options;
  }

  /** Probes the other keepers and updates the roster periodically until `stop`. */
  async run(): Promise<void> {
    const { clock, rosterWatch, log } = this.options;
    rosterWatch.onChange(() => this.adoptStored());
    this.adoptStored();
    while (!this.stopped.signal.aborted) {
      try {
        await this.runRound();
      } catch (error) {
        log.write('rosterRoundFailed', { error: String(error) });
      }
      await clock.sleep(ROUND_INTERVAL_MS, this.stopped.signal).catch(() => undefined);
    }
  }

  /** Ends the periodic probes and updates. */
  stop(): void {
    this.stopped.abort();
  }

  private storedRoster(): Roster | undefined {
    const value = this.options.rosterWatch.get(ROSTER_KEY);
    return value && parseRoster(value.value, value.version);
  }

  private adoptStored(): void {
    const roster = this.storedRoster();
    if (roster) this.options.adopt(roster);
  }

  private async runRound(): Promise<void> {
    const roster = this.storedRoster();
    if (this.hasRetired) return;
    await this.retireIfOrdered(roster);
    if (this.hasRetired) return;
    const keepers = roster?.keepers ?? [];
    const others = keepers.filter(({ id }) => id !== this.options.self.id);
    const responding = await this.countResponding(others);
    // A keeper that reaches no majority neither joins the roster nor removes others from it.
    if (others.length > 0 && (1 + responding) * 2 <= 1 + others.length) return;
    const changed = this.withSelf(this.withoutUnresponsive(keepers, responding));
    if (sameKeepers(changed, keepers)) return;
    await this.write(changed, roster?.version ?? 0);
  }

  /** Probes keepers and returns how many reply. */
  private async countResponding(others: Keeper[]): Promise<number> {
    await Promise.all(others.map((other) => this.probe(other)));
    const now = this.options.clock.now();
    return others.filter(({ id }) => now - (this.lastReplyAtMs.get(id) ?? 0) < ROUND_INTERVAL_MS)
      .length;
  }

  /** Returns the keepers with this keeper's current roster record, sorted by id. */
  private withSelf(keepers: Keeper[]): Keeper[] {
    const { self, retirement } = this.options;
    const current = create(KeeperSchema, { ...self, leaving: retirement.isOrdered() });
    // A replaced host keeps its id but may have another address. Another record with this keeper's
    // address is outdated, as its keeper no longer listens there.
    const others = keepers.filter(({ id, address }) => id !== self.id && address !== self.address);
    return [...others, current].sort((a, b) => a.id.localeCompare(b.id));
  }

  /** Returns the keepers without those that replied to no probe for `REMOVAL_AFTER_MS`. */
  private withoutUnresponsive(keepers: Keeper[], responding: number): Keeper[] {
    const { self, clock, log } = this.options;
    const now = clock.now();
    return keepers.filter(({ id }) => {
      if (id === self.id || now - (this.lastReplyAtMs.get(id) ?? 0) < REMOVAL_AFTER_MS) return true;
      log.write('keeperRemoved', { keeper: id, silentMs: REMOVAL_AFTER_MS, answering: responding });
      return false;
    });
  }

  private async probe({ id, address }: Keeper): Promise<void> {
    const { peers, clock, self } = this.options;
    if (!this.lastReplyAtMs.has(id)) this.lastReplyAtMs.set(id, clock.now());
    const timeout = AbortSignal.timeout(PROBE_TIMEOUT_MS);
    try {
      const body = { case: 'probe' as const, value: { sender: self.id } };
      await peers.get(address).call(body, { signal: timeout });
      this.lastReplyAtMs.set(id, clock.now());
    } catch {
      // Expected if the keeper is down; `withoutUnresponsive` checks the time of its last reply.
    }
  }

  private async retireIfOrdered(roster: Roster | undefined): Promise<void> {
    const { retirement, self, log, areOthersRestored } = this.options;
    const listed = roster?.keepers.find(({ id }) => id === self.id);
    if (!roster || !listed?.leaving || !retirement.isOrdered()) return;
    await retirement.report('running');
    if (!(await areOthersRestored(roster))) return;
    const others = roster.keepers.filter(({ id }) => id !== self.id);
    if (!(await this.write(others, roster.version))) return;
    this.hasRetired = await retirement.report('completed');
    log.write('keeperRetired', { keeper: self.id, rosterVersion: roster.version });
  }

  private async write(keepers: Keeper[], expectedVersion: number): Promise<boolean> {
    const { store, rosterWatch, adopt, log } = this.options;
    const written = await writeRoster(store, keepers, expectedVersion);
    if (written.err) {
      log.write('rosterWriteFailed', { kind: written.val.kind, expectedVersion });
      return false;
    }
    const stored = await store.get(ROSTER_KEY);
    if (stored.ok && stored.val) rosterWatch.applyWrite(stored.val);
    const roster = this.storedRoster();
    if (roster) adopt(roster);
    log.write('rosterChanged', { version: written.val, keepers: keepers.length });
    return true;
  }
}

function sameKeepers(left: Keeper[], right: Keeper[]): boolean {
  const fieldsOf = (keepers: Keeper[]) =>
    keepers.map(({ id, address, domain, disk, leaving }) => [id, address, domain, disk, leaving]);
  return JSON.stringify(fieldsOf(left)) === JSON.stringify(fieldsOf(right));
}
