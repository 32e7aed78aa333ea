const CHARACTERS_PER_TOKEN = 4;

/** Estimates the number of tokens in a text; the stand-in engines use the same estimate. */
export function estimateTokens(text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN);
}
