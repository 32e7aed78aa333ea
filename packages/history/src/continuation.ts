import { createHmac, timingSafeEqual } from 'node:crypto';
import { CallError, Err, Ok, type Result, type SealingKey } from '@marjorampin/types';

/** Longest continuation that is read at all. */
const MAXIMUM_LENGTH = 4_096;

/** What a caller carries from turn to turn; any entry can go on from it. */
export interface Continuation {
  program: string;
  customer: string;
  parent: string;
  turn: number;
  digest: string;
  granted: number;
  spent: number;
  epoch: number;
  /** Ids of the entries that hold the history. */
  holders: string[];
  /** Endpoints that may hold context of the program, the latest one last. */
  endpoints: string[];
  expiresMs: number;
}

const invalid = (reason: string) =>
  new CallError({
    kind: 'invalid-continuation',
    message: `${reason}; send the continuation of the program's last answer unchanged`,
  });

function macOf(key: SealingKey, payload: string): Buffer {
  return createHmac('sha256', Buffer.from(key.secret, 'base64')).update(payload).digest();
}

/** Seals a continuation with the highest key: `number.payload.mac`. */
export function sealContinuation(continuation: Continuation, keys: SealingKey[]): string {
  const key = keys.reduce((highest, next) => (next.number > highest.number ? next : highest));
  const body = Buffer.from(JSON.stringify(continuation)).toString('base64url');
  const payload = `${key.number}.${body}`;
  return `${payload}.${macOf(key, payload).toString('base64url')}`;
}

/** Opens a sealed continuation and checks that it belongs to the customer. */
export function openContinuation(
  sealed: string,
  keys: SealingKey[],
  customer: string,
): Result<Continuation, CallError> {
  if (sealed.length > MAXIMUM_LENGTH) return Err(invalid('the continuation is too long'));
  const [number, body, mac, ...rest] = sealed.split('.');
  if (!number || !body || !mac || rest.length > 0) {
    return Err(invalid('the continuation is malformed'));
  }
  const key = keys.find((candidate) => String(candidate.number) === number);
  if (!key) return Err(invalid(`the continuation's sealing key ${number} is no longer in force`));
  const expected = macOf(key, `${number}.${body}`);
  const given = Buffer.from(mac, 'base64url');
  if (given.length !== expected.length || !timingSafeEqual(given, expected)) {
    return Err(invalid('the continuation was altered'));
  }
  const continuation = JSON.parse(Buffer.from(body, 'base64url').toString()) as Continuation;
  if (continuation.customer !== customer) {
    const message = 'the program belongs to another customer; use the key of its own contract';
    return Err(new CallError({ kind: 'forbidden', message }));
  }
  return Ok(continuation);
}
