/** Keepers, disks and messages whose steps fast-check interleaves. */
import { create } from '@bufbuild/protobuf';
import type { Hash } from '@marjorampin/membership';
import {
  type KeptEvent,
  type PeerLink,
  type Peers,
  type Reply,
  ReplySchema,
  type RequestBody,
  RequestSchema,
  type Roster,
  RosterSchema,
} from '@marjorampin/protocol';
import { CallError, type Clock } from '@marjorampin/types';
import type fc from 'fast-check';
import { KeeperHandler } from '../keeperHandler';
import { ProgramBook } from '../programBook';
import { replayEvent } from '../replayEvent';
import { restoreFromPeers } from '../restoration';

/** What happens to one message. */
export type Fate = 'delivered' | 'request-lost' | 'answer-lost' | 'late';

/** Faults of an implementation, each of which the properties have to find. */
export type Mutation =
  | 'none'
  | 'acknowledges before the sync'
  | 'takes silence for an answer'
  | 'counts a wiped keeper as complete'
  | 'forgets what it reserved';

const LOSS_LIMIT = 1;
/** Ids of all keepers. */
export const KEEPERS = ['a', 'b', 'c'];

/** A disk that loses what was not synced when the power fails. */
class SimulatedDisk {
  synced: KeptEvent[] = [];

  private unsynced = new Set<KeptEvent>();

  private readonly scheduler: fc.Scheduler;

  private readonly isHonest: boolean;

  constructor(scheduler: fc.Scheduler, mutation: Mutation) {
    this.scheduler = scheduler;
    this.isHonest = mutation !== 'acknowledges before the sync';
  }

  async append(event: KeptEvent): Promise<void> {
    this.unsynced.add(event);
    const written = this.scheduler.schedule(Promise.resolve()).then(() => {
      if (this.unsynced.delete(event)) this.synced.push(event);
      else throw new Error('the power failed before the sync');
    });
    written.catch(() => undefined);
    if (this.isHonest) await written;
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
  /** Changes with each start, so that answers of an earlier life are lost. */
  life: number;
  isUp: boolean;
  /** The disk was not lost, or what it held was restored. */
  isIntact: boolean;
  restoredVersion: number;
}

/** Three keepers of which one disk may be lost at once. */
export class SimulatedKeepers {
  /** The roster as the platform's store holds it. */
  roster: Roster = create(RosterSchema, {
    version: 1,
    keepers: KEEPERS.map((id) => ({ id, address: id, domain: id, disk: id })),
  });

  private readonly keepers = new Map<string, SimulatedKeeper>();

  private readonly cut = new Set<string>();

  private readonly clock: Clock;

  private readonly hash: Hash;

  private readonly mutation: Mutation;

  private readonly scheduler: fc.Scheduler;

  private readonly fates: Fate[];

  constructor(options: {
    clock: Clock;
    hash: Hash;
    mutation: Mutation;
    scheduler: fc.Scheduler;
    fates: Fate[];
  }) {
    this.clock = options.clock;
    this.hash = options.hash;
    this.mutation = options.mutation;
    this.scheduler = options.scheduler;
    this.fates = [...options.fates];
    KEEPERS.forEach((id) => {
      const disk = new SimulatedDisk(this.scheduler, this.mutation);
      const { version } = this.roster;
      const keeper: SimulatedKeeper = {
        disk,
        diskId: id,
        handler: this.handlerOf(disk),
        life: 1,
        isUp: true,
        isIntact: true,
        restoredVersion: version,
      };
      this.keepers.set(id, keeper);
      this.begin(id, keeper);
    });
  }

  /** The ways of one side to all keepers. */
  peersOf(side: string): Peers {
    return {
      get: (address): PeerLink => ({
        silentMs: 0,
        call: (body) => this.send(side, address, body ?? { case: undefined }),
      }),
      drop: () => undefined,
    };
  }

  /** A keeper loses its power and comes back with what was synced. */
  async crash(id: string): Promise<void> {
    const keeper = this.keeper(id);
    keeper.disk.failPower();
    await this.restart(id, keeper);
  }

  /** A keeper loses its disk, unless another one has not made good such a loss yet. */
  async wipe(id: string): Promise<void> {
    if ([...this.keepers.values()].some(({ isIntact }) => !isIntact)) return;
    const keeper = this.keeper(id);
    keeper.disk.wipe();
    keeper.diskId = `${keeper.diskId}'`;
    keeper.isIntact = this.mutation === 'counts a wiped keeper as complete';
    if (!keeper.isIntact) keeper.restoredVersion = -1;
    await this.restart(id, keeper);
    await this.scheduler.schedule(Promise.resolve());
    this.register(id, keeper);
  }

