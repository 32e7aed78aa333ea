import xxhash from 'xxhash-wasm';

/** Hashes a text with a seed to 32 bits. */
export type Hash = (text: string, seed: number) => number;

/** Compiles the WebAssembly hash function; callers load it at startup and keep it. */
export async function loadHash(): Promise<Hash> {
  const { h32 } = await xxhash();
  return h32;
}

/** Orders candidates by rendezvous hashing with a seed; every process gets the same order. */
export function rendezvousOrder(candidates: string[], seed: number, hash: Hash): string[] {
  return candidates
    .map((candidate) => ({ candidate, weight: hash(candidate, seed) }))
    .sort((a, b) => b.weight - a.weight || a.candidate.localeCompare(b.candidate))
    .map(({ candidate }) => candidate);
}

/** Returns the first candidate in rendezvous order, without sorting. */
export function rendezvousWinner(
  candidates: string[],
  seed: number,
  hash: Hash,
): string | undefined {
  let winner: string | undefined;
  let highest = -1;
  candidates.forEach((candidate) => {
    const weight = hash(candidate, seed);
    const wins = weight > highest || (weight === highest && candidate < (winner ?? ''));
    if (!wins) return;
    winner = candidate;
    highest = weight;
  });
  return winner;
}
