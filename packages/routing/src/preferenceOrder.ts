/** Base and modulus of the hash of a text: a prime for which the products are exact as numbers. */
const HASH_BASE = 257;
const HASH_MODULUS = 35_184_372_088_777;

const TWO_TO_32 = 2 ** 32;
const HALF_RANGE = 2 ** 16;
const MIX_ROUNDS = 4;
/** Endpoints of a large service of which one is preferred for a key. */
export const NEAREST_CANDIDATES = 5;
/** Keeps 0 from being mixed to itself. */
const MIX_CONSTANT = 0x9e3779b1;

/**
 * Returns a hash of 45 bits that is the same in all processes. It takes the place of a text of any
 * length as a key of maps, which then hold no part of a header.
 */
export function keyOf(text: string): number {
  let hash = text.length;
  for (let index = 0; index < text.length; index += 1) {
    hash = (hash * HASH_BASE + text.charCodeAt(index)) % HASH_MODULUS;
  }
  return hash;
}

/** An endpoint in the order of preference. */
export interface PreferenceCandidate {
  key: number;
  /** Whether the candidates are only a sample, which contains those nearest to the key. */
  isSampled: boolean;
}

/** Returns the candidate that all processes prefer for a key, by rendezvous hashing; undefined without
 * candidates. */
export function preferredOf<T extends PreferenceCandidate>(
  candidates: readonly T[],
  key: number,
): T | undefined {
  const seed = mix(key);
  let preferred: T | undefined;
  let highest = -1;
  const compared = candidates[0]?.isSampled ? nearestOf(candidates, key) : candidates;
  compared.forEach((candidate) => {
    const weight = mix(seed + candidate.key);
    if (weight <= highest) return;
    highest = weight;
    preferred = candidate;
  });
  return preferred;
}

/** Returns the candidates that follow a key in the order of positions: of a large service, all processes
 * have these in their samples, but not the same others. */
function nearestOf<T extends PreferenceCandidate>(candidates: readonly T[], key: number): T[] {
  const start = mix(key);
  const distanceOf = (candidate: T) => (mix(candidate.key) - start + TWO_TO_32) % TWO_TO_32;
  return [...candidates].sort((a, b) => distanceOf(a) - distanceOf(b)).slice(0, NEAREST_CANDIDATES);
}

/** Returns the position of a key among 2^32. */
export function positionOfKey(key: number): number {
  return mix(key);
}

/** Distributes a number evenly over 32 bits. */
function mix(value: number): number {
  let mixed = value + Math.floor(value / TWO_TO_32);
  for (let round = 0; round < MIX_ROUNDS; round += 1) {
    // As in the cipher RC6: the upper half of this product depends on all bits, and is swapped with
    // the lower one for the next round.
    const product = Math.imul(mixed, Math.imul(mixed, 2) + 1) + MIX_CONSTANT;
    mixed = Math.imul(product, HALF_RANGE) + Math.floor(product / HALF_RANGE);
  }
  return mixed < 0 ? mixed + TWO_TO_32 : mixed % TWO_TO_32;
}
