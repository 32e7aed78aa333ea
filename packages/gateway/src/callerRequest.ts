import type http from 'node:http';
import type { CallAllowance } from '@marjorampin/allowances';
import { type ByteAccount, GrowingBuffer, type Holding } from '@marjorampin/http';
import { CallError, type ClientAccount, type Clock } from '@marjorampin/types';
import type { CallerLimits, Route } from '@marjorampin/routing';
import type { CallerAccess } from './accountAccess';
import type { CallTrace } from './callTrace';
import type { CallHeaders } from './headerCodec';
import type { CallInput } from './callInput';
import { inputsTooLarge } from './gatewayErrors';
import { HeldReading } from './heldReading';
import { readChunks } from './messageChunks';

const NO_BODY = Buffer.alloc(0);

/** A caller's call while it is handled. */
export interface CallerRequest {
  message: http.IncomingMessage;
  response: http.ServerResponse;
  route: Route;
  /** Account on whose behalf the caller sends the call; undefined on public routes and without accounts. */
  account: ClientAccount | undefined;
  /** Priority rank of the account, or else of the route; 0 is the highest. */
  rank: number;
  /** Access to the route, which has to be checked again before the call is sent. */
  access: CallerAccess;
  /** Allows the call to be sent to endpoints, within the limit of its account. */
  allowance: CallAllowance;
  callHeaders: CallHeaders;
  /** Whether this process has served an earlier call of the same program. */
  isProgramKnown: boolean;
  body: Buffer;
  /** Bytes that the call holds as its input; absent without a body. */
  holding: Holding | undefined;
  input: CallInput;
  trace: CallTrace;
  /** Clock time by which the caller must be answered, in milliseconds. */
  deadlineMs: number;
  /** Aborts when the caller disconnects or the deadline passes. */
  signal: AbortSignal;
}

/** The caller sent no data within the idle timeout; this ends its connection. */
export class BodyOverdue extends Error {
  constructor() {
    super('the caller sent no data within the idle timeout; send the body without pauses');
  }
}

/** A request's body with the holding of its bytes, which has to be closed; absent without a body. */
export interface CallerBody {
  body: Buffer;
  holding?: Holding;
}

/** How a request's body is read. */
export interface ReadOptions {
  limits: CallerLimits;
  /** Counts the bytes that are held. */
  held: ByteAccount;
  signal: AbortSignal;
}

/**
 * Reads a request body. Throws `too-large` above the size limit, `overloaded` if the process holds too
 * much to accept it, `cancelled` when the body ends
 * early or `signal` aborts, and `BodyOverdue` when no data arrives within the idle timeout, which
 * destroys the request.
 */
export async function readCallerBody(
  message: http.IncomingMessage,
  { limits: { bodyBytes, idleTimeoutMs }, held, signal }: ReadOptions,
): Promise<CallerBody> {
  const tooLarge = () =>
    new CallError({
      kind: 'too-large',
      message: `the request body exceeds ${bodyBytes} bytes; send a smaller one`,
    });
  const declaredBytes = Number(message.headers['content-length'] ?? 0);
  if (declaredBytes > bodyBytes) throw tooLarge();
  if (declaredBytes === 0 && message.headers['transfer-encoding'] === undefined) {
    return { body: NO_BODY };
  }
  if (!held.hasRoomFor(declaredBytes)) throw inputsTooLarge(held);
  const body = new GrowingBuffer({ expectedBytes: declaredBytes, maximumBytes: bodyBytes });
  const reading = new HeldReading(message);
  const idle = setTimeout(() => {
    if (reading.isHeld) idle.refresh();
    else message.destroy(new BodyOverdue());
  }, idleTimeoutMs);
  const aborted = rejectOnAbort(signal);
  const holding = held.open({
    kind: 'input',
    breakOff: () => aborted.reject(inputsTooLarge(held)),
  });
  let isOver = false;
  let cancelWait = () => undefined as void;
  const read = readChunks(message, (chunk) => {
    // The rest of a refused body is dropped.
    if (isOver) return undefined;
    idle.refresh();
    if (body.length + chunk.length > bodyBytes) throw tooLarge();
    if (signal.aborted) throw bodyIncomplete();
    const { capacity } = body;
    body.append(chunk);
    if (body.capacity !== capacity) holding.resize(body.capacity);
    if (!reading.isHeld && holding.isCrowded) {
      reading.hold();
      cancelWait = holding.awaitRoom(() => {
        idle.refresh();
        reading.release();
      });
    }
    return undefined;
  });
  try {
    await Promise.race([read, aborted.promise]);
    if (!message.complete) throw bodyIncomplete();
    if (!holding.protect()) throw inputsTooLarge(held);
  } catch (error) {
    holding.close();
    body.clear();
    throw error;
  } finally {
    isOver = true;
    clearTimeout(idle);
    cancelWait();
    reading.release();
    aborted.release();
  }
  return { body: body.bytes, holding };
}

function bodyIncomplete(): CallError {
  const message = 'the caller did not send the whole body; send it within the deadline';
  return new CallError({ kind: 'cancelled', message });
}

/** A promise that rejects when a signal aborts or `reject` is called. */
interface Interruption {
  promise: Promise<never>;
  reject(error: Error): void;
  /** Stops listening. */
  release(): void;
}

function rejectOnAbort(signal: AbortSignal): Interruption {
  let rejectPromise: Interruption['reject'] = () => undefined;
  const promise = new Promise<never>((_, reject) => {
    rejectPromise = reject;
  });
  const onAbort = () => rejectPromise(bodyIncomplete());
  signal.addEventListener('abort', onAbort);
  return {
    promise,
    reject: rejectPromise,
    release: () => signal.removeEventListener('abort', onAbort),
  };
}

/** Returns the milliseconds until a call's deadline; 0 after it has passed. */
export function remainingMs(
  { deadlineMs }: Pick<CallerRequest, 'deadlineMs'>,
  clock: Clock,
): number {
  return Math.max(0, deadlineMs - clock.now());
}
