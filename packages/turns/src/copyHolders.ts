import { create } from '@bufbuild/protobuf';
import {
  type CopyHolder,
  CopyHolderSchema,
  type Keeper,
  type KeeperStatus,
  type Roster,
} from '@marjorampin/protocol';
import { activeKeepers, groupSize, majoritySize, quorumSize } from './keeperGroup';
import { MISSING_COPY_EXPIRY_MS } from './retention';

/** The disks that store acknowledged data, as a roster states them. */
export interface Copies {
  holders: CopyHolder[];
  /** Smallest number of holders that store an acknowledged write. */
  minimumCopies: number;
  /** Version of the roster under which all data was last known to be at its keepers. */
  wholeVersion: number;
}

/** What a keeper states about its data. */
export type StoredData = Pick<KeeperStatus, 'disk' | 'intact' | 'restoredVersion'>;

/** How a reply counts: its holder has all that it acknowledged, nothing that is needed, or neither
 * is certain. */
export type HolderState = 'stored' | 'empty' | 'lost';

/** Whole version of a roster without holders; no keeper counts as empty under it. */
const UNKNOWN_VERSION = -1;

/** Returns the copies that the keepers of a roster have to restore. */
export function copiesOf(roster: Roster, lossLimit: number): Copies {
  const { holders, minimumCopies, wholeVersion } = roster;
  if (minimumCopies > 0) return { holders, minimumCopies, wholeVersion };
  return {
    holders: holdersAmong(roster.keepers),
    // Earlier versions acknowledged a write with a majority.
    minimumCopies: majoritySize(groupSize(roster, lossLimit)),
    wholeVersion: UNKNOWN_VERSION,
  };
}

/** Returns the holders whose data has not expired since the roster ceased to list them. */
export function relevantHolders({ holders }: Pick<Copies, 'holders'>, nowMs: number): CopyHolder[] {
  return holders.filter(
    ({ missingSinceMs }) => missingSinceMs === 0 || nowMs - missingSinceMs < MISSING_COPY_EXPIRY_MS,
  );
}

/** Returns how many holders may remain unread: fewer than store any acknowledged write. */
export function unreadLimit({ minimumCopies }: Pick<Copies, 'minimumCopies'>): number {
  return minimumCopies - 1;
}

/**
 * Returns how a holder counts by what its keeper states. What was acknowledged before the last
 * roster with all data is on enough other disks than that of a keeper that has not restored under it; what
 * such a keeper has acknowledged since is copied from it before it counts.
 */
export function holderState(
  holder: Pick<CopyHolder, 'disk'>,
  { disk, intact, restoredVersion }: StoredData,
  wholeVersion: number,
): HolderState {
  if (disk !== holder.disk) return 'lost';
  if (restoredVersion < wholeVersion) return 'empty';
  return intact ? 'stored' : 'lost';
}

/** Options of `nextCopies`. */
export interface NextCopiesOptions {
  /** Roster that is being replaced; undefined before the first one. */
  roster: Roster | undefined;
  /** Keepers of the next roster. */
  keepers: Keeper[];
  /** What the keepers that reply state, by id, including the one that writes. */
  replies: Map<string, StoredData>;
  lossLimit: number;
  /** Wall-clock time. */
  nowMs: number;
}

/** Returns the copies that the next roster has to state. */
export function nextCopies({
  roster,
  keepers,
  replies,
  lossLimit,
  nowMs,
}: NextCopiesOptions): Copies {
  const none = { holders: [], minimumCopies: lossLimit + 1, wholeVersion: 0 };
  if (!roster) return none;
  const size = groupSize(roster, lossLimit);
  const quorum = quorumSize(size, lossLimit);
  const listed = holdersAmong(activeKeepers(roster));
  const earlier = copiesOf(roster, lossLimit);
  // Nothing was acknowledged before this roster, which accepts no writes, nor did it when it was written.
  const acceptsNoWrites = size < Math.min(quorum, earlier.minimumCopies);
  if (earlier.holders.length === 0 && acceptsNoWrites) return none;
  const copies = isWhole(roster, replies, lossLimit)
    ? { holders: listed, minimumCopies: Math.min(quorum, size), wholeVersion: roster.version }
    : {
        holders: withListed(relevantHolders(earlier, nowMs), listed),
        minimumCopies: Math.min(earlier.minimumCopies, quorum),
        wholeVersion: earlier.wholeVersion,
      };
  const holders = copies.holders.map((holder) => withTime(holder, { roster, keepers, nowMs }));
  return { ...copies, holders };
}

/** Returns how many relevant holders can't be read now under a roster with these copies. */
export function countUnavailable(
  { holders, wholeVersion }: Copies,
  replies: Map<string, StoredData>,
  nowMs: number,
): number {
  return relevantHolders({ holders }, nowMs).filter((holder) => {
    const reply = replies.get(holder.id);
    if (holder.missingSinceMs > 0 || !reply) return true;
    return holderState(holder, reply, wholeVersion) === 'lost';
  }).length;
}

/**
 * Returns whether all data is known to be at the keepers of a roster: of each group, only so many
 * keepers may not have confirmed it that the others are a quorum; of a smaller group, none. Keepers that have lost the listed disk
 * are not asked, as they count as holders that can't be read.
 */
export function isWhole(
  roster: Roster,
  replies: Map<string, StoredData>,
  lossLimit: number,
): boolean {
  const size = groupSize(roster, lossLimit);
  const unconfirmed = activeKeepers(roster).filter(({ id, disk }) => {
    const reply = replies.get(id);
    if (!reply) return true;
    return reply.disk === disk && !(reply.intact && reply.restoredVersion >= roster.version);
  });
  return size > 0 && unconfirmed.length <= Math.max(0, size - quorumSize(size, lossLimit));
}

function holdersAmong(keepers: Keeper[]): CopyHolder[] {
  return keepers.map(({ id, disk }) => create(CopyHolderSchema, { id, disk }));
}

/** Adds the listed disks of other keepers. A keeper that lost a disk and has acknowledged writes with
 * the next one is counted once, as it may have restored less than the lost disk stored. */
function withListed(holders: CopyHolder[], listed: CopyHolder[]): CopyHolder[] {
  const ids = new Set(holders.map(({ id }) => id));
  return [...holders, ...listed.filter(({ id }) => !ids.has(id))];
}

/** Returns a holder with the time since which the roster has not listed its keeper with the same disk. */
function withTime(
  holder: CopyHolder,
  { roster, keepers, nowMs }: { roster: Roster; keepers: Keeper[]; nowMs: number },
): CopyHolder {
  const { id, disk } = holder;
  const next = keepers.find((keeper) => keeper.id === id);
  if (next?.disk === disk) return create(CopyHolderSchema, { id, disk });
  const previous = roster.keepers.find((keeper) => keeper.id === id);
  const isLostNow = previous !== undefined && previous.disk !== next?.disk;
  const isFirstTime = isLostNow || holder.missingSinceMs === 0;
  const missingSinceMs = isFirstTime ? Math.max(1, nowMs) : holder.missingSinceMs;
  return create(CopyHolderSchema, { id, disk, missingSinceMs });
}
