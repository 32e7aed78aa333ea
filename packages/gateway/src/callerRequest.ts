import type http from 'node:http';
import { CallError, type Clock } from '@marjorampin/types';
import type { CallerLimits, Route } from '@marjorampin/routing';
import type { CallTrace } from './callTrace';
import type { CallTerms } from './dialect';

/** One call of a caller while it is handled. */
export interface CallerRequest {
  message: http.IncomingMessage;
  response: http.ServerResponse;
  route: Route;
  terms: CallTerms;
  body: Buffer;
  trace: CallTrace;
  /** Time of the clock until which the caller is kept waiting. */
  deadlineMs: number;
  /** Aborts when the caller leaves or the deadline passes. */
  signal: AbortSignal;
}

/** Reads a body whole; throws `too-large` or `request-timeout`. */
export async function readCallerBody(
  message: http.IncomingMessage,
  { bodyBytes, idleTimeoutMs }: CallerLimits,
): Promise<Buffer> {
  const tooLarge = () =>
    new CallError({
      kind: 'too-large',
      message: `the body is larger than ${bodyBytes} bytes; send a smaller one`,
    });
  if (Number(message.headers['content-length'] ?? 0) > bodyBytes) throw tooLarge();
  const chunks: Buffer[] = [];
  let bytes = 0;
  const idle = setTimeout(() => message.destroy(new Error('idle')), idleTimeoutMs);
  try {
    for await (const chunk of message) {
      idle.refresh();
      bytes += (chunk as Buffer).length;
      if (bytes > bodyBytes) throw tooLarge();
      chunks.push(chunk as Buffer);
    }
  } finally {
    clearTimeout(idle);
  }
  if (!message.complete) {
    throw new CallError({ kind: 'cancelled', message: 'the caller left while sending the body' });
  }
  return Buffer.concat(chunks);
}

/** Returns the milliseconds until a call's deadline, at least 0. */
export function remainingMs(
  { deadlineMs }: Pick<CallerRequest, 'deadlineMs'>,
  clock: Clock,
): number {
  return Math.max(0, deadlineMs - clock.now());
}
