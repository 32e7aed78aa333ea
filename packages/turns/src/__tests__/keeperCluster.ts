import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { MemoryEventLog } from '@marjorampin/logging';
import { loadHash } from '@marjorampin/membership';
import { Metrics } from '@marjorampin/metrics';
import { type EndpointReport, PeerHandler, PeerPool, type Reply } from '@marjorampin/protocol';
import { MemoryKeyValueStore } from '@marjorampin/store';
import { SystemClock } from '@marjorampin/types';
import type { DurableLog } from '../durableLog';
import { KeeperProcess } from '../keeperProcess';
import { RetirementOrders } from '../rosterMaintainer';
import { parseRoster, ROSTER_KEY } from '../rosterRecord';
import { TurnStore } from '../turnStore';

const clock = new SystemClock();

const OCTET = 256;
const { pid } = process;
/** Loopback address that only this process uses: on a shared one, another process may take the port of
 * a keeper while it restarts. */
export const HOST = `127.64.${Math.floor(pid / OCTET) % OCTET}.${1 + (pid % (OCTET - 2))}`;

class ClientHandler extends PeerHandler {
  override async handle(): Promise<Reply> {
    throw new Error('the client handles no requests');
  }

  override handleReport(_: EndpointReport): void {}
}

/** Retirement orders that a test issues. */
export class TestRetirementOrders extends RetirementOrders {
  private isIssued = false;

  readonly reports: string[] = [];

  /** Orders the host to be retired. */
  issue(): void {
    this.isIssued = true;
  }

  override isOrdered(): boolean {
    return this.isIssued;
  }

  override async report(state: 'running' | 'completed'): Promise<boolean> {
    this.reports.push(state);
    return true;
  }
}

/** A keeper under test. */
export interface TestKeeper {
  process: KeeperProcess;
  folder: string;
  orders: TestRetirementOrders;
  port: number;
}

/** Keeper processes on the loopback interface with an in-memory store. */
export class KeeperCluster {
  readonly store = new MemoryKeyValueStore();

  readonly log = new MemoryEventLog();

  readonly keepers = new Map<string, TestKeeper>();

  private readonly pools: PeerPool[] = [];

  private readonly turnStores: TurnStore[] = [];

  private readonly lossLimit: number;

  private readonly removalAfterMs: number | undefined;

  constructor({
    lossLimit = 1,
    removalAfterMs,
  }: { lossLimit?: number; removalAfterMs?: number } = {}) {
    this.lossLimit = lossLimit;
    this.removalAfterMs = removalAfterMs;
  }

  /** Starts a keeper; a restarted one reuses its port, and its folder unless it was wiped. */
  async start(id: string, { isFirstStart = true } = {}): Promise<TestKeeper> {
    const existing = this.keepers.get(id);
    const folder = existing?.folder ?? (await mkdtemp(join(tmpdir(), 'keeper-')));
    const orders = existing?.orders ?? new TestRetirementOrders();
    const keeperProcess = new KeeperProcess({
      id,
      domain: id,
      address: { host: HOST, port: existing?.port ?? 0 },
      folder,
      isFirstStart,
      lossLimit: this.lossLimit,
      removalAfterMs: this.removalAfterMs,
      store: this.store,
      readTimes: { intervalMs: 20, gatheringMs: 2, timeoutMs: 500 },
      retirement: orders,
      clock,
      log: this.log,
      metrics: new Metrics(),
    });
    const port = await keeperProcess.start();
    const keeper = { process: keeperProcess, folder, orders, port };
    this.keepers.set(id, keeper);
    return keeper;
  }

  /** Stops a keeper; its folder stays. */
  async stop(id: string): Promise<void> {
    await this.keepers.get(id)?.process.stop();
  }

  /** Stops a keeper and deletes its folder. */
  async wipe(id: string): Promise<void> {
    await this.stop(id);
    await rm(this.keepers.get(id)?.folder ?? '', { recursive: true });
  }

  /** Makes all further writes to a keeper's disk hang. */
  stallDisk(id: string): void {
    const { durableLog } = this.keepers.get(id)?.process as unknown as { durableLog: DurableLog };
    durableLog.append = () =>
      new Promise(() => {
        // Never settles.
      });
  }

  /** Waits until the stored roster lists exactly these keepers and all of them are complete. */
  async untilRestored(ids: string[]): Promise<void> {
    const expected = JSON.stringify([...ids].sort());
    while (true) {
      const stored = await this.store.get(ROSTER_KEY);
      const roster = stored.ok && stored.val && parseRoster(stored.val.value, stored.val.version);
      const members = roster ? roster.keepers.map(({ id }) => id).sort() : [];
      const areComplete = ids.every((id) => this.keepers.get(id)?.process.isComplete);
      if (JSON.stringify(members) === expected && areComplete) return;
      await clock.sleep(20);
    }
  }

  /** Creates the connections of an entry. */
  createPool(): PeerPool {
    const peers = new PeerPool({ handler: new ClientHandler(), clock });
    this.pools.push(peers);
    return peers;
  }

  /** Creates a turn store as an entry uses it. */
  async createTurnStore({ peers = this.createPool() } = {}): Promise<TurnStore> {
    const hash = await loadHash();
    const { log, lossLimit } = this;
    const turns = new TurnStore({ peers, hash, lossLimit, domain: 'a', clock, log });
    this.turnStores.push(turns);
    await this.adoptStoredRoster(turns);
    return turns;
  }

  /** Passes the stored roster to a turn store. */
  async adoptStoredRoster(turns: TurnStore): Promise<void> {
    const stored = await this.store.get(ROSTER_KEY);
    if (stored.err || !stored.val) throw new Error('no roster is stored');
    const roster = parseRoster(stored.val.value, stored.val.version);
    if (roster) turns.adopt(roster);
  }

  /** Stops everything and removes the folders. */
  async close(): Promise<void> {
    this.turnStores.forEach((turns) => turns.stop());
    this.pools.forEach((pool) => pool.close());
    for (const { process, folder } of this.keepers.values()) {
      await process.stop();
      await rm(folder, { recursive: true, force: true });
    }
  }
}
