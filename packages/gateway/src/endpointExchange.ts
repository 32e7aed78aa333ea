import http from 'node:http';
import type { Endpoint } from '@marjorampin/types';
import { CallError, parsePeerAddress } from '@marjorampin/types';
import type { AnswerTerms, Dialect, RawHeaders } from './dialect';

/** An endpoint that does not take a connection within this time gets nothing. */
const CONNECT_TIMEOUT_MS = 400;

/** One call to one endpoint. */
export interface EndpointCall {
  endpoint: Endpoint;
  method: string;
  target: string;
  headers: RawHeaders;
  body: Buffer;
  requestId: string;
  signal: AbortSignal;
  /** Sends over a connection that an earlier call has left, if there is one. */
  mayReuseConnection: boolean;
}

/** A connection that was idle for longer may be closing at the endpoint's side. */
const IDLE_LIMIT_MS = 1_000;
const IDLE_CONNECTIONS_PER_ENDPOINT = 32;

const keepAliveAgent = new http.Agent({
  keepAlive: true,
  maxFreeSockets: IDLE_CONNECTIONS_PER_ENDPOINT,
  timeout: IDLE_LIMIT_MS,
  scheduling: 'lifo',
});

/** Returns whether a connection to an endpoint is open that no call uses. */
export function hasIdleConnection({ address }: Endpoint): boolean {
  // The agent's name for the connections of an address without TLS.
  const idle = keepAliveAgent.freeSockets[`${address}:`];
  return idle !== undefined && idle.length > 0;
}

/** The beginning of an endpoint's answer; the body follows in `message`. */
export interface EndpointAnswer {
  status: number;
  headers: RawHeaders;
  terms: AnswerTerms;
  message: http.IncomingMessage;
}

/**
 * Sends a call and resolves with the beginning of the answer. A connection that is used again may
 * be closing, or bring leftovers of an earlier call: the call then ends with an unknown outcome.
 * Throws a `CallError` that says whether the call may have run.
 */
export function exchangeWithEndpoint(
  call: EndpointCall,
  dialect: Dialect,
): Promise<EndpointAnswer> {
  const { endpoint, method, target, headers, body, requestId, signal } = call;
  const agent = call.mayReuseConnection ? keepAliveAgent : false;
  return new Promise((resolve, reject) => {
    let isConnected = false;
    let answerMessage: http.IncomingMessage | undefined;
    const fail = (reason: string) => {
      reject(
        new CallError({
          kind: signal.aborted ? 'cancelled' : 'endpoint-failed',
          message: `endpoint ${endpoint.id}: ${reason}`,
          execution: isConnected ? 'unknown' : 'not-run',
        }),
      );
    };
    if (signal.aborted) {
      fail('the caller left before the call was sent');
      return;
    }
    const address = parsePeerAddress(endpoint.address);
    if (!address) {
      fail(`its address ${endpoint.address} is not an IP number and a port; correct its entry`);
      return;
    }
    const request = http.request({
      ...address,
      method,
      path: target,
      headers,
      agent,
      signal,
    });
    const connectTimer = setTimeout(() => {
      request.destroy(new Error(`no connection within ${CONNECT_TIMEOUT_MS} ms`));
    }, CONNECT_TIMEOUT_MS);
    const onConnected = () => {
      isConnected = true;
      clearTimeout(connectTimer);
    };
    request.on('socket', (socket) => {
      if (!socket.connecting) {
        onConnected();
        return;
      }
      socket.setNoDelay(true);
      socket.once('connect', onConnected);
    });
    request.on('response', (message) => {
      const status = message.statusCode ?? 0;
      const terms = dialect.readAnswer(status, message.rawHeaders);
      if (terms.requestId !== undefined && terms.requestId !== requestId) {
        message.on('error', () => undefined);
        request.destroy();
        fail(`the answer belongs to call ${terms.requestId}`);
        return;
      }
      answerMessage = message;
      watchForReset(message);
      resolve({ status, headers: message.rawHeaders, terms, message });
    });
    request.on('error', (error) => {
      clearTimeout(connectTimer);
      fail(error.message);
      // Node.js takes a reset for the end of a body that has no length.
      if (answerMessage && !answerMessage.complete) answerMessage.destroy(error);
    });
    request.on('close', () => clearTimeout(connectTimer));
    request.end(body);
  });
}

/**
 * Breaks an answer that a reset ends. libuv reports a reset that comes along with data as the
 * orderly end of the connection; only the socket itself knows that it has no peer any more.
 */
function watchForReset(message: http.IncomingMessage): void {
  const { socket, headers } = message;
  const framing = headers['content-length'] ?? headers['transfer-encoding'];
  if (framing !== undefined) return;
  socket.prependOnceListener('end', () => {
    if (!message.complete && socket.remoteAddress === undefined) {
      message.destroy(new Error('the endpoint reset the connection'));
    }
  });
}

/** Reads an answer to its end; throws when it breaks off or is larger than the limit. */
export async function readAnswerBody(
  message: http.IncomingMessage,
  limitBytes: number,
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of message) {
    bytes += (chunk as Buffer).length;
    if (bytes > limitBytes) throw new Error(`the answer is larger than ${limitBytes} bytes`);
    chunks.push(chunk as Buffer);
  }
  if (!message.complete) throw new Error('the answer broke off');
  return Buffer.concat(chunks);
}
