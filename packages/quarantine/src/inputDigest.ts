import { createHash } from 'node:crypto';

/** Length of a digest in hexadecimal digits; 128 bits leave no accidental collisions. */
const DIGEST_DIGITS = 32;

/** Parts of a request that are the same each time a caller sends it again. */
export interface RequestInput {
  host: string;
  method: string;
  /** Path and query. */
  target: string;
  /** Input of the caller, without earlier turns. */
  body: Buffer;
}

/**
 * Returns the digest by which repetitions of a request are recognized, 32 hexadecimal digits. Headers
 * and earlier turns don't count: ids, programs and user agents differ each time.
 */
export function inputDigest(input: RequestInput): string {
  return digestOf(['input', headOf(input)], input.body);
}

/**
 * Returns the digest of a request's host, method and target, 32 hexadecimal digits. Recognizes
 * repetitions whose bodies differ because they contain the earlier turns of another program.
 */
export function targetDigest(input: Omit<RequestInput, 'body'>): string {
  return digestOf(['target', headOf(input)], Buffer.alloc(0));
}

function headOf({ host, method, target }: Omit<RequestInput, 'body'>): string[] {
  return [host.toLowerCase(), method, target];
}

function digestOf(head: unknown[], body: Buffer): string {
  const hash = createHash('sha256').update(JSON.stringify(head)).update(body);
  return hash.digest('hex').slice(0, DIGEST_DIGITS);
}
