/** Simulated keepers, disks and messages whose steps fast-check interleaves. */
import { create } from '@bufbuild/protobuf';
import type { Hash } from '@marjorampin/membership';
import {
  type KeptEvent,
  type PeerConnection,
  type PeerConnections,
  type Reply,
  ReplySchema,
  type RequestBody,
  RequestSchema,
  type Roster,
  RosterSchema,
} from '@marjorampin/protocol';
import { StoreError } from '@marjorampin/store';
import { CallError, type Clock, Err } from '@marjorampin/types';
import type fc from 'fast-check';
import { countUnavailable, nextCopies, unreadLimit } from '../copyHolders';
import { KeeperHandler } from '../keeperHandler';
import { ProgramTable } from '../programTable';
import { replayEvents } from '../replayEvents';
import { restoreFromPeers } from '../restoration';

/** Outcome of sending one message. */
export type Delivery = 'delivered' | 'request-lost' | 'reply-lost' | 'delayed';

/** Defects of an implementation, each of which the property must detect. */
export type Mutation =
  | 'none'
  | 'acknowledges writes before the sync'
  | 'acknowledges lost requests'
  | 'treats a wiped keeper as complete'
  | 'omits other reservations from replies';

const LOSS_LIMIT = 1;
/** Ids of all keepers. */
export const KEEPERS = ['a', 'b', 'c'];

const unavailable = () =>
  new StoreError({ kind: 'unavailable', message: 'the simulation has no store' });

/** A disk that loses what was not synced when the power fails. */
class SimulatedDisk {
  synced: KeptEvent[] = [];

  private unsynced = new Set<KeptEvent>();

  private readonly scheduler: fc.Scheduler;

  private readonly awaitsSync: boolean;

  constructor(scheduler: fc.Scheduler, mutation: Mutation) {
    this.scheduler = scheduler;
    this.awaitsSync = mutation !== 'acknowledges writes before the sync';
  }

  async append(event: KeptEvent): Promise<void> {
    this.unsynced.add(event);
    const written = this.scheduler.schedule(Promise.resolve()).then(() => {
      if (this.unsynced.delete(event)) this.synced.push(event);
      else throw new Error('the power failed before the sync');
    });
    written.catch(() => undefined);
    if (this.awaitsSync) await written;
  }

  failPower(): void {
    this.unsynced.clear();
  }

  wipe(): void {
    this.failPower();
    this.synced = [];
  }
}

interface SimulatedKeeper {
  disk: SimulatedDisk;
  diskId: string;
  handler: KeeperHandler;
  /** Number of the current start; replies from earlier starts are lost. */
  startNumber: number;
  isUp: boolean;
  /** Whether the disk was never lost, or its data has been restored. */
  isIntact: boolean;
  restoredVersion: number;
}

/** Three keepers, of which one may lose its disk at a time. */
export class SimulatedKeepers {
  /** Roster in the platform's store. */
  roster: Roster = create(RosterSchema, {
    version: 1,
    keepers: KEEPERS.map((id) => ({ id, address: id, domain: id, disk: id })),
  });

  private readonly keepers = new Map<string, SimulatedKeeper>();

  private readonly brokenLinks = new Set<string>();

  private readonly clock: Clock;

  private readonly hash: Hash;

  private readonly mutation: Mutation;

  private readonly scheduler: fc.Scheduler;

  private readonly deliveries: Delivery[];

  constructor(options: {
    clock: Clock;
    hash: Hash;
    mutation: Mutation;
    scheduler: fc.Scheduler;
    deliveries: Delivery[];
  }) {
    this.clock = options.clock;
    this.hash = options.hash;
    this.mutation = options.mutation;
    this.scheduler = options.scheduler;
    this.deliveries = [...options.deliveries];
    KEEPERS.forEach((id) => {
      const disk = new SimulatedDisk(this.scheduler, this.mutation);
      const { version } = this.roster;
      const keeper: SimulatedKeeper = {
        disk,
        diskId: id,
        handler: this.createHandler(disk, id),
        startNumber: 1,
        isUp: true,
        isIntact: true,
        restoredVersion: version,
      };
      this.keepers.set(id, keeper);
      this.initialize(id, keeper);
    });
  }

  /** Returns the connections of an entry or a keeper to all keepers. */
  peersOf(client: string): PeerConnections {
    return {
      get: (address): PeerConnection => ({
        call: (body) => this.send(client, address, body ?? { case: undefined }),
      }),
      drop: () => undefined,
    };
  }

  /** Cuts the power of a keeper, which restarts with its synced events. */
  async crash(id: string): Promise<void> {
    const keeper = this.keeper(id);
    keeper.disk.failPower();
    await this.restart(id, keeper);
  }

  /** Destroys the disk of a keeper, unless the data of a lost disk has not been restored yet. */
  async wipe(id: string): Promise<void> {
    if ([...this.keepers.values()].some(({ isIntact }) => !isIntact)) return;
    const keeper = this.keeper(id);
    keeper.disk.wipe();
    keeper.diskId = `${keeper.diskId}'`;
    keeper.isIntact = this.mutation === 'treats a wiped keeper as complete';
    if (!keeper.isIntact) keeper.restoredVersion = -1;
    await this.restart(id, keeper);
    await this.scheduler.schedule(Promise.resolve());
    this.register(id, keeper);
  }

  /** Drops all messages from an entry to a keeper until `heal`. */
  disconnect(client: string, keeper: string): void {
    this.brokenLinks.add(`${client} ${keeper}`);
  }

