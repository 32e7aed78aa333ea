import type { EventLog } from '@marjorampin/logging';
import type { Hash } from '@marjorampin/membership';
import type {
  Keeper,
  Peers,
  Reply,
  RequestBody,
  Reservation,
  Reservations,
  Roster,
  TurnRecord,
} from '@marjorampin/protocol';
import { CallError, type Clock } from '@marjorampin/types';
import { KeeperReach } from './keeperReach';
import { TurnCache } from './turnCache';
import { wholeChain } from './turnChain';
import { byTurn, TurnReader } from './turnReader';
import { keepersUnavailable } from './keepersUnavailable';
import { askQuorum, QUORUM_TIMEOUT_MS } from './askQuorum';
import { newestOf } from './programBook';
import { activeKeepers, groupOf, quorumSize } from './keeperGroup';

/** The rest of a group is asked after this long: several round trips and syncs. */
const HEDGE_MS = 40;
/** Keepers are not ready for some ten milliseconds after each change of their roster. */
const QUORUM_PATIENCE_MS = 1_000;
const QUORUM_PAUSE_MS = 20;
/** A settlement is repeated while keepers restart; together as long as a restart takes. */
const SETTLE_ATTEMPTS = 6;
const SETTLE_PAUSE_MS = 250;

/** What one turn needs reserved before it may run. */
export interface TurnReservation {
  program: string;
  turn: string;
  /** The most tokens that the turn can generate. */
  tokens: number;
  /** Tokens that all turns of the program may generate. */
  budget: number;
  /** Turn that the new one continues; undefined for the first of a line. */
  previous: string | undefined;
  retentionMs: number;
}

/** What the entries' side of the keepers needs. */
export interface TurnStoreOptions {
  peers: Peers;
  hash: Hash;
  lossLimit: number;
  /** Failure domain of this process; its keepers are asked first. */
  domain: string;
  clock: Clock;
  log: EventLog;
  /** Turns that this process remembers to save reads. */
  cacheBytes?: number;
}

/** The request body of a roster version. */
type Versioned = (rosterVersion: number) => RequestBody;

const CACHE_BYTES = 24 * 1024 * 1024;

/** Turns and budgets as entries see them: every write is on the disks of a majority of a group. */
export class TurnStore {
  private readonly options: TurnStoreOptions;

  private readonly cache: TurnCache;

  private roster: Roster | undefined;

  private readonly reach: KeeperReach;

  private readonly reader: TurnReader;

  constructor(options: TurnStoreOptions) {
    this.options = options;
    const { clock, log, lossLimit, peers } = options;
    this.reach = new KeeperReach({
      clock,
      log,
      lossLimit,
      roster: () => this.roster,
      silentMs: ({ address }) => peers.get(address).silentMs,
    });
    this.reader = new TurnReader({ peers, lossLimit, adopt: (roster) => this.adopt(roster) });
    this.cache = new TurnCache(options.cacheBytes ?? CACHE_BYTES);
  }

  /** Takes over a roster if it is newer, and opens connections to its keepers. */
  adopt(roster: Roster): void {
    if (this.roster && this.roster.version >= roster.version) return;
    const addresses = new Set(roster.keepers.map(({ address }) => address));
    this.roster?.keepers
      .filter(({ address }) => !addresses.has(address))
      .forEach(({ address }) => this.options.peers.drop(address));
    addresses.forEach((address) => this.options.peers.get(address));
    this.roster = roster;
  }

  /** Watches the way to the keepers until `stop`. */
  async run(): Promise<void> {
    await this.reach.run();
  }

  /** Ends what `run` began. */
  stop(): void {
    this.reach.stop();
  }

  /** Returns true while a roster is known and enough of its keepers answer. */
  get isReady(): boolean {
    return this.roster !== undefined && !this.reach.isCutOff;
  }

  /**
   * Reserves a turn's tokens and returns the turns that it continues, oldest first.
   * Throws `budget-exhausted`, `unknown-turn`, or `keepers-unavailable`; none of them ran the turn.
   */
  async reserve(request: TurnReservation): Promise<TurnRecord[]> {
    try {
      return await this.reserveAndRead(request);
    } catch (error) {
      // Some keepers may hold a reservation of a turn that will never run.
      this.settle(request, 0);
      throw error;
    }
  }

  /** Writes a turn that was answered whole; resolves once it can't be lost. */
  async commit(record: TurnRecord): Promise<void> {
    const body: Versioned = (rosterVersion) => ({
      case: 'commitTurn',
      value: { rosterVersion, record },
    });
    await this.atQuorum(record.program, () => body, isAccepted);
    this.cache.add(record);
  }

  /** Replaces a reservation by what the turn used; a lost message leaves it reserved. */
  async settle(
    { program, turn, retentionMs }: Pick<TurnReservation, 'program' | 'turn' | 'retentionMs'>,
    tokens: number,
  ): Promise<void> {
    const body: Versioned = (rosterVersion) => ({
      case: 'settleTokens',
      value: {
        rosterVersion,
        program,
        reservation: { turn, tokens, settled: true },
        retentionMs,
      },
    });
    for (let attempt = 1; attempt <= SETTLE_ATTEMPTS; attempt += 1) {
      const isSettled = await this.atQuorum(program, () => body, isAccepted).then(
        () => true,
        () => false,
      );
      if (isSettled) return;
      await this.options.clock.sleep(SETTLE_PAUSE_MS * attempt);
    }
    // The reservation stays counted as a whole, which is safe, until the program expires.
    this.options.log.write('settlementLost', { program, turn, tokens });
  }

