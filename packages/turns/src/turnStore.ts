import type { Reservation, Reservations, Roster, TurnRecord } from '@marjorampin/protocol';
import { CallError } from '@marjorampin/types';
import { ExhaustedBudgets } from './exhaustedBudgets';
import { GroupClient, type GroupClientOptions, type GroupRequest } from './groupClient';
import { keepersUnavailable } from './keepersUnavailable';
import { recordBatches } from './recordBatches';
import type { RequestOptions } from './requestAttempts';
import { RENEWAL_AGE_MS } from './retention';
import { TurnCache } from './turnCache';
import { completeChain } from './turnChain';
import { unknownTurn, unrecordedTurn } from './turnErrors';
import { ownershipOf } from './turnOwnership';
import { indexByTurn, TurnReader } from './turnReader';

/** Attempts to write a settlement; their delays add up to the time of a keeper restart. */
const MAXIMUM_SETTLE_ATTEMPTS = 6;
const SETTLE_RETRY_DELAY_MS = 250;

/** Size of the ancestors that are sent with one commit, well below the size limit of a message. */
const RENEWAL_BYTES = 4 * 1024 * 1024;

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
  /** Name of the account that the turn belongs to, empty for a turn without one; undefined without
   * configured accounts, when any caller may continue a turn. */
  account?: string | undefined;
}

/** Options of `TurnStore.commit`. */
export interface CommitOptions {
  /** Turns that the completed one continues, oldest first. */
  chain?: TurnRecord[];
  /** Clock time until which the caller waits, in milliseconds. */
  deadlineMs?: number;
  /** Aborts when the caller has left. */
  signal?: AbortSignal;
}

/** How a turn is written. */
interface RecordWrite extends RequestOptions {
  /** Turns that the written one continues, oldest first. */
  chain: TurnRecord[];
  /** Returns whether keepers that lack an ancestor have to get it. */
  needsRenewal(ancestor: TurnRecord): boolean;
}

/** Options of `TurnStore`. */
export interface TurnStoreOptions extends GroupClientOptions {
  /** Size limit of the cache of turns. */
  cacheBytes?: number;
}

const DEFAULT_CACHE_BYTES = 24 * 1024 * 1024;

/** Client of the keepers; a write succeeds once a majority of a program's group has it on disk. */
export class TurnStore {
  private readonly options: TurnStoreOptions;

  private readonly cache: TurnCache;

  private readonly group: GroupClient;

  private readonly reader: TurnReader;

  private readonly exhausted: ExhaustedBudgets;

  constructor(options: TurnStoreOptions) {
    this.options = options;
    const { lossLimit, peers, log } = options;
    this.group = new GroupClient(options);
    const adopt = (roster: Roster) => this.adopt(roster);
    this.reader = new TurnReader({ peers, lossLimit, log, adopt });
    this.cache = new TurnCache(options.cacheBytes ?? DEFAULT_CACHE_BYTES);
    this.exhausted = new ExhaustedBudgets({ clock: options.clock });
  }

  /** Newest roster, or undefined before the first one. */
  get roster(): Roster | undefined {
    return this.group.roster;
  }

  /** The keepers, also for requests that concern no turns. */
  get keepers(): GroupClient {
    return this.group;
  }

  /** Replaces the roster if the given one is newer. */
  adopt(roster: Roster): void {
    this.group.adopt(roster);
  }

  /** Stops probing unresponsive keepers. */
  stop(): void {
    this.group.stop();
  }

  /** Whether nearly all programs can be served: a majority of their group responds. */
  get isReady(): boolean {
    return this.group.isReady;
  }

