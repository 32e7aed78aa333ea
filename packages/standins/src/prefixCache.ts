import { createHash } from 'node:crypto';

/** Tokens in one block of the cache. */
export const BLOCK_TOKENS = 32;

const BLOCK_CHARACTERS = BLOCK_TOKENS * 4;

interface Block {
  lastUsed: number;
  programs: Set<string>;
  pins: number;
}

/** What one prompt found in the cache. */
export interface Admission {
  cachedTokens: number;
  builtTokens: number;
  /** Tokens built before, dropped, and now built again. */
  rebuiltTokens: number;
  digests: string[];
}

/** Splits a text into blocks, each named by the digest of the whole prefix up to its end. */
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

/** The limited prefix cache of a model engine, with least recently used eviction. */
export class PrefixCache {
  private readonly capacityBlocks: number;

  private readonly blocks = new Map<string, Block>();

  private readonly builtBefore = new Set<string>();

  private uses = 0;

  constructor({ capacityTokens }: { capacityTokens: number }) {
    this.capacityBlocks = Math.max(1, Math.floor(capacityTokens / BLOCK_TOKENS));
  }

  get usedTokens(): number {
    return this.blocks.size * BLOCK_TOKENS;
  }

  /** Finds the cached prefix of a prompt, builds the rest and pins all of it. */
  admit(program: string, prompt: string): Admission {
    const digests = prefixDigests(prompt);
    const missing = digests.findIndex((digest) => !this.blocks.has(digest));
    const cached = missing === -1 ? digests.length : missing;
    const rebuilt = digests.slice(cached).filter((digest) => this.builtBefore.has(digest)).length;
    digests.forEach((digest) => this.pin(digest, program));
    this.evict();
    return {
      cachedTokens: cached * BLOCK_TOKENS,
      builtTokens: Math.ceil(prompt.length / 4) - cached * BLOCK_TOKENS,
      rebuiltTokens: rebuilt * BLOCK_TOKENS,
      digests,
    };
  }

  /** Lets go of the blocks of a finished call; they stay cached until evicted. */
  unpin(digests: string[]): void {
    digests.forEach((digest) => {
      const block = this.blocks.get(digest);
      if (block) block.pins -= 1;
    });
    this.evict();
  }

  /** Drops what only this program uses. */
  release(program: string): void {
    [...this.blocks].forEach(([digest, block]) => {
      if (!block.programs.delete(program)) return;
      // Context released at a program's end is not wasted when it is never asked for again.
      if (block.programs.size === 0 && block.pins === 0) this.blocks.delete(digest);
    });
  }

  /** Returns the programs that hold memory. */
  holders(): string[] {
    const programs = new Set<string>();
    this.blocks.forEach((block) => block.programs.forEach((program) => programs.add(program)));
    return [...programs];
  }

  /** Returns the blocks of one program, for moving them to another engine. */
  exportProgram(program: string): string[] {
    return [...this.blocks].filter(([, { programs }]) => programs.has(program)).map(([id]) => id);
  }

  /** Takes in blocks that another engine built. */
  importProgram(program: string, digests: string[]): void {
    digests.forEach((digest) => {
      this.pin(digest, program);
    });
    this.unpin(digests);
  }

  private pin(digest: string, program: string): void {
    this.uses += 1;
    const block = this.blocks.get(digest) ?? { lastUsed: 0, programs: new Set<string>(), pins: 0 };
    block.lastUsed = this.uses;
    block.programs.add(program);
    block.pins += 1;
    // Reinsertion keeps the map in the order of last use.
    this.blocks.delete(digest);
    this.blocks.set(digest, block);
    this.builtBefore.add(digest);
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
