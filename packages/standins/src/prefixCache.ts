import { createHash } from 'node:crypto';

/** Number of tokens in one block of the cache. */
export const BLOCK_TOKENS = 32;

// 4 is `CHARACTERS_PER_TOKEN` of `estimateTokens`, here and in `pinPrompt`.
const BLOCK_CHARACTERS = BLOCK_TOKENS * 4;

interface Block {
  /** Value of the use counter at the last use. */
  lastUsed: number;
  /** Programs whose context contains the block. */
  programs: Set<string>;
  /** Number of running calls that use the block; it is not evicted while there are any. */
  pins: number;
}

/** A prompt whose blocks are pinned in the cache. */
export interface PinnedPrompt {
  /** Tokens of the longest cached prefix. */
  cachedTokens: number;
  /** Tokens that the engine has to compute. */
  builtTokens: number;
  /** The part of `builtTokens` that had been cached before and was evicted. */
  rebuiltTokens: number;
  /** Digests of the pinned blocks. */
  digests: string[];
}

/** Returns a digest for each full block of a text, over the whole prefix up to the block's end. */
export function prefixDigests(text: string): string[] {
  const digests: string[] = [];
  let previous = '';
  for (let end = BLOCK_CHARACTERS; end <= text.length; end += BLOCK_CHARACTERS) {
    const block = text.slice(end - BLOCK_CHARACTERS, end);
    previous = createHash('sha1').update(previous).update(block).digest('base64url');
    digests.push(previous);
  }
  return digests;
}

/** Prefix cache of a model engine, which evicts the least recently used blocks when it is full. */
export class PrefixCache {
  private readonly capacityBlocks: number;

  private readonly blocks = new Map<string, Block>();

  private readonly everCached = new Set<string>();

  private useCount = 0;

  constructor({ capacityTokens }: { capacityTokens: number }) {
    this.capacityBlocks = Math.max(1, Math.floor(capacityTokens / BLOCK_TOKENS));
  }

  get usedTokens(): number {
    return this.blocks.size * BLOCK_TOKENS;
  }

  /** Tokens of pinned blocks beyond the capacity. */
  get excessTokens(): number {
    return Math.max(0, this.blocks.size - this.capacityBlocks) * BLOCK_TOKENS;
  }

  /** Finds the cached prefix of a prompt, adds the missing blocks and pins all blocks. */
  pinPrompt(program: string, prompt: string): PinnedPrompt {
    const digests = prefixDigests(prompt);
    const firstMissing = digests.findIndex((digest) => !this.blocks.has(digest));
    const cachedBlocks = firstMissing === -1 ? digests.length : firstMissing;
    const rebuiltBlocks = digests
      .slice(cachedBlocks)
      .filter((digest) => this.everCached.has(digest)).length;
    digests.forEach((digest) => this.pin(digest, program));
    this.evict();
    return {
      cachedTokens: cachedBlocks * BLOCK_TOKENS,
      builtTokens: Math.ceil(prompt.length / 4) - cachedBlocks * BLOCK_TOKENS,
      rebuiltTokens: rebuiltBlocks * BLOCK_TOKENS,
      digests,
    };
  }

  /** Unpins the blocks of a finished call; they stay cached until they are evicted. */
  unpin(digests: string[]): void {
    digests.forEach((digest) => {
      const block = this.blocks.get(digest);
      if (block) block.pins -= 1;
    });
    this.evict();
  }

  /** Removes the unpinned blocks that only this program uses. */
  release(program: string): void {
    [...this.blocks].forEach(([digest, block]) => {
      if (!block.programs.delete(program)) return;
      // `everCached` still lists the block: it counts as rebuilt if a later prompt needs it.
      if (block.programs.size === 0 && block.pins === 0) this.blocks.delete(digest);
    });
  }

  /** Returns the ids of the programs with cached blocks. */
  cachedPrograms(): string[] {
    const programs = new Set<string>();
    this.blocks.forEach((block) => block.programs.forEach((program) => programs.add(program)));
    return [...programs];
  }

  /** Returns the digests of a program's blocks, which another engine can import. */
  exportProgram(program: string): string[] {
    return [...this.blocks]
      .filter(([, { programs }]) => programs.has(program))
      .map(([digest]) => digest);
  }

  /** Adds blocks that another engine exported. */
  importProgram(program: string, digests: string[]): void {
    digests.forEach((digest) => {
      this.pin(digest, program);
    });
    this.unpin(digests);
  }

  private pin(digest: string, program: string): void {
    this.useCount += 1;
    const block = this.blocks.get(digest) ?? { lastUsed: 0, programs: new Set<string>(), pins: 0 };
    block.lastUsed = this.useCount;
    block.programs.add(program);
    block.pins += 1;
    // Reinsertion keeps the map in the order of last use.
    this.blocks.delete(digest);
    this.blocks.set(digest, block);
    this.everCached.add(digest);
  }

  private evict(): void {
    let excess = this.blocks.size - this.capacityBlocks;
    if (excess <= 0) return;
    [...this.blocks].some(([digest, block]) => {
      if (block.pins > 0) return false;
      this.blocks.delete(digest);
      excess -= 1;
      return excess <= 0;
    });
  }
}
