import { type Continuation, type HistoryStore, isValidChain } from '@marjorampin/history';
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

/** Number of entries that store each segment. */
const REPLICATION_FACTOR = 2;

/** Entries, first in rendezvous order, queried in addition to the holders in a continuation. */
const LIKELY_HOLDER_COUNT = 3;

const HOLDER_TIMEOUT_MS = 1_500;

/** Number of programs that are copied to other entries in parallel during a graceful shutdown. */
const EVACUATION_CONCURRENCY = 64;

/** Options of `HistoryReplicator`. */
export interface HistoryReplicatorOptions {
  /** Id of this entry. */
  self: string;
  /** Stores the segments of this entry. */
  local: HistoryStore;
  members: MemberDirectory;
  peers: PeerPool;
  hash: Hash;
  log: EventLog;
}

/**
 * Replicates the histories of programs. Entries that store a program's segments are its holders:
 * this class stores segments for other entries, and stores and reads those of its own programs.
 */
export class HistoryReplicator {
  private readonly options: HistoryReplicatorOptions;

  /** Rejects requests of former owners. */
  private readonly fence = new EpochFence();

  /** Digest of the latest turn that was stored here, by program. */
  private readonly latestDigests = new Map<string, string>();

  /** Cached rendezvous orders of partitions, valid for `orderedMembers`. */
  private readonly rendezvousOrders = new Map<number, string[]>();

  private orderedMembers: Member[] | undefined;

  constructor(options: HistoryReplicatorOptions) {
    this.options = options;
  }

  /**
   * Stores a segment in this process. Throws `stale-epoch` if a newer owner of its partition is
   * known, `transcript-required` if its previous turn is missing or different here and, for a copy
   * made during a graceful shutdown, `out-of-turn` if a different segment is stored for its turn.
   */
  async storeLocally(fenceToken: FenceToken, segment: Segment, isCopy = false): Promise<void> {
    this.fence.check(fenceToken);
    if (isCopy && (await this.hasConflictingTurn(segment))) throw conflictingTurn(segment);
    if (!(await this.hasPreviousTurn(segment))) throw previousTurnsMissing(segment);
    await this.options.local.store(segment);
    this.latestDigests.set(segment.program, segment.digest);
  }

  private async hasConflictingTurn({ program, turn, digest }: Segment): Promise<boolean> {
    const stored = (await this.options.local.read(program))[turn - 1];
    return stored !== undefined && stored.digest !== digest;
  }

  /** A restarted or former holder may lack turns, or store different ones than the owner. */
  private async hasPreviousTurn({ program, turn, previousDigest }: Segment): Promise<boolean> {
    if (turn === 1 || this.latestDigests.get(program) === previousDigest) return true;
    const stored = await this.options.local.read(program);
    return stored[turn - 2]?.turn === turn - 1 && stored[turn - 2]?.digest === previousDigest;
  }

  /** Returns the segments of a program that this process stores; throws `stale-epoch`. */
  async readLocally(fenceToken: FenceToken, program: string): Promise<Segment[]> {
    this.fence.check(fenceToken);
    return this.options.local.read(program);
  }

  /**
   * Stores the last of a program's segments at `REPLICATION_FACTOR` entries, in different failure
   * domains if possible, and returns their ids. An entry that is not in `previous`, the holders so
   * far, gets all segments. Throws `stale-epoch` when an entry has seen a newer owner, and
   * `owner-unavailable` when no entry could store the turn.
   */
  async store(fenceToken: FenceToken, segments: Segment[], previous: string[]): Promise<string[]> {
    const candidates = this.candidates(fenceToken.partition, previous);
    const holders: Member[] = [];
    for (const candidate of candidates) {
      const hasEnoughHolders = holders.length >= REPLICATION_FACTOR;
      const isSuitable = holders.length === 0 || addsDomain(holders, candidate, candidates);
      if (!hasEnoughHolders && isSuitable) {
        const isStored = await this.replicateTo(candidate, fenceToken, segments, previous);
        if (isStored) holders.push(candidate);
      }
    }
    if (holders.length === 0) throw noHolderAvailable();
    if (holders.length < REPLICATION_FACTOR) {
      this.options.log.write('historyUnderReplicated', { holder: holders[0]?.id });
    }
    return holders.map(({ id }) => id);
  }

  /**
   * Returns the longest stored history that contains the turn of a continuation; empty for a new
   * program, undefined when no queried entry has it.
   */
  async find(fenceToken: FenceToken, continuation: Continuation): Promise<Segment[] | undefined> {
    const chain = longestMatch(await this.readFromHolders(fenceToken, continuation), continuation);
    const isNew = continuation.turn === 0 && continuation.holders.length === 0;
    return chain ?? (isNew ? [] : undefined);
  }

  /** Copies every unfinished program's history to other entries, for a graceful shutdown. */
  async evacuate(fenceTokenOf: (program: string) => FenceToken): Promise<void> {
    const programs = await this.options.local
      .programs()
      .catch((error) => this.recordReadFailure(error));
    const workers = Array.from({ length: EVACUATION_CONCURRENCY }, async () => {
      for (let program = programs.pop(); program; program = programs.pop()) {
        await this.evacuateProgram(program, fenceTokenOf(program));
      }
    });
    await Promise.all(workers);
  }

  private async evacuateProgram(program: string, fenceToken: FenceToken): Promise<void> {
    const segments = await this.options.local
      .read(program)
      .catch((error) => this.recordReadFailure(error, program));
    // An ended program takes no further turns, so its second replica is enough.
    if (segments.at(-1)?.kind === 'end') return;
    const others = this.candidates(fenceToken.partition, []).filter(
      ({ id }) => id !== this.options.self,
    );
    await Promise.allSettled(
      others
        .slice(0, REPLICATION_FACTOR)
        .map((other) => this.sendSegments(other, fenceToken, segments, true)),
    );
  }