  /** Repairs all links; from now on, every message is delivered. */
  heal(): void {
    this.brokenLinks.clear();
    this.deliveries.length = 0;
  }

  /** Copies the data assigned to a keeper under its newest roster. */
  async restore(id: string): Promise<void> {
    const keeper = this.keeper(id);
    const { handler, startNumber } = keeper;
    this.register(id, keeper);
    const { roster } = handler;
    if (!roster || handler.isComplete || this.isListedWithLostDisk(id, roster)) return;
    const isRestored = await restoreFromPeers({
      roster,
      self: { id, ...handler.status },
      lossLimit: LOSS_LIMIT,
      nowMs: this.clock.wallTime(),
      peers: this.peersOf(id),
      importProgram: (copy) => handler.importProgram(copy),
      importTurns: (records) => handler.importTurns(records),
    });
    if (!isRestored || keeper.startNumber !== startNumber) return;
    keeper.isIntact = true;
    keeper.restoredVersion = Math.max(keeper.restoredVersion, roster.version);
    handler.markRestored(roster.version);
  }

  /** Passes the stored roster to a keeper. */
  adoptStoredRoster(id: string): void {
    this.keeper(id).handler.adopt(this.roster);
    this.register(id, this.keeper(id));
  }

  private isListedWithLostDisk(id: string, roster: Roster): boolean {
    return roster.keepers.some((each) => each.id === id && each.disk !== this.keeper(id).diskId);
  }

  /** Lists the new disk of a keeper in the stored roster, unless no keeper could restore its data under
   * that; it is tried again later. */
  private register(id: string, { diskId, handler, isUp }: SimulatedKeeper): void {
    const { roster } = this;
    if (!isUp || !this.isListedWithLostDisk(id, roster)) return;
    const keepers = roster.keepers.map((each) =>
      each.id === id ? { ...each, disk: diskId } : each,
    );
    const up = [...this.keepers].filter(([, keeper]) => keeper.isUp);
    const replies = new Map(up.map(([each, keeper]) => [each, keeper.handler.status]));
    const nowMs = this.clock.wallTime();
    const copies = nextCopies({ roster, keepers, replies, lossLimit: LOSS_LIMIT, nowMs });
    if (countUnavailable(copies, replies, nowMs) > unreadLimit(copies)) return;
    this.roster = create(RosterSchema, { version: roster.version + 1, keepers, ...copies });
    handler.adopt(this.roster);
  }

  private initialize(id: string, keeper: SimulatedKeeper): void {
    const { handler, isIntact, restoredVersion } = keeper;
    if (isIntact) handler.markRestored(restoredVersion);
    handler.onRoster(() => {
      this.restore(id).catch(() => undefined);
    });
    handler.adopt(this.roster);
  }

  private keeper(id: string): SimulatedKeeper {
    const keeper = this.keepers.get(id);
    if (!keeper) throw new Error(`unknown keeper ${id}`);
    return keeper;
  }

  private createHandler(disk: SimulatedDisk, diskId: string): KeeperHandler {
    const table = new ProgramTable();
    replayEvents(table, disk.synced, this.clock);
    const { clock, hash } = this;
    const listValues = async () => Err(unavailable());
    const lossLimit = LOSS_LIMIT;
    const options = { table, durableLog: disk, clock, hash, lossLimit, listValues };
    return Object.assign(new KeeperHandler(options), { disk: diskId });
  }

  private async restart(id: string, keeper: SimulatedKeeper): Promise<void> {
    Object.assign(keeper, { isUp: false, startNumber: keeper.startNumber + 1 });
    const { startNumber } = keeper;
    await this.scheduler.schedule(Promise.resolve());
    if (keeper.startNumber !== startNumber) return;
    Object.assign(keeper, {
      handler: this.createHandler(keeper.disk, keeper.diskId),
      isUp: true,
    });
    this.initialize(id, keeper);
  }

  private async send(client: string, id: string, body: NonNullable<RequestBody>): Promise<Reply> {
    const delivery = this.brokenLinks.has(`${client} ${id}`)
      ? 'request-lost'
      : this.deliveries.shift();
    await this.scheduler.schedule(Promise.resolve());
    const isLost = delivery === 'request-lost';
    if (isLost && this.mutation === 'acknowledges lost requests') return forgedReply(body);
    if (isLost) throw messageLost();
    if (delivery === 'delayed') {
      this.scheduler
        .schedule(Promise.resolve())
        .then(() => this.deliver(id, body))
        .catch(() => undefined);
      throw messageLost();
    }
    const reply = await this.deliver(id, body);
    await this.scheduler.schedule(Promise.resolve());
    if (delivery === 'reply-lost') throw messageLost();
    return reply;
  }

  private async deliver(id: string, body: RequestBody): Promise<Reply> {
    const keeper = this.keeper(id);
    const { startNumber, handler } = keeper;
    if (!keeper.isUp) throw messageLost();
    const reply = create(ReplySchema, await handler.handle(create(RequestSchema, { body })));
    if (keeper.startNumber !== startNumber) throw messageLost();
    if (
      this.mutation === 'omits other reservations from replies' &&
      reply.body.case === 'reservations'
    ) {
      reply.body.value.others = [];
    }
    return reply;
  }
}

function messageLost(): CallError {
  return new CallError({ kind: 'connection-lost', message: 'the message was lost' });
}

function forgedReply(body: NonNullable<RequestBody>): Reply {
  if (body.case === 'reserveTokens') {
    return create(ReplySchema, { body: { case: 'reservations', value: { complete: true } } });
  }
  return create(ReplySchema, { body: { case: 'acknowledgement', value: { accepted: true } } });
}
