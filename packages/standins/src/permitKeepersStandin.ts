import { create } from '@bufbuild/protobuf';
import { type Hash, loadHash } from '@marjorampin/membership';
import {
  type GrantingKeepers,
  type Keeper,
  ReplySchema,
  RequestSchema,
  type Roster,
  RosterSchema,
} from '@marjorampin/protocol';
import { groupOf, KeeperHandler, ProgramTable } from '@marjorampin/turns';
import { CallError, type Clock } from '@marjorampin/types';

const LOSS_LIMIT = 1;
const NEVER = new Promise<never>(() => {
  // Never settles.
});

/** Options of `PermitKeepersStandin`. */
export interface PermitKeepersOptions {
  clock: Clock;
  /** Ids of the keepers; three by default. */
  ids?: string[];
}

/** Keepers without disks and network, which grant permits for rate-limited endpoints and tokens of the
 * allowances of client accounts. */
export class PermitKeepersStandin {
  private readonly clock: Clock;

  private readonly hash: Hash;

  private readonly handlers = new Map<string, KeeperHandler>();

  /** Ids of keepers that don't reply although they are reachable. */
  private readonly silent = new Set<string>();

  /** Clock times at which keepers lost the store, by id. */
  private readonly detachedAtMs = new Map<string, number>();

  /** Pairs of an entry and a keeper that don't reach each other. */
  private readonly cuts = new Set<string>();

  private roster = create(RosterSchema, { version: 0 });

  private isFirstStart = true;

  /** Outdated rosters, by entry. */
  private readonly outdated = new Map<string, Roster>();

  private constructor({ clock, ids = ['k0', 'k1', 'k2'] }: PermitKeepersOptions, hash: Hash) {
    this.clock = clock;
    this.hash = hash;
    this.setKeepers(ids);
    this.isFirstStart = false;
  }

  /** Creates the keepers. */
  static async create(options: PermitKeepersOptions): Promise<PermitKeepersStandin> {
    return new PermitKeepersStandin(options, await loadHash());
  }

  /**
   * Replaces the roster; a keeper that was not part of the previous one starts anew. Removed keepers
   * keep running with the previous roster, and `unaware` entries keep it until `updateAll` or until a
   * keeper replies with the new one.
   */
  setKeepers(ids: string[], unaware: string[] = []): void {
    unaware.forEach((entry) => this.outdated.set(entry, this.rosterOf(entry)));
    const previousIds = this.roster.keepers.map(({ id }) => id);
    const keepers = ids.map((id) => ({ id, address: id, domain: id, disk: id, leaving: false }));
    this.roster = create(RosterSchema, { version: this.roster.version + 1, keepers });
    previousIds.filter((id) => !ids.includes(id)).forEach((id) => this.detach(id));
    ids.forEach((id) => {
      if (!previousIds.includes(id)) this.restart(id);
      else if (!this.detachedAtMs.has(id)) this.handlers.get(id)?.adopt(this.roster);
    });
  }

  /** Cuts a keeper off from the store: it confirms its roster no more and reads no new one. */
  detach(id: string): void {
    if (!this.detachedAtMs.has(id)) this.detachedAtMs.set(id, this.clock.now());
  }

  /** Gives the current roster to all entries. */
  updateAll(): void {
    this.outdated.clear();
  }

  /** Restarts a keeper, which loses everything that is not on its disk. */
  restart(id: string): void {
    this.detachedAtMs.delete(id);
    const handler = new KeeperHandler({
      id,
      isFirstStart: this.isFirstStart,
      rosterAgeMs: () => this.clock.now() - (this.detachedAtMs.get(id) ?? this.clock.now()),
      table: new ProgramTable(),
      durableLog: { append: async () => undefined },
      clock: this.clock,
      hash: this.hash,
      lossLimit: LOSS_LIMIT,
      listValues: () => Promise.reject(new Error('the stand-in has no store')),
    });
    handler.adopt(this.roster);
    this.handlers.set(id, handler);
  }

  /** Makes a keeper silent, as one whose process is paused. */
  silence(id: string): void {
    this.silent.add(id);
  }

  /** Cuts an entry off from a keeper. */
  cut(entry: string, keeper: string): void {
    this.cuts.add(`${entry} ${keeper}`);
  }

  /** Ends all cuts, also those of keepers from the store. */
  heal(): void {
    this.cuts.clear();
    this.detachedAtMs.clear();
    this.handlers.forEach((handler) => handler.adopt(this.roster));
  }

  /** Returns the keepers as one entry sees them. */
  of(entry: string): GrantingKeepers {
    const isCut = ({ id }: Keeper) => this.cuts.has(`${entry} ${id}`);
    const rosterOf = () => this.rosterOf(entry);
    return {
      get roster() {
        return rosterOf();
      },
      ownersOf: (key) => groupOf(rosterOf(), key, { lossLimit: LOSS_LIMIT, hash: this.hash }),
      expectedMs: (keeper) => (isCut(keeper) ? Infinity : 0),
      callKeeper: async (keeper, body) => {
        const handler = this.handlers.get(keeper.id);
        if (!handler || isCut(keeper)) {
          throw new CallError({ kind: 'connection-lost', message: 'the keeper is cut off' });
        }
        if (this.silent.has(keeper.id)) return NEVER;
        const reply = await handler.handle(create(RequestSchema, { body }));
        if (reply.body?.case === 'newerRoster') this.outdated.delete(entry);
        return create(ReplySchema, reply);
      },
    };
  }

  private rosterOf(entry: string): Roster {
    return this.outdated.get(entry) ?? this.roster;
  }
}
