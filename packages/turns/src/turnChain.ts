import type { TurnRecord } from '@marjorampin/protocol';

/** Returns a turn and those before it that are held, oldest first; empty when it is not held. */
export function heldChain(held: ReadonlyMap<string, TurnRecord>, turn: string): TurnRecord[] {
  const last = held.get(turn);
  if (!last) return [];
  return [...last.ancestors.flatMap((ancestor) => held.get(ancestor) ?? []), last];
}

/** Returns a turn and all before it, oldest first; undefined when one of them is not held. */
export function wholeChain(
  held: ReadonlyMap<string, TurnRecord>,
  turn: string,
): TurnRecord[] | undefined {
  const chain = heldChain(held, turn);
  const last = chain.at(-1);
  return last && chain.length === last.ancestors.length + 1 ? chain : undefined;
}
