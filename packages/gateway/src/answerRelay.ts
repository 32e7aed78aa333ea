import { once } from 'node:events';
import type http from 'node:http';
import { CallError } from '@marjorampin/types';
import type { HeaderCodec, RawHeaders } from './headerCodec';
import { type EndpointAnswer, readAnswerBody } from './endpointExchange';
import { endToEndHeaders, headerValue } from './rawHeaders';
import { WholeEvents } from './wholeEvents';

/** Answers up to this size are buffered before any part is sent. If an answer is interrupted, the call
 * can then be retried at another endpoint. */
const MAXIMUM_BUFFERED_BYTES = 256 * 1024;

const LENGTH_HEADERS = new Set(['content-length']);

/** Returns whether an answer can be buffered: its length is within the limit or not declared. */
export function isBufferable({ headers }: EndpointAnswer): boolean {
  const length = headerValue(headers, 'content-length');
  return length === undefined || Number(length) <= MAXIMUM_BUFFERED_BYTES;
}

/** Reads an answer's body; throws `endpoint-failed` when it is incomplete or too large. */
export async function bufferAnswer({ body }: EndpointAnswer): Promise<Buffer> {
  try {
    return await readAnswerBody(body, MAXIMUM_BUFFERED_BYTES);
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

/** Breaks off an answer so that its caller can't take it as complete. */
export function abortAnswer(message: http.IncomingMessage, response: http.ServerResponse): void {
  // Without chunks, the end of the connection marks the end of a stream, so only a reset differs.
  if (message.httpVersion === '1.0') message.socket.resetAndDestroy();
  response.destroy();
}

/** How `relayStream` passes a stream on. */
export interface RelayOptions {
  /** Passes on only complete events, so that another run can continue an interrupted stream. */
  isResumable: boolean;
  /** Receives the bytes that are passed on. */
  onBytes?(bytes: Buffer): void;
}

/**
 * Sends an answer's headers unless those of an earlier run were sent, then the stream as it arrives,
 * but doesn't end the response. Throws `endpoint-failed` when the answer is interrupted.
 */
export async function relayStream(
  response: http.ServerResponse,
  answer: EndpointAnswer,
  headerCodec: HeaderCodec,
  { isResumable, onBytes = () => undefined }: RelayOptions,
): Promise<void> {
  const { status, body } = answer;
  if (!response.headersSent) response.writeHead(status, relayedHeaders(answer, headerCodec));
  else if (status !== 200) throw notContinued(answer);
  const events = isResumable ? new WholeEvents() : undefined;
  const pass = async (bytes: Buffer) => {
    if (bytes.length === 0) return;
    onBytes(bytes);
    if (response.write(bytes) || response.destroyed) return;
    await Promise.race([once(response, 'drain'), once(response, 'close')]);
  };
  try {
    for await (const chunk of body) {
      await pass(events ? events.next(chunk) : chunk);
    }
  } catch (error) {
    throw unreadableAnswer(error);
  }
}

/** With the length of a stream, the caller would take it as complete before its end is checked. */
function relayedHeaders({ headers, body }: EndpointAnswer, headerCodec: HeaderCodec): RawHeaders {
  const callerHeaders = headerCodec.writeAnswer(headers);
  return body.isEventStream ? endToEndHeaders(callerHeaders, LENGTH_HEADERS) : callerHeaders;
}

/** Returns the error for an answer that does not continue the stream of an earlier run. */
function notContinued({ status, body }: EndpointAnswer): CallError {
  body.destroy();
  return new CallError({
    kind: 'endpoint-failed',
    message: `the endpoint answered with status ${status} instead of continuing the stream`,
    execution: 'unknown',
  });
}

function unreadableAnswer(error: unknown): CallError {
  const reason = error instanceof Error ? error.message : String(error);
  return new CallError({
    kind: 'endpoint-failed',
    message: `could not read the endpoint's answer: ${reason}; retry the call if it is safe to repeat`,
    execution: 'unknown',
  });
}
