/** Keepers with simulated time, of which a test selects the reachable ones. */
import { create } from '@bufbuild/protobuf';
import { MemoryEventLog } from '@marjorampin/logging';
import { loadHash } from '@marjorampin/membership';
import {
  type KeptEvent,
  type PeerConnections,
  type Reply,
  ReplySchema,
  RequestSchema,
  type Roster,
  RosterSchema,
} from '@marjorampin/protocol';
import { StoreError } from '@marjorampin/store';
import { CallError, Err, ManualClock } from '@marjorampin/types';
import { KeeperHandler } from '../keeperHandler';
import { ProgramTable } from '../programTable';
import { replayEvent } from '../replayEvent';
import { TurnStore } from '../turnStore';

const LOSS_LIMIT = 1;
/** Interval of the removal of expired data in a keeper process. */
const EXPIRY_INTERVAL_MS = 5_000;

const hash = await loadHash();

interface SimulatedKeeper {
  table: ProgramTable;
  handler: KeeperHandler;
  /** All events on its disk. */
  events: KeptEvent[];
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
    this.reachable.forEach((id) => this.start(id, []));
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

  /** Restarts a keeper with the events on its disk. */
  restart(id: string): void {
    this.start(id, this.keepers.get(id)?.events ?? []);
  }

  /** Advances the time; keepers remove expired data in between. */
  async advance(ms: number): Promise<void> {
    const untilMs = this.clock.now() + ms;
    while (this.clock.now() < untilMs) {
      await this.clock.advance(Math.min(EXPIRY_INTERVAL_MS, untilMs - this.clock.now()));
      this.keepers.forEach(({ table }) => table.expire(this.clock.now()));
    }
  }

  private start(id: string, events: KeptEvent[]): void {
    const table = new ProgramTable();
    events.forEach((event) => replayEvent(table, event, this.clock));
    const durableLog = {
      append: async (event: KeptEvent) => {
        events.push(event);
      },
    };
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
    this.keepers.set(id, { table, handler, events });
  }

  private async call(id: string, body: Parameters<ReturnType<PeerConnections['get']>['call']>[0]) {
    const keeper = this.keepers.get(id);
    if (!keeper || !this.reachable.has(id)) {
      throw new CallError({ kind: 'connection-lost', message: `keeper ${id} is down` });
    }
    const request = create(RequestSchema, { body: body ?? { case: undefined } });
    const reply: Reply = create(ReplySchema, await keeper.handler.handle(request));
    return reply;
  }
}
