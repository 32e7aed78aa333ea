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
import { GroupTable } from './groupTable';
import { activeKeepers, quorumSize } from './keeperGroup';

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

/** Share of the programs that an entry must be able to serve to receive new connections. */
const READY_SHARE = 0.9;
const PROBE: RequestBody = { case: 'probe', value: {} };
/** Timeout of a probe; well above the time of a reply from a busy keeper. */
const PROBE_TIMEOUT_MS = 500;

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
  /** Failure domain of this process; its keepers are called first among responsive ones. */
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

  private groups: GroupTable | undefined;

  /** Whether a majority responds in nearly all groups. */
  private isAvailable = true;

  private readonly monitor: KeeperMonitor;

  private readonly reader: TurnReader;

  constructor(options: TurnStoreOptions) {
    this.options = options;
    const { clock, log, lossLimit, peers } = options;
    this.monitor = new KeeperMonitor({
      clock,
      log,
      roster: () => this.roster,
      onChange: () => this.updateAvailability(),
      probe: ({ address }) =>
        peers.get(address).call(PROBE, { progressTimeoutMs: PROBE_TIMEOUT_MS }),
    });
    this.reader = new TurnReader({ peers, lossLimit, adopt: (roster) => this.adopt(roster) });
    this.cache = new TurnCache(options.cacheBytes ?? DEFAULT_CACHE_BYTES);
  }

  /** Newest roster, or undefined before the first one. */
  get roster(): Roster | undefined {
    return this.groups?.roster;
  }

  /** Replaces the roster if the given one is newer. */
  adopt(roster: Roster): void {
    if (this.roster && this.roster.version >= roster.version) return;
    const addresses = new Set(roster.keepers.map(({ address }) => address));
    this.roster?.keepers
      .filter(({ address }) => !addresses.has(address))
      .forEach(({ address }) => this.options.peers.drop(address));
    const { lossLimit, hash } = this.options;
    this.groups = new GroupTable({ roster, lossLimit, hash });
    this.updateAvailability();
  }

  /** Stops probing unresponsive keepers. */
  stop(): void {
    this.monitor.stop();
  }

  /** Whether nearly all programs can be served: a majority of their group responds. */
  get isReady(): boolean {
    return this.groups !== undefined && this.isAvailable;
  }

  /**
   * Reserves a turn's tokens and returns the turns that it continues, oldest first.
   * Throws `budget-exhausted`, `unknown-turn`, or `keepers-unavailable`; in each case, the turn has
   * not run.
   */
  async reserve(request: TurnReservation): Promise<TurnRecord[]> {
    // Fails without retries, because the caller may reach the keepers through another entry.
    if (!this.monitor.hasMajority(this.groupOf(request.program))) {
      throw keepersUnavailable('this entry reaches too few of the keepers of the program');
    }
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
      const { version } = this.currentRoster();
      try {
        return await this.sendToGroup(version, program, bodyFor, isExpected);
      } catch (error) {
        if (clock.now() >= retryUntilMs) throw error;
        const hasNewer = (this.roster?.version ?? 0) > version;
        if (!hasNewer) await clock.sleep(QUORUM_RETRY_DELAY_MS);
      }
    }
  }

  private sendToGroup(
    rosterVersion: number,
    program: string,
    bodyFor: (index: number) => RequestFactory,
    isExpected: (reply: Reply) => boolean,
  ): Promise<Reply[]> {
    const { peers, clock } = this.options;
    const group = this.sortByPreference(this.groupOf(program));
    return callQuorum({
      group,
      needed: quorumSize(group.length),
      hedgeMs: HEDGE_MS,
      timeoutMs: QUORUM_TIMEOUT_MS,
      clock,
      onDelay: (delayed) => delayed.forEach(({ id }) => this.monitor.recordDelay(id)),
      call: async (keeper, index) => {
        const body = bodyFor(index)(rosterVersion);
        const reply = await peers
          .get(keeper.address)
          .call(body, { progressTimeoutMs: QUORUM_TIMEOUT_MS })
          .catch((error: unknown) => {
            this.monitor.recordFailure(keeper.id, error);
            throw error;
          });
        this.monitor.recordReply(keeper.id);
        if (reply.body.case === 'newerRoster') this.adopt(reply.body.value);
        if (isExpected(reply)) return reply;
        throw new Error(`keeper ${keeper.id} is not ready (reply: ${reply.body.case ?? 'empty'})`);
      },
    });
  }

  private updateAvailability(): void {
    const sample = this.groups?.sample ?? [];
    const available = sample.filter((group) => this.monitor.hasMajority(group)).length;
    const isAvailable = available >= sample.length * READY_SHARE;
    if (isAvailable === this.isAvailable) return;
    this.isAvailable = isAvailable;
    const lostShare = 1 - available / sample.length;
    this.options.log.write(isAvailable ? 'keepersRegained' : 'keepersLost', { lostShare });
  }

  private groupOf(program: string): Keeper[] {
    this.currentRoster();
    return this.groups?.groupOf(program) ?? [];
  }

  /** Sorts unresponsive keepers last, and keepers of the same failure domain before others. */
  private sortByPreference(group: Keeper[]): Keeper[] {
    const { domain } = this.options;
    const cost = (keeper: Keeper) =>
      2 * this.monitor.callRank(keeper.id) + (keeper.domain === domain ? 0 : 1);
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
