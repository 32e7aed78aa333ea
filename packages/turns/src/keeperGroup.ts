import { type Hash, rendezvousOrder } from '@marjorampin/membership';
import type { Keeper, Roster } from '@marjorampin/protocol';

/** Returns the keepers that accept new data: all except those being retired. */
export function activeKeepers({ keepers }: Roster): Keeper[] {
  return keepers.filter(({ leaving }) => !leaving);
}

/** Returns the number of keepers that store a program; a majority survives `lossLimit` losses. */
export function groupSize(roster: Roster, lossLimit: number): number {
  return Math.min(2 * lossLimit + 1, activeKeepers(roster).length);
}

/** Returns the majority of a group of `size` keepers; any two majorities share a keeper. */
export function majoritySize(size: number): number {
  return Math.floor(size / 2) + 1;
}

/**
 * Returns how many keepers of a group of `size` acknowledge a write: a majority, and one more than
 * may lose their disks at once. A smaller group accepts no writes.
 */
export function quorumSize(size: number, lossLimit: number): number {
  return Math.max(majoritySize(size), lossLimit + 1);
}

/**
 * Returns how many active keepers must report that they do not store a turn before it is certain that it
 * does not exist: together with the quorum of a committed turn, they outnumber the active ones. They
 * are a majority, as fewer may not know yet of a newer roster under which the turn was written.
 */
export function absenceQuorum(roster: Roster, lossLimit: number): number {
  const copies = quorumSize(groupSize(roster, lossLimit), lossLimit);
  const active = activeKeepers(roster).length;
  return Math.max(majoritySize(active), active - copies + 1);
}

/** Returns the keepers that store a program in rendezvous order, spread over failure domains. */
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

/** Sorts the n-th keeper of each domain after all (n-1)-th ones; otherwise keeps the order. */
function spreadOverDomains(ordered: Keeper[]): Keeper[] {
  const countByDomain = new Map<string, number>();
  return ordered
    .map((keeper) => {
      const rank = countByDomain.get(keeper.domain) ?? 0;
      countByDomain.set(keeper.domain, rank + 1);
      return { keeper, rank };
    })
    .sort((a, b) => a.rank - b.rank)
    .map(({ keeper }) => keeper);
}
