/** Keepers with simulated time, of which a test selects the reachable ones. */
import { mkdtemp, readdir, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { create } from '@bufbuild/protobuf';
import { MemoryEventLog } from '@marjorampin/logging';
import { loadHash } from '@marjorampin/membership';
import {
  type PeerConnections,
  type Reply,
  ReplySchema,
  RequestSchema,
  type Roster,
  RosterSchema,
} from '@marjorampin/protocol';
import { StoreError } from '@marjorampin/store';
import { CallError, Err, ManualClock } from '@marjorampin/types';
import { compactLog } from '../compactLog';
import { DurableLog } from '../durableLog';
import { KeeperHandler } from '../keeperHandler';
import { ProgramTable } from '../programTable';
import { replayEvents } from '../replayEvents';
import { TurnStore } from '../turnStore';

const LOSS_LIMIT = 1;
/** Interval of the removal of expired data in a keeper process. */
const COMPACTION_INTERVAL_MS = 5_000;
/** Small, so that a test fills several segments. */
const SEGMENT_BYTES = 300;

const hash = await loadHash();

interface SimulatedKeeper {
  folder: string;
  table: ProgramTable;
  durableLog: DurableLog;
  handler: KeeperHandler;
}

/** Keepers `a`, `b` and `c`, and entries that use them. */
export class ReachableKeepers {
  readonly clock = new ManualClock();

  /** Ids of the keepers that reply. */
  readonly reachable = new Set(['a', 'b', 'c']);

  private readonly roster: Roster;

  private readonly keepers = new Map<string, SimulatedKeeper>();

  constructor() {
    const keepers = [...this.reachable].map((id) => ({ id, address: id, domain: id, disk: id }));
    this.roster = create(RosterSchema, { version: 1, keepers });
  }

  /** Starts all keepers with empty disks. */
  async start(): Promise<void> {
    await Promise.all(
      [...this.reachable].map(async (id) =>
        this.startKeeper(id, await mkdtemp(join(tmpdir(), 'keeper-'))),
      ),
    );
  }

  /** Stops all keepers and removes their disks. */
  async close(): Promise<void> {
    await Promise.all(
      [...this.keepers.values()].map(async ({ durableLog, folder }) => {
        await durableLog.close();
        await rm(folder, { recursive: true });
      }),
    );
  }

  /** Returns a new turn store, as an entry in the failure domain of a keeper uses it. */
  createTurnStore(domain = 'a'): TurnStore {
    const peers: PeerConnections = {
      get: (address) => ({ call: (body) => this.call(address, body) }),
      drop: () => undefined,
    };
    const { clock } = this;
    const log = new MemoryEventLog();
    const store = new TurnStore({ peers, hash, lossLimit: LOSS_LIMIT, domain, clock, log });
    store.adopt(this.roster);
    return store;
  }

  /** Restarts a keeper with what is on its disk. */
  async restart(id: string): Promise<void> {
    const keeper = this.keeper(id);
    await keeper.durableLog.close();
    await this.startKeeper(id, keeper.folder);
  }

  /** Returns the number of segments on the disk of a keeper. */
  async segmentCount(id: string): Promise<number> {
    return (await readdir(this.keeper(id).folder)).length;
  }

  /** Returns the number of reservations that a keeper got from entries after other keepers. */
  addedReservations(id: string): number {
    return this.keeper(id).handler.addedReservations;
  }

  /** Makes all further writes to a keeper's disk fail. */
  failDisk(id: string): void {
    this.keeper(id).durableLog.append = () => Promise.reject(new Error('the disk is full'));
  }

  /** Advances the time; keepers remove expired data in between. */
  async advance(ms: number): Promise<void> {
    const untilMs = this.clock.now() + ms;
    while (this.clock.now() < untilMs) {
      await this.clock.advance(Math.min(COMPACTION_INTERVAL_MS, untilMs - this.clock.now()));
      const compactions = [...this.keepers.values()].map(({ table, durableLog }) =>
        compactLog({ table, durableLog, clock: this.clock }),
      );
      await Promise.allSettled(compactions);
    }
  }

  private keeper(id: string): SimulatedKeeper {
    const keeper = this.keepers.get(id);
    if (!keeper) throw new Error(`unknown keeper ${id}`);
    return keeper;
  }

  private async startKeeper(id: string, folder: string): Promise<void> {
    const table = new ProgramTable();
    const log = new MemoryEventLog();
    const durableLog = new DurableLog({ folder, log, segmentBytes: SEGMENT_BYTES });
    replayEvents(table, await durableLog.replay(), this.clock);
    const unavailable = new StoreError({ kind: 'unavailable', message: 'there is no store' });
    const handler = new KeeperHandler({
      table,
      durableLog,
      clock: this.clock,
      hash,
      lossLimit: LOSS_LIMIT,
      listValues: async () => Err(unavailable),
    });
    handler.adopt(this.roster);
    handler.markRestored(this.roster.version);
    this.keepers.set(id, { folder, table, durableLog, handler });
  }

  private async call(id: string, body: Parameters<ReturnType<PeerConnections['get']>['call']>[0]) {
    if (!this.reachable.has(id)) {
      throw new CallError({ kind: 'connection-lost', message: `keeper ${id} is down` });
    }
    const keeper = this.keeper(id);
    const request = create(RequestSchema, { body: body ?? { case: undefined } });
    const reply: Reply = create(ReplySchema, await keeper.handler.handle(request));
    return reply;
  }
}
