/** Parses JSON from an untrusted source; returns undefined if it is invalid. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
