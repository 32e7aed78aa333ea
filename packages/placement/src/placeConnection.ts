import type { EntryLoad } from '@marjorampin/protocol';

/** Load of an entry, as plain data. */
export type PlacementLoad = Omit<EntryLoad, '$typeName' | '$unknown'>;

/**
 * Returns the entry that should serve a new connection, undefined for the entry itself: each entry
 * serves the connections that the balancer gives it.
 */
export function placeConnection<T extends PlacementLoad>(
  _self: PlacementLoad,
  _others: T[],
  _random: number,
): T | undefined {
  return undefined;
}
