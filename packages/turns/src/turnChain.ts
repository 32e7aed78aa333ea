import type { TurnRecord } from '@marjorampin/protocol';

/** Returns a turn and its stored ancestors, oldest first; empty if the turn is not stored. */
export function storedChain(
  recordOf: (turn: string) => TurnRecord | undefined,
  turn: string,
): TurnRecord[] {
  const last = recordOf(turn);
  if (!last) return [];
  return [...last.ancestors.flatMap((ancestor) => recordOf(ancestor) ?? []), last];
}

/** Returns a turn and its ancestors, oldest first; undefined if one of them is not stored. */
export function completeChain(
  records: ReadonlyMap<string, TurnRecord>,
  turn: string,
): TurnRecord[] | undefined {
  const chain = storedChain((id) => records.get(id), turn);
  const last = chain.at(-1);
  return last && chain.length === last.ancestors.length + 1 ? chain : undefined;
}
