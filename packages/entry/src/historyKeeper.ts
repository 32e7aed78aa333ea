import { type Continuation, type HistoryStore, isWholeChain } from '@marjorampin/history';
import type { EventLog } from '@marjorampin/logging';
import {
  type Hash,
  type Member,
  type MemberDirectory,
  rendezvousOrder,
} from '@marjorampin/membership';
import type { PeerPool } from '@marjorampin/protocol';
import {
  CallError,
  EpochFence,
  type FenceToken,
  type Segment,
  toCallError,
} from '@marjorampin/types';
import { segmentOf } from './messages';

/** Number of processes that hold each segment. */
const COPIES = 2;

/** Entries that are asked for a history besides those that the continuation names. */
const LIKELY_HOLDERS = 3;

const HOLDER_TIMEOUT_MS = 1_500;

/** Programs that are given away at the same time before a planned stop. */
const EVACUATION_WORKERS = 64;

/** What the keeper needs. */
export interface HistoryKeeperOptions {
  self: string;
  local: HistoryStore;
  members: MemberDirectory;
  peers: PeerPool;
  hash: Hash;
  log: EventLog;
}

/** Holds segments for other entries and finds the holders of own programs. */
export class HistoryKeeper {
  private readonly options: HistoryKeeperOptions;

  private readonly fence = new EpochFence();

  /** Digest of the newest turn that is held here, by program. */
  private readonly tails = new Map<string, string>();

  /** Rendezvous orders of partitions, for the members of this moment. */
  private readonly orders = new Map<number, string[]>();

  private orderedMembers: Member[] | undefined;

  constructor(options: HistoryKeeperOptions) {
    this.options = options;
  }

  /** Keeps a segment here, unless a newer owner of its partition was seen. */
  async storeLocally(token: FenceToken, segment: Segment, isCopy = false): Promise<void> {
    this.fence.admit(token);
    if (isCopy && (await this.holdsOther(segment))) throw turnHeld(segment);
    if (!(await this.hasTurnBefore(segment))) throw turnsMissing(segment);
    await this.options.local.store(segment);
    this.tails.set(segment.program, segment.digest);
  }

  private async holdsOther({ program, turn, digest }: Segment): Promise<boolean> {
    const held = (await this.options.local.read(program))[turn - 1];
    return held !== undefined && held.digest !== digest;
  }

  /** A restarted or former holder may lack turns, or have others than the owner. */
  private async hasTurnBefore({ program, turn, previousDigest }: Segment): Promise<boolean> {
    if (turn === 1 || this.tails.get(program) === previousDigest) return true;
    const held = await this.options.local.read(program);
    return held[turn - 2]?.turn === turn - 1 && held[turn - 2]?.digest === previousDigest;
  }

  /** Returns a program's segments that are held here. */
  async readLocally(token: FenceToken, program: string): Promise<Segment[]> {
    this.fence.admit(token);
    return this.options.local.read(program);
  }

  /**
   * Stores a turn at two entries of different failure domains and returns their ids. A new
   * holder gets all turns. Throws when an entry knows a newer owner.
   */
  async store(token: FenceToken, segments: Segment[], previous: string[]): Promise<string[]> {
    const candidates = this.candidates(token.partition, previous);
    const holders: Member[] = [];
    for (const candidate of candidates) {
      const isEnough = holders.length >= COPIES;
      const isUseful = holders.length === 0 || addsDomain(holders, candidate, candidates);
      if (!isEnough && isUseful) {
        const isHeld = await this.storeAt(candidate, token, segments, previous);
        if (isHeld) holders.push(candidate);
      }
    }
    if (holders.length === 0) throw noHolder();
    if (holders.length < COPIES) {
      this.options.log.write('historyUnderReplicated', { holder: holders[0]?.id });
    }
    return holders.map(({ id }) => id);
  }

  /** Finds the chain that a continuation ends, or a longer one; undefined when nobody has it. */
  async find(token: FenceToken, continuation: Continuation): Promise<Segment[] | undefined> {
    const chain = longest(await this.readAll(token, continuation), continuation);
    const isNew = continuation.turn === 0 && continuation.holders.length === 0;
    return chain ?? (isNew ? [] : undefined);
  }

  /** Gives every program under way that is held here to other entries, before a planned stop. */
  async evacuate(tokenOf: (program: string) => FenceToken): Promise<void> {
    const programs = await this.options.local.programs();
    const workers = Array.from({ length: EVACUATION_WORKERS }, async () => {
      for (let program = programs.pop(); program; program = programs.pop()) {
        await this.evacuateProgram(program, tokenOf(program));
      }
    });
    await Promise.all(workers);
  }

  private async evacuateProgram(program: string, token: FenceToken): Promise<void> {
    const segments = await this.options.local.read(program);
    // A program that ended takes no further turn; its other copy is left where it is.
    if (segments.at(-1)?.kind === 'end') return;
    const others = this.candidates(token.partition, []).filter(
      ({ id }) => id !== this.options.self,
    );
    await Promise.allSettled(
      others.slice(0, COPIES).map((other) => this.sendSegments(other, token, segments, true)),
    );
  }

