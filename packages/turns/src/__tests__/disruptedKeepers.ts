/** Keeper processes and entries on simulated hosts, and what may happen to them. */
import { create } from '@bufbuild/protobuf';
import { MemoryEventLog } from '@marjorampin/logging';
import { loadHash } from '@marjorampin/membership';
import { Metrics } from '@marjorampin/metrics';
import { type PeerConnections, ReplySchema, type Roster } from '@marjorampin/protocol';
import { WatchedPrefix } from '@marjorampin/store';
import { KeeperProcess } from '../keeperProcess';
import { RetirementOrders } from '../rosterMaintainer';
import { parseRoster, ROSTER_KEY } from '../rosterRecord';
import { ALL_KEYS } from '../sharedList';
import { TurnStore } from '../turnStore';
import { mountDisk, SimulatedDisk, unmountDisk } from './simulatedDisk';
import {
  HostStore,
  nameOf,
  type SimulatedHost,
  SimulatedNetwork,
  type Tamper,
} from './simulatedHosts';

const READ_TIMES = { intervalMs: 500, gatheringMs: 100, timeoutMs: 300 };
/** Time after the end of a retirement at which its host is switched off. */
const SWITCH_OFF_MS = 10;
/** Time for the first start of all keepers. */
const START_MS = 60_000;
/** Interval at which a state is awaited. */
const CHECK_MS = 50;

const hash = await loadHash();

/** Defects of an implementation, each of which the property must detect. */
export type KeeperMutation =
  | 'none'
  | 'counts no lost disk as missing'
  | 'counts one copy too many'
  | 'treats a wiped keeper as intact'
  | 'proves absence by one reply'
  | 'acknowledges lost commits';

/** A disruption of one keeper. */
export type HostFault =
  'kill' | 'power loss' | 'wipe' | 'replace' | 'remove' | 'freeze' | 'cut off' | 'cut from store';

/** Faults that leave the process in memory. */
const RUNNING_FAULTS = new Set<HostFault>(['freeze', 'cut off', 'cut from store']);
const DISK_LOSSES = new Set<HostFault>(['wipe', 'replace', 'remove']);

/** File in which a keeper states which data its disk stores. */
const STATE_FILE = 'keeper.json';

/** Numbers of keepers and of failure domains. */
export interface Deployment {
  keepers: number;
  domains: number;
  /** Number of keepers whose disks may be lost at once. */
  lossLimit: number;
}

/** Part of the stored roster. */
interface StoredRoster {
  keepers: { id: string; disk: string }[];
  holders: { id: string; disk: string; missingSinceMs: number }[];
  minimumCopies: number;
}

/** Rosters that mutations write. */
const ROSTER_CHANGES: Partial<
  Record<KeeperMutation, (roster: StoredRoster) => Partial<StoredRoster>>
> = {
  'counts no lost disk as missing': ({ keepers }) => ({
    holders: keepers.map(({ id, disk }) => ({ id, disk, missingSinceMs: 0 })),
  }),
  'counts one copy too many': ({ minimumCopies }) => ({ minimumCopies: minimumCopies + 1 }),
};

/** Replies that mutations invent or change. */
const FORGERIES: Partial<Record<KeeperMutation, Tamper>> = {
  'proves absence by one reply': (body, reply) => {
    if (body?.case !== 'readTurns') return reply;
    const records = reply?.body.case === 'turnChain' ? reply.body.value.records : [];
    const value = { records, complete: true };
    return create(ReplySchema, { body: { case: 'turnChain', value } });
  },
  'acknowledges lost commits': (body, reply) => {
    if (body?.case !== 'commitTurn' || reply) return reply;
    const value = { accepted: true };
    return create(ReplySchema, { body: { case: 'acknowledgement', value } });
  },
};

class SimulatedOrders extends RetirementOrders {
  isIssued = false;

  /** Called when the retirement is complete. */
  onCompleted: (() => void) | undefined;

  override isOrdered(): boolean {
    return this.isIssued;
  }

  override async report(state: 'running' | 'completed'): Promise<boolean> {
    if (state === 'completed') this.onCompleted?.();
    return true;
  }
}

interface DisruptedKeeper {
  id: string;
  domain: string;
  host: SimulatedHost;
  disk: SimulatedDisk;
  folder: string;
  orders: SimulatedOrders;
  keeper: KeeperProcess | undefined;
  isFirstStart: boolean;
  /** Number of the last disruption; the end of an earlier one has no effect. */
  faults: number;
}

