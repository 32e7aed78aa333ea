import { create } from '@bufbuild/protobuf';
import type { EventLog } from '@marjorampin/logging';
import { type Keeper, KeeperSchema, type PeerPool, type Roster } from '@marjorampin/protocol';
import type { KeyValueStore, WatchedPrefix } from '@marjorampin/store';
import type { Clock } from '@marjorampin/types';
import { parseRoster, ROSTER_KEY, writeRoster } from './rosterRecord';

/** Time between two rounds of probes and checks of the roster. */
const ROUND_MS = 1_000;
const PROBE_TIMEOUT_MS = 800;
/** A keeper that answers no probe for this long is removed; longer than a restart takes. */
const REMOVAL_AFTER_MS = 4_000;

/** Orders of the operators to empty a host before it is taken away. */
export abstract class RetirementOrders {
  /** Returns whether this host is to be emptied. */
  abstract isOrdered(): boolean;

  /** Reports how far it is; `completed` only once nothing is held here alone. */
  abstract report(state: 'running' | 'completed'): Promise<boolean>;
}

/** What a member of the roster needs. */
export interface RosterMemberOptions {
  /** This keeper as the roster should show it. */
  self: Pick<Keeper, 'id' | 'address' | 'domain' | 'disk'>;
  store: KeyValueStore;
  /** Follows the roster's key. */
  rosterKeys: WatchedPrefix;
  retirement: RetirementOrders;
  peers: PeerPool;
  clock: Clock;
  log: EventLog;
  /** Takes over a roster. */
  adopt(roster: Roster): void;
  /** Returns whether all other keepers hold what is assigned to them. */
  areOthersRestored(roster: Roster): Promise<boolean>;
}

/** Keeps this keeper in the roster, removes dead ones, and leaves when the host is to be emptied. */
export class RosterMember {
  private readonly options: RosterMemberOptions;

  private readonly answeredAtMs = new Map<string, number>();

  private readonly stopped = new AbortController();

  private retired = false;

  constructor(options: RosterMemberOptions) {
    this.options = options;
  }

  /** Runs rounds until `stop`. */
  async run(): Promise<void> {
    const { clock, rosterKeys, log } = this.options;
    rosterKeys.onChange(() => this.adoptStored());
    this.adoptStored();
    while (!this.stopped.signal.aborted) {
      try {
        await this.round();
      } catch (error) {
        log.write('rosterRoundFailed', { error: String(error) });
      }
      await clock.sleep(ROUND_MS, this.stopped.signal).catch(() => undefined);
    }
  }

  /** Ends the rounds. */
  stop(): void {
    this.stopped.abort();
  }

  private stored(): Roster | undefined {
    const value = this.options.rosterKeys.get(ROSTER_KEY);
    return value && parseRoster(value.value, value.version);
  }

  private adoptStored(): void {
    const roster = this.stored();
    if (roster) this.options.adopt(roster);
  }

  private async round(): Promise<void> {
    const roster = this.stored();
    if (this.retired) return;
    await this.retireIfOrdered(roster);
    if (this.retired) return;
    const keepers = roster?.keepers ?? [];
    const others = keepers.filter(({ id }) => id !== this.options.self.id);
    const answering = await this.countAnswering(others);
    // A keeper that is cut off from most others neither joins nor takes them for dead.
    if (others.length > 0 && (1 + answering) * 2 <= 1 + others.length) return;
    const changed = this.withSelf(this.withoutDead(keepers, answering));
    if (sameKeepers(changed, keepers)) return;
    await this.write(changed, roster?.version ?? 0);
  }

  /** Probes keepers and returns how many answer. */
  private async countAnswering(others: Keeper[]): Promise<number> {
    await Promise.all(others.map((other) => this.probe(other)));
    const now = this.options.clock.now();
    return others.filter(({ id }) => now - (this.answeredAtMs.get(id) ?? 0) < ROUND_MS).length;
  }

  /** Returns the keepers with this one as it is now. */
  private withSelf(keepers: Keeper[]): Keeper[] {
    const { self, retirement } = this.options;
    const own = create(KeeperSchema, { ...self, leaving: retirement.isOrdered() });
    // A host that was replaced at another address keeps its name.
    const others = keepers.filter(({ id, address }) => id !== self.id && address !== self.address);
    return [...others, own].sort((a, b) => a.id.localeCompare(b.id));
  }

  /** Returns the keepers without those that answered no probe for long. */
  private withoutDead(keepers: Keeper[], answering: number): Keeper[] {
    const { self, clock, log } = this.options;
    const now = clock.now();
    return keepers.filter(({ id }) => {
      if (id === self.id || now - (this.answeredAtMs.get(id) ?? 0) < REMOVAL_AFTER_MS) return true;
      log.write('keeperRemoved', { keeper: id, silentMs: REMOVAL_AFTER_MS, answering });
      return false;
    });
  }

  private async probe({ id, address }: Keeper): Promise<void> {
    const { peers, clock, self } = this.options;
    if (!this.answeredAtMs.has(id)) this.answeredAtMs.set(id, clock.now());
    const timeout = AbortSignal.timeout(PROBE_TIMEOUT_MS);
    try {
      const body = { case: 'probe' as const, value: { sender: self.id } };
      await peers.get(address).call(body, { signal: timeout });
      this.answeredAtMs.set(id, clock.now());
    } catch {
      // Silence is what the probe looks for; `withoutDead` judges it.
    }
  }

  private async retireIfOrdered(roster: Roster | undefined): Promise<void> {
    const { retirement, self, log, areOthersRestored } = this.options;
    const own = roster?.keepers.find(({ id }) => id === self.id);
    if (!roster || !own?.leaving || !retirement.isOrdered()) return;
    await retirement.report('running');
    if (!(await areOthersRestored(roster))) return;
    const others = roster.keepers.filter(({ id }) => id !== self.id);
    if (!(await this.write(others, roster.version))) return;
    this.retired = await retirement.report('completed');
    log.write('keeperRetired', { keeper: self.id, rosterVersion: roster.version });
  }

  private async write(keepers: Keeper[], expectedVersion: number): Promise<boolean> {
    const { store, rosterKeys, adopt, log } = this.options;
    const written = await writeRoster(store, keepers, expectedVersion);
    if (written.err) {
      log.write('rosterWriteFailed', { kind: written.val.kind, expectedVersion });
      return false;
    }
    const stored = await store.get(ROSTER_KEY);
    if (stored.ok && stored.val) rosterKeys.learn(stored.val);
    const roster = this.stored();
    if (roster) adopt(roster);
    log.write('rosterChanged', { version: written.val, keepers: keepers.length });
    return true;
  }
}

function sameKeepers(left: Keeper[], right: Keeper[]): boolean {
  const text = (keepers: Keeper[]) =>
    keepers.map(({ id, address, domain, disk, leaving }) => [id, address, domain, disk, leaving]);
  return JSON.stringify(text(left)) === JSON.stringify(text(right));
}
