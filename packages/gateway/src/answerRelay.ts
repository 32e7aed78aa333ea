import { once } from 'node:events';
import type http from 'node:http';
import { CallError } from '@marjorampin/types';
import type { HeaderCodec } from './headerCodec';
import { type EndpointAnswer, readAnswerBody } from './endpointExchange';
import { headerValue } from './rawHeaders';

/** Answers up to this size are buffered before any part is sent. If an answer is interrupted, the call
 * can then be retried at another endpoint. */
const MAXIMUM_BUFFERED_BYTES = 256 * 1024;

/** Returns whether an answer can be buffered: its length is within the limit or not declared. */
export function isBufferable({ headers }: EndpointAnswer): boolean {
  const length = headerValue(headers, 'content-length');
  return length === undefined || Number(length) <= MAXIMUM_BUFFERED_BYTES;
}

/** Reads an answer's body; throws `endpoint-failed` when it is incomplete or too large. */
export async function bufferAnswer({ message }: EndpointAnswer): Promise<Buffer> {
  try {
    return await readAnswerBody(message, MAXIMUM_BUFFERED_BYTES);
  } catch (error) {
    throw unreadableAnswer(error);
  }
}

/** Sends a buffered answer to the caller. */
export function sendBufferedAnswer(
  response: http.ServerResponse,
  { status, headers }: EndpointAnswer,
  body: Buffer,
  headerCodec: HeaderCodec,
): void {
  const callerHeaders = headerCodec.writeAnswer(headers);
  if (headerValue(callerHeaders, 'content-length') === undefined) {
    callerHeaders.push('Content-Length', `${body.length}`);
  }
  response.writeHead(status, callerHeaders);
  response.end(body);
}

/**
 * Sends an answer's headers, then each chunk as it arrives, but doesn't end the response. Throws
 * `endpoint-failed` when the answer is interrupted.
 */
export async function relayStream(
  response: http.ServerResponse,
  { status, headers, message }: EndpointAnswer,
  headerCodec: HeaderCodec,
  onChunk: (chunk: Buffer) => void = () => undefined,
): Promise<void> {
  response.writeHead(status, headerCodec.writeAnswer(headers));
  try {
    for await (const chunk of message) {
      onChunk(chunk as Buffer);
      if (!response.write(chunk) && !response.destroyed) {
        await Promise.race([once(response, 'drain'), once(response, 'close')]);
      }
    }
  } catch (error) {
    throw unreadableAnswer(error);
  }
  if (!message.complete) throw unreadableAnswer(new Error('the connection closed prematurely'));
}

function unreadableAnswer(error: unknown): CallError {
  const reason = error instanceof Error ? error.message : String(error);
  return new CallError({
    kind: 'endpoint-failed',
    message: `could not read the endpoint's answer: ${reason}; retry the call if it is safe to repeat`,
    execution: 'unknown',
  });
}
