import { create } from '@bufbuild/protobuf';
import { type Roster, RosterSchema } from '@marjorampin/protocol';
import { nextCopies, type StoredData } from './copyHolders';

/** Options of `withKnownHolders`. */
export interface KnownHoldersOptions {
  /** The newest roster before this one. */
  known: Roster | undefined;
  /** What keepers state, by id; by default, nothing tells that all data is at the keepers of the known
   * roster. */
  replies?: Map<string, StoredData>;
  /** Number of keepers whose disks may be lost at once. */
  lossLimit: number;
  /** Wall-clock time. */
  nowMs: number;
}

/** Returns whether a roster states the holders of copies; those that earlier versions of marjorampin write
 * or pass on don't. */
export function hasHolders({ minimumCopies }: Pick<Roster, 'minimumCopies'>): boolean {
  return minimumCopies > 0;
}

/** Completes a newer roster without holders with those of the known one and its keepers. */
export function withKnownHolders(
  roster: Roster,
  { known, replies = new Map(), ...options }: KnownHoldersOptions,
): Roster {
  if (hasHolders(roster) || !known || !hasHolders(known)) return roster;
  const { keepers } = roster;
  const copies = nextCopies({ roster: known, keepers, replies, ...options });
  return create(RosterSchema, { ...roster, ...copies });
}