interface DisruptedEntry {
  domain: string;
  host: SimulatedHost;
  turns: TurnStore;
  /** Continues turns without an end. */
  continuations: TurnStore;
  values: WatchedPrefix;
}

/** Ends the process of a keeper at once. */
function endKeeper(keeper: DisruptedKeeper, { isSilent = false } = {}): void {
  keeper.host.endProcess({ isSilent });
  unmountDisk(keeper.folder);
  // Only ends its timers: the process takes no effect any more.
  keeper.keeper?.stop();
  Object.assign(keeper, { keeper: undefined, isFirstStart: false });
}

/** Store that observes turns with reservations of no tokens, and stores nothing: an observation that writes
 * turns again would hide that they are stored too rarely. */
class ContinuationStore extends TurnStore {
  override async settle(): Promise<void> {
    // No tokens are reserved.
  }

  protected override async completeCommit(): Promise<void> {
    // The turns stay where they are.
  }
}

/** Keepers and entries of one deployment. */
export class DisruptedKeepers {
  readonly network = new SimulatedNetwork();

  readonly log = new MemoryEventLog();

  readonly keepers: DisruptedKeeper[] = [];

  readonly entries: DisruptedEntry[] = [];

  /** Ids of keepers whose disks were lost since all were last complete. */
  private readonly lostDisks = new Set<string>();

  private readonly deployment: Deployment;

  private readonly mutation: KeeperMutation;

  /** Ids of removed keepers without a successor. */
  private readonly removed: string[] = [];

  private storeFaults = 0;

  private addedKeepers = 0;

  constructor(deployment: Deployment, mutation: KeeperMutation = 'none') {
    this.deployment = deployment;
    this.mutation = mutation;
    this.applyMutation();
  }

  /** Starts all keepers and entries with empty disks; resolves once all keepers are complete, or at
   * once for turns and disruptions during the first start. */
  async start({ isEarly = false } = {}): Promise<void> {
    const { keepers, domains } = this.deployment;
    for (let index = 0; index < keepers; index += 1) this.addKeeper({ isFirstStart: true });
    for (let index = 0; index < Math.max(2, domains); index += 1) this.addEntry();
    if (isEarly) return;
    await this.untilWhole(START_MS);
    await this.advance(2 * READ_TIMES.intervalMs);
  }

  /** Ends all processes. */
  stop(): void {
    this.keepers.forEach((keeper) => endKeeper(keeper));
    this.entries.forEach((_, index) => this.killEntry(index));
  }

  advance(ms: number): Promise<void> {
    return this.network.clock.advance(ms);
  }

  /** The newest roster. */
  async roster(): Promise<Roster | undefined> {
    const stored = await this.network.store.get(ROSTER_KEY);
    const value = stored.ok ? stored.val : undefined;
    return value && parseRoster(value.value, value.version);
  }

  /** Whether all hosts run undisturbed and all their keepers are listed and complete. */
  async isWhole(): Promise<boolean> {
    const roster = await this.roster();
    const listed = roster?.keepers.map(({ id, address }) => `${id} ${address}`).sort();
    const existing = this.keepers.map(({ id, host }) => `${id} ${nameOf(host)}`).sort();
    if (JSON.stringify(listed) !== JSON.stringify(existing)) return false;
    const isDisturbed = ({ host }: DisruptedKeeper) =>
      !host.process || host.process.isFrozen || host.isCutOff || !host.reachesStore;
    if (this.network.store.faults.down || this.keepers.some(isDisturbed)) return false;
    const versions = this.keepers.map(({ keeper }) => handlerOf(keeper)?.roster?.version);
    const areCurrent = versions.every((version) => version === roster?.version);
    const isWhole = areCurrent && this.keepers.every(({ keeper }) => keeper?.isComplete);
    if (isWhole) {
      this.lostDisks.clear();
      this.removed.forEach((id) => this.lostDisks.add(id));
    }
    return isWhole;
  }

  /** Returns whether all keepers are complete within a time. */
  async untilWhole(maximumMs: number): Promise<boolean> {
    const untilMs = this.network.clock.now() + maximumMs;
    while (!(await this.isWhole())) {
      if (this.network.clock.now() >= untilMs) return false;
      await this.advance(CHECK_MS);
    }
    return true;
  }

