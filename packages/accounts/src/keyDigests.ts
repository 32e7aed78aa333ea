import { sha256Hex } from '@marjorampin/types';

/** SHA-256 digests of the keys of a configuration; the next configuration reuses those of its keys. */
export class KeyDigests {
  private digests = new Map<string, string>();

  /** Number of digests that were computed rather than reused. */
  computedCount = 0;

  /** Returns the digests of the keys of each account of a configuration, and forgets all other keys. */
  replace(keyLists: string[][]): string[][] {
    const kept = new Map<string, string>();
    const digestLists = keyLists.map((keys) =>
      keys.map((key) => {
        const digest = kept.get(key) ?? this.digests.get(key) ?? this.compute(key);
        kept.set(key, digest);
        return digest;
      }),
    );
    this.digests = kept;
    return digestLists;
  }

  private compute(key: string): string {
    this.computedCount += 1;
    return sha256Hex(key);
  }
}
