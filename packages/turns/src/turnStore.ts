import type { EventLog } from '@marjorampin/logging';
import type { Hash } from '@marjorampin/membership';
import type {
  Keeper,
  PeerConnections,
  Reply,
  RequestBody,
  Reservation,
  Reservations,
  Roster,
  TurnRecord,
} from '@marjorampin/protocol';
import { CallError, type Clock } from '@marjorampin/types';
import { KeeperMonitor } from './keeperMonitor';
import { TurnCache } from './turnCache';
import { completeChain } from './turnChain';
import { indexByTurn, TurnReader } from './turnReader';
import { keepersUnavailable } from './keepersUnavailable';
import { callQuorum, QUORUM_TIMEOUT_MS } from './callQuorum';
import { mergeReservations } from './programTable';
import { activeKeepers, groupOf, quorumSize } from './keeperGroup';

/** Delay before the remaining keepers of a group are called too. A responsive keeper replies sooner,
 * as the delay covers several round trips and syncs. */
const HEDGE_MS = 40;
/** Time for which a request to a quorum is retried. */
const QUORUM_RETRY_TIMEOUT_MS = 1_000;
/** Delay before each retry; after a roster change, keepers are not ready for about 10 ms. */
const QUORUM_RETRY_DELAY_MS = 20;
/** Attempts to write a settlement; their delays add up to the time of a keeper restart. */
const MAXIMUM_SETTLE_ATTEMPTS = 6;
const SETTLE_RETRY_DELAY_MS = 250;

/** Tokens that a turn reserves before it runs. */
export interface TurnReservation {
  program: string;
  turn: string;
  /** Maximum number of tokens that the turn can generate. */
  tokens: number;
  /** Tokens that all turns of the program may generate together. */
  budget: number;
  /** Turn that this one continues; undefined for the first turn of a chain. */
  previous: string | undefined;
  retentionMs: number;
}

/** Options of `TurnStore`. */
export interface TurnStoreOptions {
  peers: PeerConnections;
  hash: Hash;
  /** Number of keepers whose disks may be lost at once. */
  lossLimit: number;
  /** Failure domain of this process; its keepers are called first. */
  domain: string;
  clock: Clock;
  log: EventLog;
  /** Size limit of the cache of turns. */
  cacheBytes?: number;
}

/** Creates the body of a request for a roster version. */
type RequestFactory = (rosterVersion: number) => RequestBody;

const DEFAULT_CACHE_BYTES = 24 * 1024 * 1024;

/** Client of the keepers; a write succeeds once a majority of a program's group has it on disk. */
export class TurnStore {
  private readonly options: TurnStoreOptions;

  private readonly cache: TurnCache;

  private roster: Roster | undefined;

  private readonly monitor: KeeperMonitor;

  private readonly reader: TurnReader;

  constructor(options: TurnStoreOptions) {
    this.options = options;
    const { clock, log, lossLimit, peers } = options;
    this.monitor = new KeeperMonitor({
      clock,
      log,
      lossLimit,
      roster: () => this.roster,
      sinceReceivedMs: ({ address }) => peers.get(address).sinceReceivedMs,
    });
    this.reader = new TurnReader({ peers, lossLimit, adopt: (roster) => this.adopt(roster) });
    this.cache = new TurnCache(options.cacheBytes ?? DEFAULT_CACHE_BYTES);
  }

  /** Replaces the roster if the given one is newer, and connects to its keepers. */
  adopt(roster: Roster): void {
    if (this.roster && this.roster.version >= roster.version) return;
    const addresses = new Set(roster.keepers.map(({ address }) => address));
    this.roster?.keepers
      .filter(({ address }) => !addresses.has(address))
      .forEach(({ address }) => this.options.peers.drop(address));
    addresses.forEach((address) => this.options.peers.get(address));
    this.roster = roster;
  }

  /** Monitors the connections to the keepers until `stop`. */
  async run(): Promise<void> {
    await this.monitor.run();
  }

  /** Stops monitoring the connections. */
  stop(): void {
    this.monitor.stop();
  }

  /** Whether a roster is available and enough of its keepers respond. */
  get isReady(): boolean {
    return this.roster !== undefined && !this.monitor.isDisconnected;
  }

  /**
   * Reserves a turn's tokens and returns the turns that it continues, oldest first.
   * Throws `budget-exhausted`, `unknown-turn`, or `keepers-unavailable`; in each case, the turn has
   * not run.
   */
  async reserve(request: TurnReservation): Promise<TurnRecord[]> {
    try {
      return await this.reserveAndRead(request);
    } catch (error) {
      // Some keepers may have stored the reservation, although the turn will never run.
      this.settle(request, 0);
      throw error;
    }
  }

  /** Writes a completed turn; resolves once a majority of its keepers has synced it to disk. */
  async commit(record: TurnRecord): Promise<void> {
    const createBody: RequestFactory = (rosterVersion) => ({
      case: 'commitTurn',
      value: { rosterVersion, record },
    });
    await this.sendToQuorum(record.program, () => createBody, isAccepted);
    this.cache.add(record);
  }