  /** Describes each keeper, for the report of a failure. */
  async describe(): Promise<string> {
    const states = this.keepers.map(({ id, host, keeper }) => {
      const { roster, restoredVersion, isIntact } = handlerOf(keeper) ?? {};
      const ids = roster?.keepers.map((each) => each.id).join('');
      return `${id}@${nameOf(host)}: roster ${roster?.version} (${ids}), restored ${restoredVersion}, intact ${isIntact}`;
    });
    const stored = (await this.roster())?.keepers.map(({ id }) => id).join('');
    return `stored roster ${stored}; ${states.join('; ')}`;
  }

  /** Disrupts a keeper, and ends the disruption after `forMs`; returns whether it was allowed. */
  async disrupt(index: number, fault: HostFault, forMs: number): Promise<boolean> {
    const keeper = this.keepers[index % this.keepers.length];
    if (!keeper) return false;
    const losesDisk = DISK_LOSSES.has(fault);
    if (losesDisk && !(await this.mayLoseDisk(keeper))) return false;
    if (!losesDisk && !keeper.host.process) return false;
    keeper.faults += 1;
    const { faults } = keeper;
    this.applyFault(keeper, fault);
    this.network.clock.after(forMs, () => {
      if (keeper.faults === faults) this.recover(keeper);
    });
    return true;
  }

  /** Kills all keepers at once; each is back after its own time. */
  async disruptAll(fault: 'kill' | 'power loss', forMs: number[]): Promise<void> {
    await Promise.all(
      this.keepers.map((_, index) => this.disrupt(index, fault, forMs[index % forMs.length] ?? 0)),
    );
  }

  /** Makes the store unreachable for everybody. */
  disruptStore(forMs: number): void {
    this.storeFaults += 1;
    const { storeFaults } = this;
    this.network.store.faults.down = true;
    this.network.clock.after(forMs, () => {
      if (this.storeFaults === storeFaults) this.network.store.faults.down = false;
    });
  }

  /** Ends all disruptions. */
  recoverAll(): void {
    this.storeFaults += 1;
    this.network.store.faults.down = false;
    this.network.brokenLinks.clear();
    this.keepers.forEach((keeper) => {
      Object.assign(keeper, { faults: keeper.faults + 1 });
      this.recover(keeper);
    });
  }

  /** Starts a keeper on a new host; the number of keepers stays below twice the initial one. */
  addKeeper({ isFirstStart = false } = {}): void {
    if (this.keepers.length >= 2 * this.deployment.keepers) return;
    const id = String.fromCharCode('a'.charCodeAt(0) + this.addedKeepers);
    const domain = `zone-${this.addedKeepers % this.deployment.domains}`;
    this.addedKeepers += 1;
    // The added keeper is the successor of a removed one.
    this.removed.shift();
    const orders = new SimulatedOrders();
    const added: DisruptedKeeper = {
      id,
      domain,
      host: this.network.createHost(),
      disk: new SimulatedDisk(),
      folder: '',
      orders,
      keeper: undefined,
      isFirstStart,
      faults: 0,
    };
    orders.onCompleted = () => this.network.clock.after(SWITCH_OFF_MS, () => this.switchOff(added));
    this.keepers.push(added);
    this.run(added);
  }

  /** Orders a keeper to be retired if enough others remain. */
  retire(index: number): void {
    const active = this.keepers.filter(({ orders }) => !orders.isIssued);
    if (active.length <= 2 * this.deployment.lossLimit + 1) return;
    const keeper = active[index % active.length];
    if (keeper) keeper.orders.isIssued = true;
  }

  /** Restarts an entry without its memory. */
  restartEntry(index: number): void {
    const entry = this.entries[index];
    if (!entry) return;
    this.killEntry(index);
    this.entries[index] = this.runEntry(entry.domain, entry.host);
  }

  private addEntry(): void {
    const domain = `zone-${this.entries.length % this.deployment.domains}`;
    this.entries.push(this.runEntry(domain, this.network.createHost()));
  }

  private killEntry(index: number): void {
    const entry = this.entries[index];
    if (!entry) return;
    entry.turns.stop();
    entry.continuations.stop();
    entry.values.stop();
    entry.host.endProcess();
  }