  /**
   * Reserves a turn's tokens and returns the turns that it continues, oldest first.
   * Throws `budget-exhausted`, `unknown-turn`, or `keepers-unavailable`; in each case, the turn has
   * not run.
   */
  async reserve(request: TurnReservation): Promise<TurnRecord[]> {
    const settledTokens = this.exhausted.settledTokens(request.program);
    if (settledTokens + request.tokens > request.budget) throw exhausted(request, settledTokens);
    // Fails without retries, because the caller may reach the keepers through another entry.
    if (!this.group.hasMajority(request.program)) {
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

  /**
   * Writes a completed turn; resolves once a majority of its keepers has synced it to disk, and retries
   * until the caller's `deadlineMs`, a clock time, or until it has left. `chain` are the turns that it
   * continues; keepers that lack old ones, or those of other programs, get them, as they would otherwise
   * expire before the turn.
   */
  async commit(
    completed: TurnRecord,
    { chain = [], deadlineMs, signal }: CommitOptions = {},
  ): Promise<void> {
    const { program } = completed;
    const committedAtMs = this.options.clock.wallTime();
    const record: TurnRecord = { ...completed, committedAtMs };
    const needsRenewal = (ancestor: TurnRecord) =>
      ancestor.program !== program || committedAtMs - ancestor.committedAtMs > RENEWAL_AGE_MS;
    await this.store(record, { chain, needsRenewal, untilMs: deadlineMs, signal });
    this.cache.add(record);
  }

  /** Replaces a turn's reservation with the tokens it used; if all attempts fail, it stays. */
  async settle(
    { program, turn, retentionMs }: Pick<TurnReservation, 'program' | 'turn' | 'retentionMs'>,
    tokens: number,
  ): Promise<void> {
    const reservation = { turn, tokens, settled: true };
    const request: GroupRequest = {
      case: 'settleTokens',
      value: { program, reservation, retentionMs },
    };
    for (let attempt = 1; attempt <= MAXIMUM_SETTLE_ATTEMPTS; attempt += 1) {
      const isSettled = await this.group.send(program, request).then(
        () => true,
        () => false,
      );
      if (isSettled) return;
      await this.options.clock.sleep(SETTLE_RETRY_DELAY_MS * attempt);
    }
    // The whole reservation counts until the program expires, which is safe: it covers all usage.
    this.options.log.write('settlementLost', { program, turn, tokens });
  }

  /** Writes a found turn again: its commit may have reached too few keepers, and a turn that was found
   * once has to stay. */
  protected completeCommit(found: TurnRecord, chain: TurnRecord[]): Promise<void> {
    return this.store(found, { chain, needsRenewal: () => true });
  }

  /** Writes a turn to a quorum, and all ancestors that keepers lack if one of those needs a renewal. */
  private async store(
    record: TurnRecord,
    { chain, needsRenewal, ...retries }: RecordWrite,
  ): Promise<void> {
    const { program, turn } = record;
    const request: GroupRequest = { case: 'commitTurn', value: { record } };
    const { body } = await this.group.send(program, request, retries);
    const missing = new Set(body.case === 'acknowledgement' ? body.value.missingTurns : []);
    const ancestors = chain.filter((ancestor) => missing.has(ancestor.turn));
    const renewed = ancestors.some(needsRenewal) ? ancestors : [];
    for (const batch of recordBatches(renewed, RENEWAL_BYTES)) {
      const renewal: GroupRequest = { case: 'commitTurn', value: { record, ancestors: batch } };
      await this.group.send(program, renewal, retries);
    }
    this.group.acknowledge(program, turn);
  }

  private async reserveAndRead(request: TurnReservation): Promise<TurnRecord[]> {
    const { previous } = request;
    const cached = previous === undefined ? [] : this.cache.chain(previous);
    const first = await this.reserveTokens(request, { wantsChain: cached === undefined });
    const settledTokens = totalTokens(othersOf(first, request).filter(({ settled }) => settled));
    const isExhausted = settledTokens + request.tokens > request.budget;
    if (isExhausted) this.exhausted.record(request.program, settledTokens);
    // Also for a turn that is refused: its keepers retain what they know of the program for longer.
    const needsRenewal = !first.complete && first.programAgeMs > RENEWAL_AGE_MS;
    const repeated = needsRenewal
      ? await this.reserveTokens(request, { known: first.others })
      : undefined;
    if (isExhausted) throw exhausted(request, settledTokens);
    // Concurrent turns may each reserve, at different majorities, before the other's reservation is
    // written. Each therefore sends its request again; the last to do so sees all reservations. If
    // all other turns are settled, no repeat is needed.
    const isOnlyRunningTurn = othersOf(first, request).every(({ settled }) => settled);
    const last = repeated ?? (isOnlyRunningTurn ? first : await this.reserveTokens(request, {}));
    const spentTokens = totalTokens(othersOf(last, request));
    if (spentTokens + request.tokens > request.budget) throw exhausted(request, spentTokens);
    if (!cached) return this.readChain(request, first);
    this.refuseUnlessOwn(cached, request);
    return cached;
  }

  /** Throws if the account of a turn may not continue a chain. */
  private refuseUnlessOwn(
    chain: TurnRecord[],
    { account, previous = '', program }: TurnReservation,
  ): void {
    const ownership = ownershipOf(chain, account);
    if (ownership === 'own') return;
    this.options.log.write('turnNotOwned', { turn: previous, program, account, ownership });
    throw ownership === 'foreign' ? unknownTurn(previous) : unrecordedTurn(previous);
  }

  private async reserveTokens(
    { program, turn, tokens, previous = '', retentionMs }: TurnReservation,
    { wantsChain = false, known = [] }: { wantsChain?: boolean; known?: Reservation[] },
  ): Promise<Reservations> {
    const reservation = { turn, tokens };
    const value = { program, reservation, retentionMs, previous, wantsChain, known };
    const { body } = await this.group.send(program, { case: 'reserveTokens', value });
    if (body.case === 'reservations') return body.value;
    throw keepersUnavailable(`unexpected reply ${body.case ?? 'without a body'}`);
  }

  private async readChain(request: TurnReservation, received: Reservations): Promise<TurnRecord[]> {
    const { program, previous = '' } = request;
    const whole = completeChain(indexByTurn(received.chain), previous);
    const { chain, isAcknowledged } = whole
      ? { chain: whole, isAcknowledged: false }
      : await this.reader.read(this.group.activeRoster, previous, received.chain);
    this.refuseUnlessOwn(chain, request);
    if (!received.acknowledged && !isAcknowledged) {
      const last = chain.at(-1);
      // Turns of another program are stored again when the turn that continues them is committed.
      if (last?.program !== program) return chain;
      await this.completeCommit(last, chain);
    }
    chain.forEach((record) => this.cache.add(record));
    return chain;
  }
}

function othersOf({ others }: Reservations, { turn }: TurnReservation): Reservation[] {
  return others.filter((other) => other.turn !== turn);
}

function totalTokens(reservations: Reservation[]): number {
  return reservations.reduce((sum, { tokens }) => sum + tokens, 0);
}

function exhausted({ tokens, budget }: TurnReservation, spentTokens: number): CallError {
  const message = `${spentTokens} of ${budget} tokens are spent or reserved, and the turn may need ${tokens}; end the program or raise its budget`;
  return new CallError({ kind: 'budget-exhausted', message });
}
