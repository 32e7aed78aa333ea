const CHARACTERS_PER_TOKEN = 4;

/** Estimates the tokens of a text; the endpoints' stand-ins count the same way. */
export function countTokens(text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN);
}

/** Returns the text of the first `tokens` tokens. */
export function takeTokens(text: string, tokens: number): string {
  return text.slice(0, tokens * CHARACTERS_PER_TOKEN);
}