  /** Messages between an entry and a keeper are lost until `heal`. */
  separate(side: string, keeper: string): void {
    this.cut.add(`${side} ${keeper}`);
  }

  /** Messages arrive again, and are not lost any more. */
  heal(): void {
    this.cut.clear();
    this.fates.length = 0;
  }

  /** Copies what is assigned to a keeper under the newest roster that it knows. */
  async restore(id: string): Promise<void> {
    const keeper = this.keeper(id);
    const { handler, life } = keeper;
    const { roster } = handler;
    if (!roster || handler.isComplete || this.listsLostDisk(id, roster)) return;
    const isRestored = await restoreFromPeers({
      roster,
      self: id,
      lossLimit: LOSS_LIMIT,
      losses: keeper.isIntact ? 0 : 1,
      peers: this.peersOf(id),
      accept: (copy) => handler.accept(copy),
      acceptTurns: (records) => handler.acceptTurns(records),
    });
    if (!isRestored || keeper.life !== life) return;
    keeper.isIntact = true;
    keeper.restoredVersion = Math.max(keeper.restoredVersion, roster.version);
    handler.completeUpTo(roster.version);
  }

  /** Shows a keeper the roster that is stored. */
  refresh(id: string): void {
    this.keeper(id).handler.adopt(this.roster);
  }

  private listsLostDisk(id: string, roster: Roster): boolean {
    return roster.keepers.some((each) => each.id === id && each.disk !== this.keeper(id).diskId);
  }

  /** Lists the new disk of a keeper in the stored roster. */
  private register(id: string, { diskId, handler }: SimulatedKeeper): void {
    const keepers = this.roster.keepers.map((each) =>
      each.id === id ? { ...each, disk: diskId } : each,
    );
    this.roster = create(RosterSchema, { version: this.roster.version + 1, keepers });
    handler.adopt(this.roster);
  }

  private begin(id: string, keeper: SimulatedKeeper): void {
    const { handler, isIntact, restoredVersion } = keeper;
    if (isIntact) handler.completeUpTo(restoredVersion);
    handler.onRoster(() => {
      this.restore(id).catch(() => undefined);
    });
    handler.adopt(this.roster);
  }

  private keeper(id: string): SimulatedKeeper {
    const keeper = this.keepers.get(id);
    if (!keeper) throw new Error(`no keeper ${id}`);
    return keeper;
  }

  private handlerOf(disk: SimulatedDisk): KeeperHandler {
    const book = new ProgramBook();
    disk.synced.forEach((event) => replayEvent(book, event, this.clock));
    const { clock, hash } = this;
    return new KeeperHandler({ book, disk, clock, hash, lossLimit: LOSS_LIMIT });
  }

  private async restart(id: string, keeper: SimulatedKeeper): Promise<void> {
    Object.assign(keeper, { isUp: false, life: keeper.life + 1 });
    const { life } = keeper;
    await this.scheduler.schedule(Promise.resolve());
    if (keeper.life !== life) return;
    Object.assign(keeper, { handler: this.handlerOf(keeper.disk), isUp: true });
    this.begin(id, keeper);
  }

  private async send(side: string, id: string, body: NonNullable<RequestBody>): Promise<Reply> {
    const fate = this.cut.has(`${side} ${id}`) ? 'request-lost' : this.fates.shift();
    await this.scheduler.schedule(Promise.resolve());
    const isLost = fate === 'request-lost';
    if (isLost && this.mutation === 'takes silence for an answer') return forgedReply(body);
    if (isLost) throw lost();
    if (fate === 'late') {
      this.scheduler
        .schedule(Promise.resolve())
        .then(() => this.deliver(id, body))
        .catch(() => undefined);
      throw lost();
    }
    const reply = await this.deliver(id, body);
    await this.scheduler.schedule(Promise.resolve());
    if (fate === 'answer-lost') throw lost();
    return reply;
  }

  private async deliver(id: string, body: RequestBody): Promise<Reply> {
    const keeper = this.keeper(id);
    const { life, handler } = keeper;
    if (!keeper.isUp) throw lost();
    const reply = create(ReplySchema, await handler.handle(create(RequestSchema, { body })));
    if (keeper.life !== life) throw lost();
    if (this.mutation === 'forgets what it reserved' && reply.body.case === 'reservations') {
      reply.body.value.others = [];
    }
    return reply;
  }
}

function lost(): CallError {
  return new CallError({ kind: 'connection-lost', message: 'the message was lost' });
}

function forgedReply(body: NonNullable<RequestBody>): Reply {
  if (body.case === 'reserveTokens') {
    return create(ReplySchema, { body: { case: 'reservations', value: { complete: true } } });
  }
  return create(ReplySchema, { body: { case: 'acknowledgement', value: { accepted: true } } });
}