  /**
   * Returns the entries that may store a segment, in order of preference: one in another failure
   * domain, this entry, the others in other domains, and the others in this one.
   */
  private candidates(partition: number, previous: string[]): Member[] {
    const { self, members } = this.options;
    const ids = [...new Set([self, ...previous, ...this.rendezvousOrderOf(partition)])];
    const available = ids.flatMap((id) => members.get(id) ?? []).filter(({ leaving }) => !leaving);
    const selfMember = members.get(self);
    // The remote entry comes first: if it has seen a newer owner, nothing is stored here.
    const remote = available.filter(({ domain }) => domain !== selfMember?.domain);
    const local = available.filter(
      ({ domain, id }) => domain === selfMember?.domain && id !== self,
    );
    const selfCandidates = selfMember && !selfMember.leaving ? [selfMember] : [];
    return [...remote.slice(0, 1), ...selfCandidates, ...remote.slice(1), ...local];
  }

  /** Returns the rendezvous order of a partition, cached until the members change. */
  private rendezvousOrderOf(partition: number): string[] {
    const { members, hash } = this.options;
    if (this.orderedMembers !== members.all()) {
      this.orderedMembers = members.all();
      this.rendezvousOrders.clear();
    }
    const order =
      this.rendezvousOrders.get(partition) ?? rendezvousOrder(members.eligible(), partition, hash);
    this.rendezvousOrders.set(partition, order);
    return order;
  }

  private async replicateTo(
    holder: Member,
    fenceToken: FenceToken,
    segments: Segment[],
    previous: string[],
  ): Promise<boolean> {
    const unsent = previous.includes(holder.id) ? segments.slice(-1) : segments;
    try {
      await this.sendSegments(holder, fenceToken, unsent).catch(async (error) => {
        if (toCallError(error).kind !== 'transcript-required') throw error;
        await this.sendSegments(holder, fenceToken, segments);
      });
      return true;
    } catch (error) {
      if (toCallError(error).kind === 'stale-epoch') throw error;
      return false;
    }
  }

  private async sendSegments(
    holder: Member,
    fenceToken: FenceToken,
    segments: Segment[],
    isCopy = false,
  ): Promise<void> {
    const { self, peers } = this.options;
    for (const segment of segments) {
      if (holder.id === self) {
        await this.storeLocally(fenceToken, segment, isCopy);
      } else {
        const value = { fence: fenceToken, segment, isCopy };
        const options = { progressTimeoutMs: HOLDER_TIMEOUT_MS };
        await peers.get(holder.address).call({ case: 'storeSegment', value }, options);
      }
    }
  }

  private async readFromHolders(
    fenceToken: FenceToken,
    continuation: Continuation,
  ): Promise<Segment[][]> {
    const { members, hash, self } = this.options;
    const likely = rendezvousOrder(
      members.all().map(({ id }) => id),
      fenceToken.partition,
      hash,
    ).slice(0, LIKELY_HOLDER_COUNT);
    const ids = [...new Set([self, ...continuation.holders, ...likely])];
    const holders = ids.flatMap((id) => members.get(id) ?? []);
    const reads = holders.map((holder) => this.readFrom(holder, fenceToken, continuation.program));
    return Promise.all(reads);
  }

  private async readFrom(
    holder: Member,
    fenceToken: FenceToken,
    program: string,
  ): Promise<Segment[]> {
    const { self, peers } = this.options;
    try {
      if (holder.id === self) return await this.readLocally(fenceToken, program);
      const value = { fence: fenceToken, program, fromTurn: 1 };
      const options = { progressTimeoutMs: HOLDER_TIMEOUT_MS };
      const reply = await peers.get(holder.address).call({ case: 'readSegments', value }, options);
      return reply.body.case === 'segments' ? reply.body.value.segments.map(segmentOf) : [];
    } catch (error) {
      if (toCallError(error).kind === 'stale-epoch') throw error;
      return holder.id === self ? this.recordReadFailure(error, program) : [];
    }
  }

  /** Logs that a history, or the list of them, can't be read here; another holder may have it. */
  private recordReadFailure(error: unknown, program?: string): [] {
    this.options.log.write('historyReadFailed', { program, reason: String(error) });
    return [];
  }
}

function addsDomain(holders: Member[], candidate: Member, candidates: Member[]): boolean {
  const usedDomains = new Set(holders.map(({ domain }) => domain));
  if (!usedDomains.has(candidate.domain)) return true;
  return candidates.every(({ domain }) => usedDomains.has(domain));
}

function longestMatch(found: Segment[][], { turn, digest }: Continuation): Segment[] | undefined {
  const matching = found.filter((segments) => {
    const isLongEnough = segments.length >= turn;
    const matchesDigest = turn === 0 || segments[turn - 1]?.digest === digest;
    return segments.length > 0 && isLongEnough && matchesDigest && isValidChain(segments);
  });
  return matching.sort((a, b) => b.length - a.length)[0];
}

function noHolderAvailable(): CallError {
  const message =
    'no entry could store the turn; start or reconnect another entry and retry the call';
  return new CallError({
    kind: 'owner-unavailable',
    message,
    execution: 'unknown',
    retryAfterMs: 500,
  });
}

function previousTurnsMissing({ program, turn }: Segment): CallError {
  const message = `the turns of ${program} before ${turn} are missing or different here; send all of them`;
  return new CallError({ kind: 'transcript-required', message });
}

function conflictingTurn({ program, turn }: Segment): CallError {
  const message = `a different turn ${turn} of ${program} is stored here; the copy is not needed`;
  return new CallError({ kind: 'out-of-turn', message });
}
