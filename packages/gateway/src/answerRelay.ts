import { once } from 'node:events';
import type http from 'node:http';
import { CallError } from '@marjorampin/types';
import type { Dialect } from './dialect';
import { type EndpointAnswer, readAnswerBody } from './endpointExchange';
import { headerValue } from './rawHeaders';

/** Answers up to this size are read whole before the caller gets any of it, so that a broken one
 * can be replaced by another endpoint's. */
const MAXIMUM_BUFFERED_BYTES = 256 * 1024;

/** Returns whether an answer is small enough to be read whole first. */
export function isBufferable({ headers }: EndpointAnswer): boolean {
  const length = headerValue(headers, 'content-length');
  return length === undefined || Number(length) <= MAXIMUM_BUFFERED_BYTES;
}

/** Reads an answer whole; throws `endpoint-failed` when it breaks off. */
export async function bufferAnswer({ message }: EndpointAnswer): Promise<Buffer> {
  try {
    return await readAnswerBody(message, MAXIMUM_BUFFERED_BYTES);
  } catch (error) {
    throw unreadableAnswer(error);
  }
}

/** Sends an answer that was read whole. */
export function sendBufferedAnswer(
  response: http.ServerResponse,
  { status, headers }: EndpointAnswer,
  body: Buffer,
  dialect: Dialect,
): void {
  const callerHeaders = dialect.writeAnswer(headers);
  if (headerValue(callerHeaders, 'content-length') === undefined) {
    callerHeaders.push('Content-Length', `${body.length}`);
  }
  response.writeHead(status, callerHeaders);
  response.end(body);
}

/** Sends the beginning of an answer, then its parts as they come; the end is left to the caller. */
export async function relayStream(
  response: http.ServerResponse,
  { status, headers, message }: EndpointAnswer,
  dialect: Dialect,
  onChunk: (chunk: Buffer) => void = () => undefined,
): Promise<void> {
  response.writeHead(status, dialect.writeAnswer(headers));
  try {
    for await (const part of message) {
      onChunk(part as Buffer);
      if (!response.write(part) && !response.destroyed) {
        await Promise.race([once(response, 'drain'), once(response, 'close')]);
      }
    }
  } catch (error) {
    throw unreadableAnswer(error);
  }
  if (!message.complete) throw unreadableAnswer(new Error('the answer has no end'));
}

function unreadableAnswer(error: unknown): CallError {
  const reason = error instanceof Error ? error.message : String(error);
  return new CallError({
    kind: 'endpoint-failed',
    message: `the answer broke off: ${reason}; send the call again if it may be repeated`,
    execution: 'unknown',
  });
}
