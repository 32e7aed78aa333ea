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
export function inputDigest({ host, method, target, body }: RequestInput): string {
  const head = JSON.stringify([host.toLowerCase(), method, target]);
  return createHash('sha256').update(head).update(body).digest('hex').slice(0, DIGEST_DIGITS);
}
