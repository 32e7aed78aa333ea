import { create, type MessageInitShape } from '@bufbuild/protobuf';
import type { Hash } from '@marjorampin/membership';
import {
  type CommitTurn,
  type CopyPrograms,
  type EndpointReport,
  type KeptEvent,
  KeptEventSchema,
  PeerHandler,
  type ProgramCopy,
  type ReadTurns,
  type ReplySchema,
  type Request,
  type ReserveTokens,
  type Roster,
  type SettleTokens,
  type TurnRecord,
} from '@marjorampin/protocol';
import { CallError, type Clock } from '@marjorampin/types';
import type { DurableLog } from './durableLog';
import type { ProgramBook } from './programBook';
import { isAssigned } from './restoration';

/** A keeper reads the roster within this time after its start, where the store answers. */
const START_RETRY_MS = 500;
/** Size of one page of a copy, well below what a message between peers may hold. */
const PAGE_BYTES = 1024 * 1024;

type ReplyInit = MessageInitShape<typeof ReplySchema>;

/** What a keeper answers from. */
export interface KeeperHandlerOptions {
  book: ProgramBook;
  disk: Pick<DurableLog, 'append'>;
  clock: Clock;
  hash: Hash;
  lossLimit: number;
}

/** Answers requests for turns and budgets, each write after its sync. */
export class KeeperHandler extends PeerHandler {
  /** Newest roster that is known. */
  roster: Roster | undefined;

  /** No disk was lost, or what it held has been restored. */
  isIntact = false;

  /** Version of the roster up to which all that is assigned to this keeper is held. */
  restoredVersion = -1;

  private readonly options: KeeperHandlerOptions;

  private readonly listeners: (() => void)[] = [];

  constructor(options: KeeperHandlerOptions) {
    super();
    this.options = options;
  }

