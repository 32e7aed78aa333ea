import { create, type MessageInitShape } from '@bufbuild/protobuf';
import type { EventLog } from '@marjorampin/logging';
import type { Hash } from '@marjorampin/membership';
import {
  type CommitTurnSchema,
  type Keeper,
  type PeerConnections,
  type Reply,
  ReplySchema,
  type RequestBody,
  type Reservation,
  type Reservations,
  type ReserveTokensSchema,
  type Roster,
  type SettleTokensSchema,
} from '@marjorampin/protocol';
import type { Clock } from '@marjorampin/types';
import { AcknowledgedTurns } from './acknowledgedTurns';
import { callQuorum, QUORUM_TIMEOUT_MS } from './callQuorum';
import { GroupTable } from './groupTable';
import { activeKeepers, quorumSize } from './keeperGroup';
import { KeeperMonitor } from './keeperMonitor';
import { keepersUnavailable } from './keepersUnavailable';
import { mergeReservations } from './programTable';
import { RequestAttempts, type RequestOptions } from './requestAttempts';

/** Bounds of the delay before more keepers of a group are called. The shortest covers several round
 * trips and syncs, the longest leaves time for another keeper before the timeout. */
const MINIMUM_HEDGE_MS = 40;
const MAXIMUM_HEDGE_MS = 300;
/** The delay is this multiple of the expected latency of the slowest keeper that is called first. */
const HEDGE_FACTOR = 3;
/** Delay before the first retry; after a roster change, keepers are not ready for about 10 ms. Each further
 * delay is twice as long, up to the maximum. */
const QUORUM_RETRY_DELAY_MS = 20;
const MAXIMUM_RETRY_DELAY_MS = 500;
/** Share of the programs that have to be available. */
const READY_SHARE = 0.9;
/** Timeout of a probe; well above the time of a reply from a busy keeper. */
const PROBE_TIMEOUT_MS = 500;
const PROBE: RequestBody = { case: 'probe', value: {} };
/** Usual latency of a reply from a keeper of the same failure domain, and what another one adds. */
const USUAL_MS = 4;
const OTHER_DOMAIN_MS = 4;

/** Request to the keepers of a program. */
export type GroupRequest =
  | { case: 'reserveTokens'; value: MessageInitShape<typeof ReserveTokensSchema> }
  | { case: 'commitTurn'; value: MessageInitShape<typeof CommitTurnSchema> }
  | { case: 'settleTokens'; value: MessageInitShape<typeof SettleTokensSchema> };

/** Options of `GroupClient`. */
export interface GroupClientOptions {
  peers: PeerConnections;
  hash: Hash;
  /** Number of keepers whose disks may be lost at once. */
  lossLimit: number;
  /** Failure domain of this process; its keepers are usually the fastest. */
  domain: string;
  clock: Clock;
  log: EventLog;
}

/** Sends requests to the keepers of a program; one succeeds once a majority has replied. */
export class GroupClient {
  private readonly options: GroupClientOptions;

  private readonly monitor: KeeperMonitor;

  /** Turns of which keepers have not been told; a lost one only costs a further write later. */
  private readonly acknowledged = new AcknowledgedTurns();

  private groups: GroupTable | undefined;

  /** Whether a majority responds in nearly all groups. */
  private isAvailable = true;

  constructor(options: GroupClientOptions) {
    this.options = options;
    const { clock, log, peers } = options;
    this.monitor = new KeeperMonitor({
      clock,
      log,
      roster: () => this.roster,
      onChange: () => this.updateAvailability(),
      isCutOff: () => !this.isAvailable,
      probe: ({ address }) =>
        peers.get(address).call(PROBE, { progressTimeoutMs: PROBE_TIMEOUT_MS }),
    });
  }

  /** Newest roster, or undefined before the first one. */
  get roster(): Roster | undefined {
    return this.groups?.roster;
  }

