import type { OwnedPart } from '@marjorampin/allowances';
import type { Hash } from '@marjorampin/membership';
import type { Roster } from '@marjorampin/protocol';
import type { Clock } from '@marjorampin/types';
import { activeKeepers, groupOf, groupSize } from './keeperGroup';

/** Time without a confirmation of its roster after which a keeper grants no tokens, and time for which a
 * new owner waits, after which all former owners have confirmed the new roster or grant none. Below the
 * time after which entries refuse calls of accounts because of an outdated configuration. */
export const TAKEOVER_MS = 4_500;
/** Time after the first start of the whole system in which new owners don't wait while keepers join: no
 * keeper has granted much before. */
const FIRST_START_MS = 10_000;
/** Rosters that are remembered; longer breaks of ownership cost the tokens of a bucket. */
const MAXIMUM_ROSTERS = 8;

/** Options of `AllowanceOwnership`. */
export interface AllowanceOwnershipOptions {
  /** Id of this keeper in rosters. */
  id?: string;
  clock: Clock;
  hash: Hash;
  /** Number of keepers whose disks may be lost at once. */
  lossLimit: number;
  /** Whether the whole system starts for the first time. */
  isFirstStart?: boolean;
}

/** A roster, and the time from which owners that are new in it may grant tokens. */
interface KnownRoster {
  roster: Roster;
  learnedAtMs: number;
  effectiveAtMs: number;
}

/** Determines the parts of allowances that this keeper owns, so that all parts together never exceed the
 * allowance while keepers and entries know different rosters. */
export class AllowanceOwnership {
  private readonly options: AllowanceOwnershipOptions;

  private readonly startedAtMs: number;

  /** Rosters since the start of the process, the newest first. */
  private rosters: KnownRoster[] = [];

  constructor(options: AllowanceOwnershipOptions) {
    this.options = options;
    this.startedAtMs = options.clock.now();
  }

  /** Records a newer roster. */
  adopt(roster: Roster): void {
    const learnedAtMs = this.options.clock.now();
    const isFirstStart =
      this.options.isFirstStart === true && learnedAtMs - this.startedAtMs < FIRST_START_MS;
    const isJoin = isFirstStart && this.listsAllFormer(roster);
    const effectiveAtMs = isJoin ? learnedAtMs : learnedAtMs + TAKEOVER_MS;
    const known = [{ roster, learnedAtMs, effectiveAtMs }, ...this.rosters];
    this.rosters = known.slice(0, MAXIMUM_ROSTERS);
  }

  /** Returns the part of an account's allowance that this keeper owns; undefined if it owns none. */
  partOf(account: string): OwnedPart | undefined {
    const { id, lossLimit } = this.options;
    const isOwner = ({ roster }: KnownRoster) =>
      groupOf(roster, `account:${account}`, this.options).some((keeper) => keeper.id === id);
    const breakIndex = this.rosters.findIndex((known) => !isOwner(known));
    const firstOwned = this.rosters.at(breakIndex === -1 ? -1 : breakIndex - 1);
    if (breakIndex === 0 || !firstOwned) return undefined;
    const { sizes, validUntilMs } = this.recentSizes((roster) => groupSize(roster, lossLimit));
    return { owners: Math.max(...sizes), sinceMs: firstOwned.effectiveAtMs, validUntilMs };
  }

  /** Returns whether a roster lists all keepers of the one before. */
  private listsAllFormer(roster: Roster): boolean {
    const [former] = this.rosters;
    const ids = new Set(activeKeepers(roster).map(({ id }) => id));
    return !former || activeKeepers(former.roster).every(({ id }) => ids.has(id));
  }

  /** Returns the sizes of groups under the rosters that other owners may still use, and the time at which
   * this changes. */
  private recentSizes(sizeOf: (roster: Roster) => number) {
    const nowMs = this.options.clock.now();
    const ends = this.rosters.slice(0, -1).map(({ effectiveAtMs }) => effectiveAtMs);
    const ahead = ends.filter((endMs) => endMs > nowMs);
    const sizes = this.rosters.slice(0, ahead.length + 1).map(({ roster }) => sizeOf(roster));
    return { sizes, validUntilMs: Math.min(Infinity, ...ahead) };
  }
}