  /** Returns entries in the order of preference: one of another failure domain, self, the rest. */
  private candidates(partition: number, previous: string[]): Member[] {
    const { self, members } = this.options;
    const ids = [...new Set([self, ...previous, ...this.eligibleOrder(partition)])];
    const known = ids.flatMap((id) => members.get(id) ?? []).filter(({ leaving }) => !leaving);
    const own = members.get(self);
    // A remote holder comes first: it may know a newer owner, and then nothing is held here.
    const remote = known.filter(({ domain }) => domain !== own?.domain);
    const local = known.filter(({ domain, id }) => domain === own?.domain && id !== self);
    const selves = own && !own.leaving ? [own] : [];
    return [...remote.slice(0, 1), ...selves, ...remote.slice(1), ...local];
  }

  /** Returns the rendezvous order of a partition, worked out once for the same members. */
  private eligibleOrder(partition: number): string[] {
    const { members, hash } = this.options;
    if (this.orderedMembers !== members.all()) {
      this.orderedMembers = members.all();
      this.orders.clear();
    }
    const order =
      this.orders.get(partition) ?? rendezvousOrder(members.eligible(), partition, hash);
    this.orders.set(partition, order);
    return order;
  }

  private async storeAt(
    holder: Member,
    token: FenceToken,
    segments: Segment[],
    previous: string[],
  ): Promise<boolean> {
    const missing = previous.includes(holder.id) ? segments.slice(-1) : segments;
    try {
      await this.sendSegments(holder, token, missing).catch(async (error) => {
        if (toCallError(error).kind !== 'transcript-required') throw error;
        await this.sendSegments(holder, token, segments);
      });
      return true;
    } catch (error) {
      if (toCallError(error).kind === 'stale-epoch') throw error;
      return false;
    }
  }

  private async sendSegments(
    holder: Member,
    token: FenceToken,
    segments: Segment[],
    isCopy = false,
  ): Promise<void> {
    const { self, peers } = this.options;
    for (const segment of segments) {
      if (holder.id === self) {
        await this.storeLocally(token, segment, isCopy);
      } else {
        const value = { fence: token, segment, isCopy };
        const options = { progressTimeoutMs: HOLDER_TIMEOUT_MS };
        await peers.get(holder.address).call({ case: 'storeSegment', value }, options);
      }
    }
  }

  private async readAll(token: FenceToken, continuation: Continuation): Promise<Segment[][]> {
    const { members, hash, self } = this.options;
    const likely = rendezvousOrder(
      members.all().map(({ id }) => id),
      token.partition,
      hash,
    ).slice(0, LIKELY_HOLDERS);
    const ids = [...new Set([self, ...continuation.holders, ...likely])];
    const holders = ids.flatMap((id) => members.get(id) ?? []);
    const read = holders.map((holder) => this.readAt(holder, token, continuation.program));
    return Promise.all(read);
  }

  private async readAt(holder: Member, token: FenceToken, program: string): Promise<Segment[]> {
    const { self, peers } = this.options;
    if (holder.id === self) return this.readLocally(token, program);
    try {
      const value = { fence: token, program, fromTurn: 1 };
      const options = { progressTimeoutMs: HOLDER_TIMEOUT_MS };
      const reply = await peers.get(holder.address).call({ case: 'readSegments', value }, options);
      return reply.body.case === 'segments' ? reply.body.value.segments.map(segmentOf) : [];
    } catch (error) {
      if (toCallError(error).kind === 'stale-epoch') throw error;
      return [];
    }
  }
}

function addsDomain(holders: Member[], candidate: Member, candidates: Member[]): boolean {
  const taken = new Set(holders.map(({ domain }) => domain));
  if (!taken.has(candidate.domain)) return true;
  return candidates.every(({ domain }) => taken.has(domain));
}

function longest(found: Segment[][], { turn, digest }: Continuation): Segment[] | undefined {
  const fitting = found.filter((segments) => {
    const isLongEnough = segments.length >= turn;
    const endsRight = turn === 0 || segments[turn - 1]?.digest === digest;
    return segments.length > 0 && isLongEnough && endsRight && isWholeChain(segments);
  });
  return fitting.sort((a, b) => b.length - a.length)[0];
}

function noHolder(): CallError {
  const message =
    'no entry could hold the turn; retry the call, which is then answered from memory';
  return new CallError({
    kind: 'owner-unavailable',
    message,
    execution: 'unknown',
    retryAfterMs: 500,
  });
}

function turnsMissing({ program, turn }: Segment): CallError {
  const message = `the turns of ${program} before ${turn} are not held here; send all of them`;
  return new CallError({ kind: 'transcript-required', message });
}

function turnHeld({ program, turn }: Segment): CallError {
  const message = `another turn ${turn} of ${program} is held here; the copy is not needed`;
  return new CallError({ kind: 'out-of-turn', message });
}