  private async reserveAndRead(request: TurnReservation): Promise<TurnRecord[]> {
    // Another entry may reach them, so that the caller should not wait here.
    if (this.reach.isCutOff) throw keepersUnavailable('this entry is cut off from the keepers');
    const { previous } = request;
    const cached = previous === undefined ? [] : this.cache.chain(previous);
    const answers = await this.reserveAtQuorum(request, cached === undefined);
    const first = othersOf(answers, request.turn);
    // Turns at once through different majorities may each miss one that the others see. Once all of
    // them are written, the last one sees all; alone, none can be missed.
    const isAlone = first.every(({ settled }) => settled);
    const others = isAlone
      ? first
      : othersOf(await this.reserveAtQuorum(request, false), request.turn);
    const spent = others.reduce((sum, { tokens }) => sum + tokens, 0);
    if (spent + request.tokens > request.budget) {
      const message = `${spent} of ${request.budget} tokens are spent or reserved, and the turn may need ${request.tokens}; end the program or raise its budget`;
      throw new CallError({ kind: 'budget-exhausted', message });
    }
    return cached ?? (await this.findChain(previous ?? '', answers));
  }

  private async reserveAtQuorum(
    { program, turn, tokens, previous = '', retentionMs }: TurnReservation,
    wantsChain: boolean,
  ): Promise<Reservations[]> {
    const answers = await this.atQuorum(
      program,
      (index) => (rosterVersion) => ({
        case: 'reserveTokens',
        value: {
          rosterVersion,
          program,
          reservation: { turn, tokens },
          retentionMs,
          previous,
          wantsChain: wantsChain && index === 0,
        },
      }),
      (reply) => reply.body.case === 'reservations' && reply.body.value.complete,
    );
    return answers.flatMap(({ body }) => (body.case === 'reservations' ? [body.value] : []));
  }

  private async findChain(previous: string, answers: Reservations[]): Promise<TurnRecord[]> {
    const brought = answers.flatMap((answer) => answer.chain);
    const chain =
      wholeChain(byTurn(brought), previous) ??
      (await this.reader.read(this.knownRoster(), previous, brought));
    chain.forEach((record) => this.cache.add(record));
    return chain;
  }

  /** Sends a request to the keepers of a program until a majority has answered as wanted. */
  private async atQuorum(
    program: string,
    bodyFor: (index: number) => Versioned,
    isWanted: (reply: Reply) => boolean,
  ): Promise<Reply[]> {
    const { clock } = this.options;
    const giveUpAtMs = clock.now() + QUORUM_PATIENCE_MS;
    while (true) {
      const roster = this.knownRoster();
      try {
        return await this.askGroup(roster, program, bodyFor, isWanted);
      } catch (error) {
        if (clock.now() >= giveUpAtMs) throw error;
        const hasNewer = (this.roster?.version ?? 0) > roster.version;
        if (!hasNewer) await clock.sleep(QUORUM_PAUSE_MS);
      }
    }
  }

  private askGroup(
    roster: Roster,
    program: string,
    bodyFor: (index: number) => Versioned,
    isWanted: (reply: Reply) => boolean,
  ): Promise<Reply[]> {
    const { peers, hash, lossLimit, clock } = this.options;
    const group = this.nearestFirst(groupOf(roster, program, { lossLimit, hash }));
    return askQuorum({
      group,
      needed: quorumSize(group.length),
      hedgeMs: HEDGE_MS,
      timeoutMs: QUORUM_TIMEOUT_MS,
      clock,
      ask: async (keeper, index) => {
        const body = bodyFor(index)(roster.version);
        const reply = await peers
          .get(keeper.address)
          .call(body, { progressTimeoutMs: QUORUM_TIMEOUT_MS });
        if (reply.body.case === 'newerRoster') this.adopt(reply.body.value);
        if (isWanted(reply)) return reply;
        throw new Error(`keeper ${keeper.id} is not ready: ${reply.body.case ?? 'empty'}`);
      },
    });
  }

  /** Puts silent keepers last, and those of the own domain before those of others. */
  private nearestFirst(group: Keeper[]): Keeper[] {
    const { domain } = this.options;
    const cost = (keeper: Keeper) =>
      (this.reach.isSilent(keeper.id) ? 2 : 0) + (keeper.domain === domain ? 0 : 1);
    return group
      .map((keeper) => ({ keeper, cost: cost(keeper) }))
      .sort((a, b) => a.cost - b.cost)
      .map(({ keeper }) => keeper);
  }

  private knownRoster(): Roster {
    if (this.roster && activeKeepers(this.roster).length > 0) return this.roster;
    throw keepersUnavailable('no roster of keepers is known yet');
  }
}

function isAccepted({ body }: Reply): boolean {
  return body.case === 'acknowledgement' && body.value.accepted;
}

/** Returns what is reserved or used by the other turns of a program. */
function othersOf(answers: Reservations[], own: string): Reservation[] {
  const newest = new Map<string, Reservation>();
  answers
    .flatMap(({ others }) => others)
    .forEach((each) => newest.set(each.turn, newestOf(each, newest.get(each.turn))));
  newest.delete(own);
  return [...newest.values()];
}
