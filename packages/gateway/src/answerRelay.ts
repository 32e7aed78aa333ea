import { once } from 'node:events';
import type http from 'node:http';
import { CallError } from '@marjorampin/types';
import type { HeaderCodec, RawHeaders } from './headerCodec';
import type { EndpointAnswer } from './endpointExchange';
import { endToEndHeaders, headerValue } from './rawHeaders';
import { WholeEvents } from './wholeEvents';

/** Answers up to this size are buffered before any part is sent. If an answer is interrupted, the call
 * can then be retried at another endpoint. */
const MAXIMUM_BUFFERED_BYTES = 256 * 1024;

const LENGTH_HEADERS = new Set(['content-length']);

/**
 * Sends an answer once it is whole, or as it arrives once it exceeds the buffer. Throws
 * `endpoint-failed` when the answer is interrupted.
 */
export async function relayAnswer(
  response: http.ServerResponse,
  answer: EndpointAnswer,
  headerCodec: HeaderCodec,
): Promise<void> {
  const { status, headers, body } = answer;
  let buffered: Buffer[] = [];
  try {
    await body.read((chunk) => {
      buffered.push(chunk);
      if (body.bytes <= MAXIMUM_BUFFERED_BYTES) return undefined;
      if (!response.headersSent) response.writeHead(status, headerCodec.writeAnswer(headers));
      const bytes = Buffer.concat(buffered);
      buffered = [];
      return writeToCaller(response, bytes);
    });
  } catch (error) {
    throw unreadableAnswer(error);
  }
  if (response.headersSent) response.end();
  else sendBufferedAnswer(response, answer, Buffer.concat(buffered), headerCodec);
}

function sendBufferedAnswer(
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

/** Writes bytes; returns a promise if the caller does not accept more yet, which is fulfilled once it
 * does or has disconnected. */
export function writeToCaller(
  response: http.ServerResponse,
  bytes: Buffer,
): Promise<void> | undefined {
  if (response.write(bytes) || response.destroyed) return undefined;
  return waitForCaller(response);
}

async function waitForCaller(response: http.ServerResponse): Promise<void> {
  const settled = new AbortController();
  const { signal } = settled;
  try {
    await Promise.race([once(response, 'drain', { signal }), once(response, 'close', { signal })]);
  } finally {
    settled.abort();
  }
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
  if (!response.headersSent) response.writeHead(status, streamHeaders(answer, headerCodec));
  else if (status !== 200) throw notContinued(answer);
  const events = isResumable ? new WholeEvents() : undefined;
  try {
    await body.read((chunk) => {
      const bytes = events ? events.next(chunk) : chunk;
      if (bytes.length === 0) return undefined;
      onBytes(bytes);
      return writeToCaller(response, bytes);
    });
  } catch (error) {
    throw unreadableAnswer(error);
  }
}

/** With the length of a stream, the caller would take it as complete before its end is checked. */
function streamHeaders({ headers }: EndpointAnswer, headerCodec: HeaderCodec): RawHeaders {
  return endToEndHeaders(headerCodec.writeAnswer(headers), LENGTH_HEADERS);
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
