import xxhash from 'xxhash-wasm';

/** Hashes a text with a seed to 32 bits. */
export type Hash = (text: string, seed: number) => number;

/** Loads the hash; it is compiled once a process. */
export async function loadHash(): Promise<Hash> {
  const { h32 } = await xxhash();
  return h32;
}

/** Returns the candidates in rendezvous order for a number: every process gets the same order. */
export function rendezvousOrder(candidates: string[], number: number, hash: Hash): string[] {
  return candidates
    .map((candidate) => ({ candidate, weight: hash(candidate, number) }))
    .sort((a, b) => b.weight - a.weight || a.candidate.localeCompare(b.candidate))
    .map(({ candidate }) => candidate);
}

/** Returns the first in rendezvous order without sorting. */
export function rendezvousWinner(
  candidates: string[],
  number: number,
  hash: Hash,
): string | undefined {
  let winner: string | undefined;
  let highest = -1;
  candidates.forEach((candidate) => {
    const weight = hash(candidate, number);
    const wins = weight > highest || (weight === highest && candidate < (winner ?? ''));
    if (!wins) return;
    winner = candidate;
    highest = weight;
  });
  return winner;
}
