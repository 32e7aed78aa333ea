import type http from 'node:http';
import type https from 'node:https';
import type { Socket } from 'node:net';
import { ConnectionLimit, type LimitAction } from './connectionLimit';
import { PipelineLimit } from './pipelineLimit';

/** Time for the headers of a request, and for all of it. */
const HEADERS_TIMEOUT_MS = 5_000;
const REQUEST_TIMEOUT_MS = 10_000;
/** Time after which a connection without a request is closed. */
const IDLE_TIMEOUT_MS = 15_000;

/** Options of `serveLimited`. */
export interface ServeLimitedOptions {
  maximumConnections: number;
  /** Requests of one connection that are served at once. */
  maximumPipelined: number;
  requestTimeoutMs?: number;
  handle: http.RequestListener;
  onLimit?: (action: LimitAction) => void;
}

/** Serves the requests of a server with limits on connections, pipelined requests and times. */
export function serveLimited(
  server: http.Server | https.Server,
  {
    maximumConnections,
    maximumPipelined,
    requestTimeoutMs = REQUEST_TIMEOUT_MS,
    handle,
    onLimit,
  }: ServeLimitedOptions,
): void {
  const limited = server;
  limited.headersTimeout = HEADERS_TIMEOUT_MS;
  limited.requestTimeout = requestTimeoutMs;
  limited.keepAliveTimeout = IDLE_TIMEOUT_MS;
  const pipelined = new PipelineLimit(maximumPipelined);
  const connections = new ConnectionLimit({
    maximum: maximumConnections,
    useOf: (socket: Socket) => (pipelined.unansweredOf(socket) > 0 ? 'busy' : 'idle'),
    ...(onLimit && { onLimit }),
  });
  const accept = (socket: Socket) => {
    if (connections.add(socket)) pipelined.watch(socket);
    else socket.destroy();
  };
  // A TLS connection has its parser only once it is secure.
  server.on('secureConnection', accept);
  if (!('setSecureContext' in server)) server.on('connection', accept);
  server.on('request', (message: http.IncomingMessage, response: http.ServerResponse) => {
    if (pipelined.admit(message.socket, response)) handle(message, response);
  });
}
