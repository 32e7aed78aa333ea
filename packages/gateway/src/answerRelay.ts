import { once } from 'node:events';
import type http from 'node:http';
import type { ByteAccount } from '@marjorampin/http';
import { CallError } from '@marjorampin/types';
import type { HeaderCodec, RawHeaders } from './headerCodec';
import type { EndpointAnswer } from './endpointExchange';
import type { EventReader } from './eventReader';
import { endToEndHeaders, headerValue } from './rawHeaders';
import { WholeEvents } from './wholeEvents';

/** Answers up to this size are buffered before any part is sent. If an answer is interrupted, the call
 * can then be retried at another endpoint. */
const MAXIMUM_BUFFERED_BYTES = 256 * 1024;

/** What Node.js reads at once from an endpoint whose answer waits for its caller. */
const UNREAD_BYTES = 64 * 1024;

const LENGTH_HEADERS = new Set(['content-length']);

/**
 * Sends an answer once it is whole, or as it arrives once it exceeds the buffer. Throws
 * `endpoint-failed` when the answer is interrupted.
 */
export async function relayAnswer(
  response: http.ServerResponse,
  answer: EndpointAnswer,
  { headerCodec, held }: RelayContext,
): Promise<void> {
  const { status, headers, body } = answer;
  let buffered: Buffer[] = [];
  try {
    await body.read((chunk) => {
      buffered.push(chunk);
      if (body.bytes <= MAXIMUM_BUFFERED_BYTES) {
        body.hold(body.bytes);
        return undefined;
      }
      if (!response.headersSent) response.writeHead(status, headerCodec.writeAnswer(headers));
      const bytes = Buffer.concat(buffered);
      buffered = [];
      body.hold(0);
      return writeToCaller(response, bytes, held);
    });
  } catch (error) {
    throw unreadableAnswer(error);
  }
  if (response.headersSent) response.end();
  else sendBufferedAnswer(response, answer, Buffer.concat(buffered), headerCodec);
  holdUnsent(response, held);
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

/** Counts what a caller has not accepted yet of a whole answer, until it has or has disconnected. */
export function holdUnsent(response: http.ServerResponse, held: ByteAccount): void {
  const { writableLength } = response;
  if (writableLength === 0 || response.destroyed) return;
  const unsent = held.open({ kind: 'output', breakOff: () => response.destroy() });
  response.once('close', () => unsent.close());
  unsent.resize(writableLength);
}

/** Writes bytes; returns a promise if the caller does not accept more yet, which is fulfilled once it
 * does or has disconnected. */
export function writeToCaller(
  response: http.ServerResponse,
  bytes: Buffer,
  held: ByteAccount,
): Promise<void> | undefined {
  if (response.write(bytes) || response.destroyed) return undefined;
  return waitForCaller(response, held);
}

async function waitForCaller(response: http.ServerResponse, held: ByteAccount): Promise<void> {
  const settled = new AbortController();
  const unsent = held.open({ kind: 'output', breakOff: () => response.destroy() });
  const { signal } = settled;
  try {
    unsent.resize(response.writableLength + UNREAD_BYTES);
    if (response.destroyed) return;
    await Promise.race([once(response, 'drain', { signal }), once(response, 'close', { signal })]);
  } finally {
    settled.abort();
    unsent.close();
  }
}

/** Breaks off an answer so that its caller can't take it as complete. */
export function abortAnswer(message: http.IncomingMessage, response: http.ServerResponse): void {
  // Without chunks, the end of the connection marks the end of a stream, so only a reset differs.
  if (message.httpVersion === '1.0') message.socket.resetAndDestroy();
  response.destroy();
}

/** What passing on an answer needs besides the answer. */
export interface RelayContext {
  headerCodec: HeaderCodec;
  /** Counts the bytes that wait for callers. */
  held: ByteAccount;
}

/** How `relayStream` passes a stream on. */
export interface RelayOptions {
  /** Passes on only complete events, so that another run can continue an interrupted stream. */
  isResumable: boolean;
  /** Reads the events that are passed on; not by default. */
  events?: EventReader | undefined;
  /** Number of events above which the stream is broken off; unlimited by default. */
  maximumEvents?: number | undefined;
}

/**
 * Sends an answer's headers unless those of an earlier run were sent, then the stream as it arrives,
 * but doesn't end the response. Throws `endpoint-failed` when the answer is interrupted.
 */
export async function relayStream(
  response: http.ServerResponse,
  answer: EndpointAnswer,
  { headerCodec, held }: RelayContext,
  { isResumable, events, maximumEvents = Infinity }: RelayOptions,
): Promise<void> {
  const { status, body } = answer;
  if (!response.headersSent) response.writeHead(status, streamHeaders(answer, headerCodec));
  else if (status !== 200) throw notContinued(answer);
  const whole = isResumable ? new WholeEvents() : undefined;
  try {
    await body.read((chunk) => {
      const bytes = whole ? whole.next(chunk) : chunk;
      if (bytes.length > 0) events?.read(bytes);
      if (events && events.startedCount > maximumEvents) {
        throw body.exceed('events of a turn', maximumEvents);
      }
      if (events) body.hold(events.heldBytes + (whole?.heldBytes ?? 0));
      return bytes.length === 0 ? undefined : writeToCaller(response, bytes, held);
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
