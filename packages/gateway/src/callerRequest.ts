import type http from 'node:http';
import { CallError, type Clock } from '@marjorampin/types';
import type { CallerLimits, Route } from '@marjorampin/routing';
import type { CallTrace } from './callTrace';
import type { CallHeaders } from './headerCodec';
import type { CallInput } from './callInput';
import { readChunks } from './messageChunks';

const NO_BODY = Buffer.alloc(0);

/** A caller's call while it is handled. */
export interface CallerRequest {
  message: http.IncomingMessage;
  response: http.ServerResponse;
  route: Route;
  callHeaders: CallHeaders;
  body: Buffer;
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

/**
 * Reads a request body. Throws `too-large` above the size limit, `cancelled` when the body ends
 * early or `signal` aborts, and `BodyOverdue` when no data arrives within the idle timeout, which
 * destroys the request.
 */
export async function readCallerBody(
  message: http.IncomingMessage,
  { bodyBytes, idleTimeoutMs }: CallerLimits,
  signal: AbortSignal,
): Promise<Buffer> {
  const tooLarge = () =>
    new CallError({
      kind: 'too-large',
      message: `the request body exceeds ${bodyBytes} bytes; send a smaller one`,
    });
  const declaredBytes = Number(message.headers['content-length'] ?? 0);
  if (declaredBytes > bodyBytes) throw tooLarge();
  if (declaredBytes === 0 && message.headers['transfer-encoding'] === undefined) return NO_BODY;
  const chunks: Buffer[] = [];
  let bytes = 0;
  const idle = setTimeout(() => message.destroy(new BodyOverdue()), idleTimeoutMs);
  const aborted = rejectOnAbort(signal);
  const read = readChunks(message, (chunk) => {
    idle.refresh();
    bytes += chunk.length;
    if (bytes > bodyBytes) throw tooLarge();
    if (signal.aborted) throw bodyIncomplete();
    chunks.push(chunk);
    return undefined;
  });
  try {
    await Promise.race([read, aborted.promise]);
  } finally {
    clearTimeout(idle);
    aborted.release();
  }
  if (!message.complete) throw bodyIncomplete();
  return Buffer.concat(chunks);
}

function bodyIncomplete(): CallError {
  const message = 'the caller did not send the whole body; send it within the deadline';
  return new CallError({ kind: 'cancelled', message });
}

/** Returns a promise that rejects when `signal` aborts, and a function that stops listening. */
function rejectOnAbort(signal: AbortSignal): { promise: Promise<never>; release(): void } {
  let onAbort = () => undefined as void;
  const promise = new Promise<never>((_, reject) => {
    onAbort = () => reject(bodyIncomplete());
    signal.addEventListener('abort', onAbort);
  });
  return { promise, release: () => signal.removeEventListener('abort', onAbort) };
}

/** Returns the milliseconds until a call's deadline; 0 after it has passed. */
export function remainingMs(
  { deadlineMs }: Pick<CallerRequest, 'deadlineMs'>,
  clock: Clock,
): number {
  return Math.max(0, deadlineMs - clock.now());
}