  private runEntry(domain: string, host: SimulatedHost): DisruptedEntry {
    const { network, log } = this;
    const process = network.startProcess(host);
    const { clock } = process;
    const peers: PeerConnections = {
      get: (address) => network.connection(process, address),
      drop: () => undefined,
    };
    const { lossLimit } = this.deployment;
    // Without a cache, each continuation reads from the keepers.
    const options = { peers, hash, lossLimit, domain, clock, log, cacheBytes: 0 };
    const turns = new TurnStore(options);
    const continuations = new ContinuationStore(options);
    const store = new HostStore(network, process);
    const { intervalMs: pollIntervalMs } = READ_TIMES;
    const values = new WatchedPrefix({ store, clock, prefix: ALL_KEYS, pollIntervalMs });
    values.onChange(() => {
      const stored = values.get(ROSTER_KEY);
      const roster = stored && parseRoster(stored.value, stored.version);
      if (!roster) return;
      turns.adopt(roster);
      continuations.adopt(roster);
    });
    values.start();
    return { domain, host, turns, continuations, values };
  }

  private run(started: DisruptedKeeper): void {
    const { network, log } = this;
    const { id, domain, host, disk, orders: retirement } = started;
    const process = network.startProcess(host);
    const { clock } = process;
    const folder = mountDisk(disk, clock);
    const keeper = new KeeperProcess({
      id,
      domain,
      address: host.address,
      folder,
      isFirstStart: started.isFirstStart,
      lossLimit: this.deployment.lossLimit,
      store: new HostStore(network, process),
      readTimes: READ_TIMES,
      retirement,
      clock,
      log,
      metrics: new Metrics(),
    });
    Object.assign(started, { folder, keeper });
    keeper.start().catch((error: unknown) => {
      log.write('rosterRoundFailed', { error: String(error) });
    });
  }

  private switchOff(keeper: DisruptedKeeper): void {
    endKeeper(keeper);
    this.keepers.splice(this.keepers.indexOf(keeper), 1);
    this.lostDisks.delete(keeper.id);
  }

  private async mayLoseDisk({ id }: DisruptedKeeper): Promise<boolean> {
    await this.isWhole();
    if (!this.lostDisks.has(id) && this.lostDisks.size >= this.deployment.lossLimit) return false;
    this.lostDisks.add(id);
    return true;
  }

  private applyFault(keeper: DisruptedKeeper, fault: HostFault): void {
    const { host, disk } = keeper;
    if (fault === 'freeze') host.process?.freeze();
    if (fault === 'cut off') host.isCutOff = true;
    if (fault === 'cut from store') host.reachesStore = false;
    if (RUNNING_FAULTS.has(fault)) return;
    endKeeper(keeper, { isSilent: fault !== 'kill' });
    if (fault === 'power loss') disk.failPower();
    const isStateKept = this.mutation === 'treats a wiped keeper as intact';
    const emptied = isStateKept ? disk.emptiedExcept(STATE_FILE) : new SimulatedDisk();
    if (DISK_LOSSES.has(fault)) Object.assign(keeper, { disk: emptied });
    if (fault === 'replace') Object.assign(keeper, { host: this.network.createHost() });
    if (fault !== 'remove') return;
    this.keepers.splice(this.keepers.indexOf(keeper), 1);
    this.removed.push(keeper.id);
  }

  private recover(keeper: DisruptedKeeper): void {
    const { host } = keeper;
    if (!this.keepers.includes(keeper)) return;
    Object.assign(host, { isCutOff: false, reachesStore: true });
    host.process?.unfreeze();
    if (!host.process) this.run(keeper);
  }

  private applyMutation(): void {
    const { mutation, network } = this;
    const change = ROSTER_CHANGES[mutation];
    if (change) {
      network.tamperWrite = (write) => {
        const roster = JSON.parse(write.value) as StoredRoster;
        return { ...write, value: JSON.stringify({ ...roster, ...change(roster) }) };
      };
    }
    network.tamper = FORGERIES[mutation];
  }
}

/** Private part of a keeper process. */
interface Handled {
  handler: { roster?: Roster; restoredVersion: number; isIntact: boolean };
}

/** State of the handler of a keeper that runs. */
function handlerOf(keeper: KeeperProcess | undefined): Handled['handler'] | undefined {
  return (keeper as unknown as Partial<Handled> | undefined)?.handler;
}
