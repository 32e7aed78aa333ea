import type { Suspect } from './quarantineRecord';

/** Returns the digests of an input and, if it is suspected, of its target. */
export function digestsOf({ digest, target }: Suspect): string[] {
  return target === undefined ? [digest] : [digest, target];
}

/** Returns whether a digest is that of an input or of its target. */
export function isOf(suspect: Suspect, digest: string): boolean {
  return suspect.digest === digest || suspect.target === digest;
}
