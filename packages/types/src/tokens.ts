const CHARACTERS_PER_TOKEN = 4;

/** Estimates the tokens of a text; the endpoints' stand-ins count the same way. */
export function countTokens(text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN);
}