  /** Calls the listener after every newer roster. */
  onRoster(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Takes over a roster if it is newer. */
  adopt(roster: Roster): void {
    if (this.roster && this.roster.version >= roster.version) return;
    this.roster = roster;
    this.listeners.forEach((listener) => listener());
  }

  /** Notes that all that is assigned under a version of the roster is held. */
  completeUpTo(version: number): void {
    this.isIntact = true;
    this.restoredVersion = Math.max(this.restoredVersion, version);
  }

  /** Answers of this keeper count as complete under its own roster. */
  get isComplete(): boolean {
    return this.roster !== undefined && this.isCompleteFor(this.roster.version);
  }

  override async handle({ body }: Request): Promise<ReplyInit> {
    switch (body.case) {
      case 'reserveTokens':
        return this.newerRoster(body.value.rosterVersion) ?? (await this.reserve(body.value));
      case 'commitTurn':
        return this.newerRoster(body.value.rosterVersion) ?? (await this.commit(body.value));
      case 'settleTokens':
        return this.newerRoster(body.value.rosterVersion) ?? (await this.settle(body.value));
      case 'readTurns':
        return this.newerRoster(body.value.rosterVersion) ?? this.read(body.value);
      case 'copyPrograms':
        return this.copy(body.value);
      case 'copyTurns': {
        const records = this.options.book.records(body.value.turns);
        return { body: { case: 'turnChain', value: { records, complete: this.isIntact } } };
      }
      case 'probe':
        return { body: { case: 'acknowledgement', value: { accepted: true } } };
      default:
        throw new CallError({
          kind: 'invalid-request',
          message: `a keeper does not answer ${body.case ?? 'an empty request'}; ask an entry`,
        });
    }
  }

  override handleReport(_: EndpointReport): void {}

  /** Takes in reservations that another keeper holds, and returns the turns that are missing. */
  async accept({ program, reservations, turns, remainingMs }: ProgramCopy): Promise<string[]> {
    const { book, clock } = this.options;
    const expiresAtMs = clock.now() + remainingMs;
    const news = reservations.filter((reservation) => book.isNews(program, reservation));
    await Promise.all(
      news.map((reservation) => {
        book.reserve(program, reservation, expiresAtMs);
        return this.write({ case: 'reservation', value: reservation }, program, remainingMs);
      }),
    );
    return turns.filter((turn) => !book.has(turn));
  }

  /** Takes in turns that another keeper holds; resolves once they are on disk. */
  async acceptTurns(records: TurnRecord[]): Promise<void> {
    const { book, clock } = this.options;
    await Promise.all(
      records.map((record) => {
        const { program, retentionMs } = record;
        book.add(record, clock.now() + retentionMs);
        return this.write({ case: 'record', value: record }, program, retentionMs);
      }),
    );
  }

  /** A sender with a newer roster needs more than what this keeper restored for its own. */
  private isCompleteFor(version: number): boolean {
    const needed = Math.max(version, this.roster?.version ?? Infinity);
    return this.isIntact && this.restoredVersion >= needed;
  }

  /** A sender with an older roster gets the newer one: what it writes could be missed. */
  private newerRoster(version: number): ReplyInit | undefined {
    if (!this.roster) {
      throw new CallError({
        kind: 'platform-unavailable',
        message: 'this keeper knows no roster yet; retry at another keeper',
        retryAfterMs: START_RETRY_MS,
      });
    }
    if (this.roster.version <= version) return undefined;
    return { body: { case: 'newerRoster', value: this.roster } };
  }

  private async reserve(request: ReserveTokens): Promise<ReplyInit> {
    const { book, clock } = this.options;
    const { program, reservation, retentionMs, previous, wantsChain, rosterVersion } = request;
    if (!reservation) throw missing('reservation');
    // Whoever reserves next has to see this one, so memory comes before the disk.
    const others = book.reserve(program, reservation, clock.now() + retentionMs);
    await this.write({ case: 'reservation', value: reservation }, program, retentionMs);
    const chain = wantsChain && previous !== '' ? book.chain(previous) : [];
    const complete = this.isCompleteFor(rosterVersion);
    const value = { others, chain, complete };
    return { body: { case: 'reservations', value } };
  }

  private async commit({ record, rosterVersion }: CommitTurn): Promise<ReplyInit> {
    if (!record) throw missing('record');
    const { book, clock } = this.options;
    const { program, turn, outputTokens, retentionMs } = record;
    const expiresAtMs = clock.now() + retentionMs;
    book.add(record, expiresAtMs);
    book.settle(program, turn, outputTokens, expiresAtMs);
    await this.write({ case: 'record', value: record }, program, retentionMs);
    const accepted = this.isCompleteFor(rosterVersion);
    return { body: { case: 'acknowledgement', value: { accepted } } };
  }

  private async settle({ program, reservation, retentionMs }: SettleTokens): Promise<ReplyInit> {
    if (!reservation) throw missing('reservation');
    const { book, clock } = this.options;
    book.reserve(program, reservation, clock.now() + retentionMs);
    await this.write({ case: 'reservation', value: reservation }, program, retentionMs);
    return { body: { case: 'acknowledgement', value: { accepted: true } } };
  }

  private read({ turn, rosterVersion }: ReadTurns): ReplyInit {
    const complete = this.isCompleteFor(rosterVersion);
    const value = { records: this.options.book.chain(turn), complete };
    return { body: { case: 'turnChain', value } };
  }

  private copy({ roster, receiver, after }: CopyPrograms): ReplyInit {
    if (!roster) throw missing('roster');
    this.adopt(roster);
    const newer = this.newerRoster(roster.version);
    if (newer) return newer;
    const { book, clock, lossLimit, hash } = this.options;
    const { programs, hasMore } = book.page(after, {
      isWanted: (program) => isAssigned(program, receiver, { roster, lossLimit, hash }),
      bytes: PAGE_BYTES,
      nowMs: clock.now(),
    });
    const { isIntact, restoredVersion } = this;
    const value = { programs, hasMore, intact: isIntact, restoredVersion };
    return { body: { case: 'programPage', value } };
  }

  private write(body: KeptEvent['body'], program: string, retentionMs: number): Promise<void> {
    const { disk, clock } = this.options;
    const writtenAtMs = clock.wallTime();
    return disk.append(create(KeptEventSchema, { body, program, writtenAtMs, retentionMs }));
  }
}

function missing(field: string): CallError {
  const message = `the request has no ${field}; use the same version of marjorampin everywhere`;
  return new CallError({ kind: 'invalid-request', message });
}
