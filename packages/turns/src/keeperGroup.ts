import { type Hash, rendezvousOrder } from '@marjorampin/membership';
import type { Keeper, Roster } from '@marjorampin/protocol';

/** Returns the keepers that can get new data: all but those that are being emptied. */
export function activeKeepers({ keepers }: Roster): Keeper[] {
  return keepers.filter(({ leaving }) => !leaving);
}

/** Returns how many keepers share a program, so that a majority survives `lossLimit` losses. */
export function groupSize(roster: Roster, lossLimit: number): number {
  return Math.min(2 * lossLimit + 1, activeKeepers(roster).length);
}

/** Returns how many keepers of a group must answer: any two majorities share a keeper. */
export function quorumSize(size: number): number {
  return Math.floor(size / 2) + 1;
}

/**
 * Returns how many of all keepers must deny a turn before it is certain that it does not exist:
 * together with those that must have acknowledged it, they are more than all.
 */
export function denialsNeeded(roster: Roster, lossLimit: number): number {
  const copies = quorumSize(groupSize(roster, lossLimit));
  return Math.max(1, activeKeepers(roster).length - copies + 1);
}

/** Returns the keepers that share a program, in rendezvous order and spread over domains. */
export function groupOf(
  roster: Roster,
  program: string,
  { lossLimit, hash }: { lossLimit: number; hash: Hash },
): Keeper[] {
  const active = activeKeepers(roster);
  const ids = active.map(({ id }) => id);
  const byId = new Map(active.map((keeper) => [keeper.id, keeper]));
  const ordered = rendezvousOrder(ids, hash(program, 0), hash).flatMap((id) => byId.get(id) ?? []);
  return spreadOverDomains(ordered).slice(0, groupSize(roster, lossLimit));
}

/** Keeps the order, but puts the n-th keeper of each domain after all n-1-th ones. */
function spreadOverDomains(ordered: Keeper[]): Keeper[] {
  const seen = new Map<string, number>();
  return ordered
    .map((keeper) => {
      const round = seen.get(keeper.domain) ?? 0;
      seen.set(keeper.domain, round + 1);
      return { keeper, round };
    })
    .sort((a, b) => a.round - b.round)
    .map(({ keeper }) => keeper);
}