  /** Replaces a turn's reservation with the tokens it used; if all attempts fail, it stays. */
  async settle(
    { program, turn, retentionMs }: Pick<TurnReservation, 'program' | 'turn' | 'retentionMs'>,
    tokens: number,
  ): Promise<void> {
    const createBody: RequestFactory = (rosterVersion) => ({
      case: 'settleTokens',
      value: {
        rosterVersion,
        program,
        reservation: { turn, tokens, settled: true },
        retentionMs,
      },
    });
    for (let attempt = 1; attempt <= MAXIMUM_SETTLE_ATTEMPTS; attempt += 1) {
      const isSettled = await this.sendToQuorum(program, () => createBody, isAccepted).then(
        () => true,
        () => false,
      );
      if (isSettled) return;
      await this.options.clock.sleep(SETTLE_RETRY_DELAY_MS * attempt);
    }
    // The whole reservation counts until the program expires, which is safe: it covers all usage.
    this.options.log.write('settlementLost', { program, turn, tokens });
  }

  private async reserveAndRead(request: TurnReservation): Promise<TurnRecord[]> {
    // Fails without retries, because the caller may reach the keepers through another entry.
    if (this.monitor.isDisconnected) throw keepersUnavailable('this entry reaches too few keepers');
    const { previous } = request;
    const cached = previous === undefined ? [] : this.cache.chain(previous);
    const replies = await this.reserveAtQuorum(request, cached === undefined);
    const initialOthers = othersOf(replies, request.turn);
    // Concurrent turns may each reserve, at different majorities, before the other's reservation is
    // written. Each therefore sends its request again; the last to do so sees all reservations. If
    // all other turns are settled, no repeat is needed.
    const isOnlyRunningTurn = initialOthers.every(({ settled }) => settled);
    const others = isOnlyRunningTurn
      ? initialOthers
      : othersOf(await this.reserveAtQuorum(request, false), request.turn);
    const spent = others.reduce((sum, { tokens }) => sum + tokens, 0);
    if (spent + request.tokens > request.budget) {
      const message = `${spent} of ${request.budget} tokens are spent or reserved, and the turn may need ${request.tokens}; end the program or raise its budget`;
      throw new CallError({ kind: 'budget-exhausted', message });
    }
    return cached ?? (await this.readChain(previous ?? '', replies));
  }

  private async reserveAtQuorum(
    { program, turn, tokens, previous = '', retentionMs }: TurnReservation,
    wantsChain: boolean,
  ): Promise<Reservations[]> {
    const replies = await this.sendToQuorum(
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
    return replies.flatMap(({ body }) => (body.case === 'reservations' ? [body.value] : []));
  }

  private async readChain(previous: string, replies: Reservations[]): Promise<TurnRecord[]> {
    const received = replies.flatMap((reply) => reply.chain);
    const chain =
      completeChain(indexByTurn(received), previous) ??
      (await this.reader.read(this.currentRoster(), previous, received));
    chain.forEach((record) => this.cache.add(record));
    return chain;
  }

  /** Sends a request to the keepers of a program; retries until a majority replies as expected. */
  private async sendToQuorum(
    program: string,
    bodyFor: (index: number) => RequestFactory,
    isExpected: (reply: Reply) => boolean,
  ): Promise<Reply[]> {
    const { clock } = this.options;
    const retryUntilMs = clock.now() + QUORUM_RETRY_TIMEOUT_MS;
    while (true) {
      const roster = this.currentRoster();
      try {
        return await this.sendToGroup(roster, program, bodyFor, isExpected);
      } catch (error) {
        if (clock.now() >= retryUntilMs) throw error;
        const hasNewer = (this.roster?.version ?? 0) > roster.version;
        if (!hasNewer) await clock.sleep(QUORUM_RETRY_DELAY_MS);
      }
    }
  }

  private sendToGroup(
    roster: Roster,
    program: string,
    bodyFor: (index: number) => RequestFactory,
    isExpected: (reply: Reply) => boolean,
  ): Promise<Reply[]> {
    const { peers, hash, lossLimit, clock } = this.options;
    const group = this.sortByPreference(groupOf(roster, program, { lossLimit, hash }));
    return callQuorum({
      group,
      needed: quorumSize(group.length),
      hedgeMs: HEDGE_MS,
      timeoutMs: QUORUM_TIMEOUT_MS,
      clock,
      call: async (keeper, index) => {
        const body = bodyFor(index)(roster.version);
        const reply = await peers
          .get(keeper.address)
          .call(body, { progressTimeoutMs: QUORUM_TIMEOUT_MS });
        if (reply.body.case === 'newerRoster') this.adopt(reply.body.value);
        if (isExpected(reply)) return reply;
        throw new Error(`keeper ${keeper.id} is not ready (reply: ${reply.body.case ?? 'empty'})`);
      },
    });
  }

  /** Sorts unresponsive keepers last, and keepers of the same failure domain before others. */
  private sortByPreference(group: Keeper[]): Keeper[] {
    const { domain } = this.options;
    const cost = (keeper: Keeper) =>
      (this.monitor.isUnresponsive(keeper.id) ? 2 : 0) + (keeper.domain === domain ? 0 : 1);
    return group
      .map((keeper) => ({ keeper, cost: cost(keeper) }))
      .sort((a, b) => a.cost - b.cost)
      .map(({ keeper }) => keeper);
  }

  private currentRoster(): Roster {
    if (this.roster && activeKeepers(this.roster).length > 0) return this.roster;
    throw keepersUnavailable('no roster with active keepers is available yet');
  }
}

function isAccepted({ body }: Reply): boolean {
  return body.case === 'acknowledgement' && body.value.accepted;
}

/** Merges the reservations of a program's other turns from several replies. */
function othersOf(replies: Reservations[], ownTurn: string): Reservation[] {
  const merged = new Map<string, Reservation>();
  replies
    .flatMap(({ others }) => others)
    .forEach((each) => merged.set(each.turn, mergeReservations(each, merged.get(each.turn))));
  merged.delete(ownTurn);
  return [...merged.values()];
}