  /** Newest roster; throws `keepers-unavailable` before the first one with active keepers. */
  get activeRoster(): Roster {
    if (this.roster && activeKeepers(this.roster).length > 0) return this.roster;
    throw keepersUnavailable('no roster with active keepers is available yet');
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
    this.acknowledged.retain(roster.keepers);
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

  /** Whether a majority of a program's group responds. */
  hasMajority(program: string): boolean {
    return this.hasQuorum(this.groupOf(program));
  }

  /** Sends a request to the keepers of a program; retries until a majority replies as expected. Merged
   * reservations are `complete` if each keeper of that majority stores all of them. */
  async send(program: string, request: GroupRequest, options: RequestOptions = {}): Promise<Reply> {
    const { clock } = this.options;
    const attempts = new RequestAttempts(clock, options);
    let delayMs = QUORUM_RETRY_DELAY_MS;
    while (true) {
      const { version } = this.activeRoster;
      try {
        const { timeoutMs } = attempts;
        return mergeReplies(request, await this.sendOnce(program, request, timeoutMs));
      } catch (error) {
        const hasNewer = (this.roster?.version ?? 0) > version;
        // The caller may reach the keepers through another entry.
        if (request.case === 'reserveTokens' && !this.hasMajority(program)) throw error;
        if (!attempts.mayRetryAfter(hasNewer ? 0 : delayMs)) throw error;
        if (!hasNewer) await clock.sleep(delayMs);
        // The caller may have left meanwhile.
        if (!attempts.isAwaited) throw error;
        delayMs = hasNewer ? QUORUM_RETRY_DELAY_MS : Math.min(2 * delayMs, MAXIMUM_RETRY_DELAY_MS);
      }
    }
  }

  /** Finds out whether this process reaches the keepers, unless one replied lately. */
  async checkReach(): Promise<void> {
    await this.monitor.check();
  }

  /** Tells the keepers of a program with the next requests to them that a quorum stores a turn. */
  acknowledge(program: string, turn: string): void {
    // The turn is stored, even if no keeper is active any more.
    this.acknowledged.add(turn, this.groups?.groupOf(program) ?? []);
  }

  /** Returns the keepers that share the rate limit of an endpoint; none before the first roster. */
  ownersOf(endpoint: string): Keeper[] {
    return this.groups?.groupOf(endpoint) ?? [];
  }

  /** Expected latency of a keeper's reply in milliseconds; infinite if it is unresponsive. */
  expectedMs(keeper: Keeper): number {
    return this.monitor.expectedMs(keeper.id, USUAL_MS + this.distanceMs(keeper));
  }

  /** Calls one keeper and records whether and how fast it replies. */
  async callKeeper({ id, address }: Keeper, body: RequestBody): Promise<Reply> {
    const { peers, clock } = this.options;
    const startedAtMs = clock.now();
    const reply = await peers
      .get(address)
      .call(body, { progressTimeoutMs: QUORUM_TIMEOUT_MS })
      .catch((error: unknown) => {
        this.monitor.recordFailure(id, error);
        throw error;
      });
    this.monitor.recordReply(id, clock.now() - startedAtMs);
    if (reply.body.case === 'newerRoster') this.adopt(reply.body.value);
    return reply;
  }

  private sendOnce(program: string, request: GroupRequest, timeoutMs: number): Promise<Reply[]> {
    const { clock } = this.options;
    const { version } = this.activeRoster;
    const group = this.sortByLatency(this.groupOf(program));
    const needed = this.quorumOf(group);
    const hedgeMs = this.hedgeMs(group.slice(0, needed));
    const startedAtMs = clock.now();
    return callQuorum({
      group,
      needed,
      hedgeMs,
      timeoutMs,
      clock,
      onDelay: (delayed) => delayed.forEach(({ id }) => this.monitor.recordDelay(id, hedgeMs)),
      onTimeout: (silent) => {
        // The rest of a deadline may be too short for a reply.
        if (timeoutMs < QUORUM_TIMEOUT_MS) return;
        silent.forEach(({ id }) => this.monitor.recordTimeout(id, startedAtMs));
      },
      call: async (keeper, index) => {
        const body = this.bodyFor(request, { keeper, index, rosterVersion: version });
        const reply = await this.callKeeper(keeper, body);
        if (isSuccess(reply)) return reply;
        throw new Error(`keeper ${keeper.id} is not ready (reply: ${reply.body.case ?? 'empty'})`);
      },
    });
  }

  /**
   * Returns the delay before more keepers are called. Answers load under which all replies are late:
   * with a fixed delay, most requests would go to more keepers than needed and slow all of them down.
   */
  private hedgeMs(called: Keeper[]): number {
    const slowestMs = Math.max(...called.map((keeper) => this.expectedMs(keeper)));
    return Math.min(MAXIMUM_HEDGE_MS, Math.max(MINIMUM_HEDGE_MS, HEDGE_FACTOR * slowestMs));
  }

  private distanceMs({ domain }: Keeper): number {
    return domain === this.options.domain ? 0 : OTHER_DOMAIN_MS;
  }

  /** Sorts keepers by latency; one of another domain has to be faster by a margin, as the bytes that
   * cross domains have a cost. */
  private sortByLatency(keepers: Keeper[]): Keeper[] {
    return keepers
      .map((keeper) => ({ keeper, costMs: this.expectedMs(keeper) + this.distanceMs(keeper) }))
      .sort((a, b) => (a.costMs === b.costMs ? 0 : a.costMs - b.costMs))
      .map(({ keeper }) => keeper);
  }

  private updateAvailability(): void {
    const sample = this.groups?.sample ?? [];
    const available = sample.filter((group) => this.hasQuorum(group)).length;
    const isAvailable = available >= sample.length * READY_SHARE;
    if (isAvailable === this.isAvailable) return;
    this.isAvailable = isAvailable;
    const lostShare = 1 - available / sample.length;
    this.options.log.write(isAvailable ? 'keepersRegained' : 'keepersLost', { lostShare });
  }

  /** Returns the request for one keeper; only the first keeper of a group returns the chain. */
  private bodyFor(
    request: GroupRequest,
    { keeper, index, rosterVersion }: { keeper: Keeper; index: number; rosterVersion: number },
  ): RequestBody {
    if (request.case === 'settleTokens') {
      return { case: 'settleTokens', value: { ...request.value, rosterVersion } };
    }
    const acknowledgedTurns = this.acknowledged.take(keeper.id);
    if (request.case === 'commitTurn') {
      const value = { ...request.value, rosterVersion, acknowledgedTurns };
      return { case: 'commitTurn', value };
    }
    const wantsChain = request.value.wantsChain === true && index === 0;
    const value = { ...request.value, wantsChain, rosterVersion, acknowledgedTurns };
    return { case: 'reserveTokens', value };
  }

  private quorumOf(group: Keeper[]): number {
    return quorumSize(group.length, this.options.lossLimit);
  }

  private hasQuorum(group: Keeper[]): boolean {
    return this.monitor.hasQuorum(group, this.quorumOf(group));
  }

  private groupOf(program: string): Keeper[] {
    // Throws before the first roster.
    return this.activeRoster ? (this.groups?.groupOf(program) ?? []) : [];
  }
}

/** Returns whether a keeper executed a request and its reply counts for the majority. */
function isSuccess({ body }: Reply): boolean {
  if (body.case === 'reservations') return body.value.complete;
  return body.case === 'acknowledgement' && body.value.accepted;
}

function mergeReplies(request: GroupRequest, replies: Reply[]): Reply {
  if (request.case !== 'reserveTokens') {
    const missing = replies.flatMap(({ body }) =>
      body.case === 'acknowledgement' ? body.value.missingTurns : [],
    );
    const value = { accepted: true, missingTurns: [...new Set(missing)] };
    return create(ReplySchema, { body: { case: 'acknowledgement', value } });
  }
  const all = replies.flatMap(({ body }) => (body.case === 'reservations' ? [body.value] : []));
  const others = mergeOthers(all);
  const chain = all.flatMap((reply) => reply.chain);
  // Each reply lists a turn at most once.
  const complete = all.every((reply) => reply.others.length === others.length);
  const programAgeMs = Math.max(...all.map((reply) => reply.programAgeMs));
  const acknowledged =
    all.some((reply) => reply.acknowledged) || all.every((reply) => reply.holdsPrevious);
  const value = { others, chain, complete, programAgeMs, acknowledged };
  return create(ReplySchema, { body: { case: 'reservations', value } });
}

/** Merges the reservations of a program's other turns from several replies. */
function mergeOthers(replies: Reservations[]): Reservation[] {
  const merged = new Map<string, Reservation>();
  replies
    .flatMap(({ others }) => others)
    .forEach((each) => merged.set(each.turn, mergeReservations(each, merged.get(each.turn))));
  return [...merged.values()];
}
