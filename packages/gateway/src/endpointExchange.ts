import http from 'node:http';
import { type ByteAccount, MAXIMUM_INTERIM_ANSWERS } from '@marjorampin/http';
import type { Endpoint } from '@marjorampin/types';
import { CallError, parsePeerAddress } from '@marjorampin/types';
import { KeepAliveAgent } from './keepAliveAgent';
import { AnswerBody } from './answerBody';
import type { AnswerHeaders, HeaderCodec, RawHeaders } from './headerCodec';

/** Time within which an endpoint must accept a connection; otherwise the call isn't sent. */
const CONNECT_TIMEOUT_MS = 400;

/** Lower statuses are those of interim answers or invalid. */
const LOWEST_FINAL_STATUS = 200;

/** One call to one endpoint. */
export interface EndpointCall {
  endpoint: Endpoint;
  method: string;
  target: string;
  headers: RawHeaders;
  body: Buffer;
  requestId: string;
  signal: AbortSignal;
  /** Whether to send the call on an idle connection of an earlier call, if there is one. */
  mayReuseConnection: boolean;
  /** Whether the body of a success is a stream of server-sent events. */
  expectsEvents: boolean;
  /** Counts the bytes of the answer that are held. */
  held: ByteAccount;
  /** Limit of an answer whose size is not declared, in bytes, if it is lower than that of all answers. */
  maximumAnswerBytes?: number | undefined;
  /** Is called with each chunk of a stream as it arrives. */
  onChunk?: ((chunk: Buffer) => void) | undefined;
}

/** Idle connections are closed after this time, as the endpoint may already be closing them. */
const IDLE_LIMIT_MS = 1_000;
const IDLE_CONNECTIONS_PER_ENDPOINT = 32;

const keepAliveAgent = new KeepAliveAgent({
  maxFreeSockets: IDLE_CONNECTIONS_PER_ENDPOINT,
  timeout: IDLE_LIMIT_MS,
  scheduling: 'lifo',
});

/** Opens a connection for each call; creating an agent for each one would cost more. */
const closingAgent = new http.Agent({ keepAlive: false });

/** Returns whether an idle connection to an endpoint is open. */
export function hasIdleConnection({ address }: Endpoint): boolean {
  // The key under which `http.Agent` stores the connections to an address without TLS.
  const idle = keepAliveAgent.freeSockets[`${address.replace(/[[\]]/g, '')}:`];
  return idle !== undefined && idle.length > 0;
}

/** An endpoint's answer, whose body is still to be read. */
export interface EndpointAnswer {
  status: number;
  headers: RawHeaders;
  parsedHeaders: AnswerHeaders;
  body: AnswerBody;
}

/**
 * Sends a call and resolves once the headers of its answer have arrived. A reused connection may be
 * closing or deliver an answer of an earlier call; the call then fails with an unknown outcome.
 * Rejects with a `CallError` whose `execution` states whether the call may have run.
 */
export function exchangeWithEndpoint(
  call: EndpointCall,
  headerCodec: HeaderCodec,
): Promise<EndpointAnswer> {
  const { endpoint, method, target, headers, body, requestId, signal } = call;
  const agent = call.mayReuseConnection ? keepAliveAgent : closingAgent;
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
      fail('the caller disconnected or the deadline passed before the call was sent');
      return;
    }
    const address = parsePeerAddress(endpoint.address);
    if (!address) {
      fail(
        `its address ${endpoint.address} is not an IP address and a port; correct its registration`,
      );
      return;
    }
    let request: http.ClientRequest;
    try {
      request = http.request({ ...address, method, path: target, headers, agent });
    } catch (error) {
      // The address was checked, so the cause is a header or the target of the call.
      reject(notForwardable(error));
      return;
    }
    // The option `signal` of a request does the same at several times the cost.
    const onAbort = () =>
      request.destroy(new Error('the caller disconnected or the deadline passed'));
    signal.addEventListener('abort', onAbort);
    let connectTimer: NodeJS.Timeout | undefined;
    const onConnected = () => {
      isConnected = true;
      clearTimeout(connectTimer);
    };
    request.on('socket', (socket) => {
      if (!socket.connecting) {
        onConnected();
        return;
      }
      connectTimer = setTimeout(() => {
        request.destroy(new Error(`no connection within ${CONNECT_TIMEOUT_MS} ms`));
      }, CONNECT_TIMEOUT_MS);
      socket.setNoDelay(true);
      socket.once('connect', onConnected);
    });
    let interimAnswers = 0;
    request.on('information', () => {
      interimAnswers += 1;
      if (interimAnswers > MAXIMUM_INTERIM_ANSWERS) {
        request.destroy(new Error(`more than ${MAXIMUM_INTERIM_ANSWERS} interim answers`));
      }
    });
    request.on('response', (message) => {
      const status = message.statusCode ?? 0;
      const parsedHeaders = headerCodec.readAnswer(status, message.rawHeaders);
      const isFinal = status >= LOWEST_FINAL_STATUS;
      const mismatch = isFinal
        ? mismatchOf(parsedHeaders.requestIds, requestId, request.reusedSocket)
        : `it answered with status ${status}, which is not that of an answer`;
      if (mismatch !== undefined) {
        message.on('error', () => undefined);
        request.destroy();
        fail(mismatch);
        return;
      }
      answerMessage = message;
      const isEventStream = call.expectsEvents && status === 200;
      const { held, maximumAnswerBytes: maximumBytes, onChunk } = call;
      const answerBody = new AnswerBody({ message, isEventStream, held, maximumBytes, onChunk });
      resolve({ status, headers: message.rawHeaders, parsedHeaders, body: answerBody });
    });
    request.on('error', (error) => {
      clearTimeout(connectTimer);
      fail(error.message);
      // Node.js treats a reset as the end of a body without a declared length.
      if (answerMessage && !answerMessage.complete) answerMessage.destroy(error);
    });
    request.on('upgrade', (_, socket) => {
      socket.destroy();
      fail('it switched to another protocol, which was not requested');
    });
    request.on('close', () => {
      clearTimeout(connectTimer);
      signal.removeEventListener('abort', onAbort);
      if (!answerMessage) fail('the connection closed without an answer');
    });
    request.end(body);
  });
}

/**
 * Returns why an answer can't be attributed to a call, undefined if it can. Only the first answer on
 * a connection needs no id, as it can't belong to an earlier call.
 */
function mismatchOf(
  answeredIds: string[],
  requestId: string,
  isReused: boolean,
): string | undefined {
  const otherId = answeredIds.find((id) => id !== requestId);
  if (otherId !== undefined) return `its answer belongs to another call, "${otherId}"`;
  if (!isReused || answeredIds.length > 0) return undefined;
  return 'its answer names no call and may belong to an earlier one on the connection';
}

function notForwardable(error: unknown): CallError {
  const reason = error instanceof Error ? error.message : String(error);
  const message = `the request can't be forwarded: ${reason}; correct its headers or target`;
  return new CallError({ kind: 'invalid-request', message });
}
