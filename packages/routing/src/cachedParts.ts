/** A part of a prompt under the key of its id. */
export interface KeyedPart {
  key: number;
  tokens: number;
}

/** Parts that one process remembers for all endpoints together: some MB. */
const MAXIMUM_PARTS = 50_000;

/** The parts of prompts that an endpoint has cached, as far as this process's calls brought them there;
 * least recently used first. */
class EndpointParts {
  private readonly tokensByKey = new Map<number, number>();

  private tokens = 0;

  get size(): number {
    return this.tokensByKey.size;
  }

  /** Adds parts; removes the least recently used ones beyond the endpoint's memory. */
  add(parts: readonly KeyedPart[], memoryTokens: number): void {
    // In reverse order: a part is of no use without those before it, which are removed after it.
    for (let index = parts.length - 1; index >= 0; index -= 1) this.touch(parts[index]);
    for (const [key, tokens] of this.tokensByKey) {
      if (this.tokens <= memoryTokens) return;
      this.tokensByKey.delete(key);
      this.tokens -= tokens;
    }
  }

  /** Returns the tokens of the parts before the first one that is not cached. */
  cachedTokens(parts: readonly KeyedPart[]): number {
    let cached = 0;
    for (const { key, tokens } of parts) {
      const known = this.tokensByKey.get(key);
      if (known === undefined) return cached;
      cached += Math.min(known, tokens);
      // A part that has grown since, such as that of a session, is cached only up to its former end.
      if (known < tokens) return cached;
    }
    return cached;
  }

  private touch(part: KeyedPart | undefined): void {
    if (!part) return;
    const { key, tokens } = part;
    this.tokens += tokens - (this.tokensByKey.get(key) ?? 0);
    this.tokensByKey.delete(key);
    this.tokensByKey.set(key, tokens);
  }
}

/**
 * Remembers which endpoint has cached which parts of prompts. Answers programs whose turns repeat a
 * long prompt and programs that share parts: a call is cheap where its first parts are cached.
 */
export class CachedParts {
  /** By the object that stands for the endpoint's incarnation, least recently used first. */
  private readonly endpoints = new Map<object, EndpointParts>();

  private readonly maximumParts: number;

  private parts = 0;

  constructor({ maximumParts = MAXIMUM_PARTS }: { maximumParts?: number } = {}) {
    this.maximumParts = maximumParts;
  }

  /** Records that an endpoint has processed parts. */
  record(endpoint: object, parts: readonly KeyedPart[], memoryTokens: number): void {
    if (parts.length === 0) return;
    const known = this.endpoints.get(endpoint) ?? new EndpointParts();
    this.parts -= known.size;
    known.add(parts, memoryTokens);
    this.parts += known.size;
    this.endpoints.delete(endpoint);
    this.endpoints.set(endpoint, known);
    for (const [oldest] of this.endpoints) {
      if (this.parts <= this.maximumParts) return;
      this.forget(oldest);
    }
  }

  /** Returns how many tokens at the start of a prompt an endpoint has cached. */
  cachedTokens(endpoint: object, parts: readonly KeyedPart[]): number {
    return this.endpoints.get(endpoint)?.cachedTokens(parts) ?? 0;
  }

  /** Number of parts that are remembered. */
  get size(): number {
    return this.parts;
  }
  private forget(endpoint: object): void {
    this.parts -= this.endpoints.get(endpoint)?.size ?? 0;
    this.endpoints.delete(endpoint);
  }
}
