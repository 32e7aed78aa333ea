import { createHmac, timingSafeEqual } from 'node:crypto';
import { CallError, Err, Ok, type Result, type SealingKey } from '@marjorampin/types';

/** Maximum length of a sealed continuation that is accepted. */
const MAXIMUM_CHARACTERS = 4_096;

/** Program state that callers send back with the next turn; any entry can resume from it. */
export interface Continuation {
  program: string;
  customer: string;
  parent: string;
  /** Number of the last turn, 0 before the first. */
  turn: number;
  /** Digest of the last turn. */
  digest: string;
  /** Budget of the program, in tokens. */
  granted: number;
  /** Budget spent up to the last turn, in tokens. */
  spent: number;
  /** Epoch of the program's partition at the time of sealing. */
  epoch: number;
  /** Ids of the entries that store the history. */
  holders: string[];
  /** Ids of the endpoints that may cache context of the program, the latest one last. */
  endpoints: string[];
  /** Wall-clock time at which the program expires, in milliseconds since 1970. */
  expiresMs: number;
}

const invalid = (reason: string) =>
  new CallError({
    kind: 'invalid-continuation',
    message: `${reason}; send the continuation of the program's last answer unchanged`,
  });

function computeMac(key: SealingKey, payload: string): Buffer {
  return createHmac('sha256', Buffer.from(key.secret, 'base64')).update(payload).digest();
}

/**
 * Seals a continuation with the highest-numbered key. The result, `number.body.mac`, is
 * authenticated by an HMAC but not encrypted.
 */
export function sealContinuation(continuation: Continuation, keys: SealingKey[]): string {
  const key = keys.reduce((highest, next) => (next.number > highest.number ? next : highest));
  const body = Buffer.from(JSON.stringify(continuation)).toString('base64url');
  const payload = `${key.number}.${body}`;
  return `${payload}.${computeMac(key, payload).toString('base64url')}`;
}

/**
 * Verifies and decodes a sealed continuation. Fails with `invalid-continuation`, or with
 * `forbidden` when it belongs to another customer.
 */
export function openContinuation(
  sealed: string,
  keys: SealingKey[],
  customer: string,
): Result<Continuation, CallError> {
  if (sealed.length > MAXIMUM_CHARACTERS) return Err(invalid('the continuation is too long'));
  const [number, body, mac, ...extra] = sealed.split('.');
  if (!number || !body || !mac || extra.length > 0) {
    return Err(invalid('the continuation is malformed'));
  }
  const key = keys.find((candidate) => String(candidate.number) === number);
  if (!key) return Err(invalid(`the continuation's sealing key ${number} is no longer configured`));
  const expected = computeMac(key, `${number}.${body}`);
  const actual = Buffer.from(mac, 'base64url');
  if (actual.length !== expected.length || !timingSafeEqual(actual, expected)) {
    return Err(invalid('the continuation was altered'));
  }
  const continuation = JSON.parse(Buffer.from(body, 'base64url').toString()) as Continuation;
  if (continuation.customer !== customer) {
    const message = 'the program belongs to another customer; use the key of its own contract';
    return Err(new CallError({ kind: 'forbidden', message }));
  }
  return Ok(continuation);
}
