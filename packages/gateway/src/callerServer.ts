import http from 'node:http';
import net, { type AddressInfo, type Socket } from 'node:net';
import {
  ConnectionLimit,
  type ConnectionUse,
  type LimitAction,
  PipelineLimit,
  serveLimited,
} from '@marjorampin/http';
import { type EventLog, LimitLog } from '@marjorampin/logging';
import type { Metrics } from '@marjorampin/metrics';
import type { CallerLimits } from '@marjorampin/routing';
import type { Clock, PeerAddress } from '@marjorampin/types';
import type { CallerConnections } from './callerConnections';
import type { EndedConnections } from './endedConnections';
import { ConnectionRelay, relayGreeting, type RelayTarget } from './connectionRelay';

/** Limit of the HTTP parser on headers; the configured limit is checked after parsing. */
const PARSER_HEADER_LIMIT_BYTES = 32 * 1024;
/** Interval of the check for connections that exceed the header timeout. */
const HEADER_CHECK_INTERVAL_MS = 500;
/** Length of the accept queue: one second's burst of connections at one host. */
const BACKLOG = 1024;
/** Limits until the first configuration arrives. */
const INITIAL_LIMITS = { headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 };

/** Time after which an own connection is closed with the next answer while others are relayed, so that
 * the caller's next one is placed anew. */
const PLACEMENT_LIFETIME_MS = 2_000;

/** Requests of one connection that are served at once; the connection closes with the last answer. */
const MAXIMUM_PIPELINED = 16;

/** The same for readiness probes. */
const MAXIMUM_PIPELINED_PROBES = 2;

/** Connections for readiness probes. */
const MAXIMUM_PROBE_CONNECTIONS = 32;

/** Sent on a connection that can't be served, from which nothing has been read. */
const REFUSED_CONNECTION =
  'HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n';

/** Statuses of requests that the parser rejects, by its error code; 400 for all other codes. */
const MALFORMED_STATUS: Record<string, string> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

/** How the entries of a failure domain share their callers' connections. */
export interface ConnectionSharing {
  /** Address to listen on for connections that other entries relay. */
  relayAddress: PeerAddress;
  /** Returns the entry that should serve a new connection; undefined for this one. */
  place(): RelayTarget | undefined;
  /** Returns whether this entry serves all connections that callers open to it. */
  servesAll(): boolean;
  /** Called with the id of an entry that could not be reached. */
  exclude(id: string): void;
}

/** Options of `CallerServer`. */
export interface CallerServerOptions {
  /** Address to listen on for callers. */
  address: PeerAddress;
  /** Address to listen on for the platform's readiness probes. */
  readyAddress: PeerAddress;
  log: EventLog;
  metrics: Metrics;
  clock: Clock;
  connections: CallerConnections;
  endedConnections: EndedConnections;
  /** Most connections of callers, with the relayed ones. */
  maximumConnections: number;
  /** Absent if this entry serves all its callers by itself. */
  sharing?: ConnectionSharing | undefined;
  serve(message: http.IncomingMessage, response: http.ServerResponse): void;
  isReady(): boolean;
  /** Returns the version of the configuration in effect. */
  version(): number;
  /** Returns the longest timeout of a route in milliseconds. */
  longestTimeoutMs(): number;
}

/** HTTP servers for callers and for readiness probes; rejects malformed requests. */
export class CallerServer {
  private readonly options: CallerServerOptions;

  private readonly server: http.Server;

  private readonly readyServer: http.Server;

  /** Accepts the connections of callers and hands them to `server` or to another entry. */
  private readonly placingServer: net.Server | undefined;

  /** Callers' connections that this entry accepted itself and serves. */
  private readonly ownConnections = new WeakSet<Socket>();

  private readonly pipelined = new PipelineLimit(MAXIMUM_PIPELINED, (socket) =>
    this.awaitEnd(socket),
  );

  private readonly connectionLimit: ConnectionLimit<Socket>;

  private readonly limitLog: LimitLog;

  /** Time at which each connection that this entry serves was opened. */
  private readonly openedAtMs = new WeakMap<Socket, number>();

  private readonly relay: ConnectionRelay;

  private accepted = 0;

  private isStopping = false;

  constructor(options: CallerServerOptions) {
    this.options = options;
    this.limitLog = new LimitLog(options);
    this.server = http.createServer(
      {
        maxHeaderSize: PARSER_HEADER_LIMIT_BYTES,
        connectionsCheckingInterval: HEADER_CHECK_INTERVAL_MS,
        requestTimeout: 0,
        noDelay: true,
      },
      (message, response) => {
        if (this.pipelined.admit(message.socket, response)) options.serve(message, response);
      },
    );
    this.connectionLimit = new ConnectionLimit({
      maximum: options.maximumConnections,
      useOf: (socket) => this.useOf(socket),
      onLimit: (action) => this.recordLimit('callers', action),
    });
    this.server.on('connection', (socket) => {
      if (!this.ownConnections.has(socket) && !this.connectionLimit.add(socket)) {
        refuseConnection(socket, options.sharing !== undefined);
        return;
      }
      this.pipelined.watch(socket);
      options.metrics.count('gateway_connections_total');
      this.openedAtMs.set(socket, options.clock.now());
      if (this.isRelayed(socket)) socket.write(relayGreeting(options.version()));
    });
    this.server.on('clientError', (error, socket) => this.rejectMalformed(error, socket as Socket));
    this.server.on('connect', (_, socket) => this.rejectConnect(socket as Socket));
    this.applyLimits(INITIAL_LIMITS);
    const { log, metrics, endedConnections, sharing, version, longestTimeoutMs } = options;
    this.relay = new ConnectionRelay({
      log,
      metrics,
      endedConnections,
      version,
      longestTimeoutMs,
    });
    if (sharing) {
      this.placingServer = net.createServer({ noDelay: true, pauseOnConnect: true }, (socket) =>
        this.placeConnection(socket, sharing),
      );
    }
    this.readyServer = this.createReadyServer();
  }

  /** Starts listening on both addresses. */
  async start(): Promise<void> {
    const { address, readyAddress, sharing } = this.options;
    await listen(this.readyServer, readyAddress);
    await listen(this.server, sharing ? sharing.relayAddress : address);
    if (this.placingServer) await listen(this.placingServer, address);
  }

  /** Sets the timeouts for a request's headers and for idle connections. */
  applyLimits({
    headerTimeoutMs,
    idleTimeoutMs,
  }: Pick<CallerLimits, 'headerTimeoutMs' | 'idleTimeoutMs'>): void {
    this.server.headersTimeout = headerTimeoutMs;
    this.server.keepAliveTimeout = idleTimeoutMs;
  }

  /** Serves all further connections itself, and those that it relays without a request so far. */
  beginStop(): void {
    this.isStopping = true;
    this.relay.beginStop((socket) => this.serveConnection(socket));
  }

  /** Number of connections that callers have opened, without those that other entries relayed. */
  get acceptedConnections(): number {
    return this.accepted;
  }

  /** Number of open connections of callers, with the relayed ones. */
  get openConnections(): number {
    return this.connectionLimit.count;
  }

  /** Number of callers' connections with a request that are relayed to other entries. */
  get relayedConnections(): number {
    return this.relay.activeCount;
  }

  /** Returns whether the connection of a request has to be closed with its answer: a relayed one serves
   * one request, and others are placed anew from time to time. */
  closesAfter(socket: Socket): boolean {
    const { sharing, clock } = this.options;
    if (!sharing) return false;
    if (this.isRelayed(socket)) return true;
    const ageMs = clock.now() - (this.openedAtMs.get(socket) ?? 0);
    return ageMs > PLACEMENT_LIFETIME_MS && !sharing.servesAll();
  }

  /** Stops listening and closes all connections. */
  async close(): Promise<void> {
    const servers = [this.server, this.readyServer, this.placingServer];
    const closed = Promise.all(servers.map((server) => server && closeServer(server)));
    this.relay.close();
    this.server.closeAllConnections();
    this.readyServer.closeAllConnections();
    await closed;
  }

  /** Address on which the server listens for callers. */
  get address(): AddressInfo {
    return (this.placingServer ?? this.server).address() as AddressInfo;
  }

  /** Address on which the server listens for connections that other entries relay. */
  get relayAddress(): AddressInfo {
    return this.server.address() as AddressInfo;
  }

  private isRelayed(socket: Socket): boolean {
    return this.options.sharing !== undefined && !this.ownConnections.has(socket);
  }

  private createReadyServer(): http.Server {
    const server = http.createServer();
    serveLimited(server, {
      maximumConnections: MAXIMUM_PROBE_CONNECTIONS,
      maximumPipelined: MAXIMUM_PIPELINED_PROBES,
      handle: (message, response) => {
        message.resume();
        response.writeHead(this.options.isReady() ? 200 : 503).end();
      },
      onLimit: (action) => this.recordLimit('ready', action),
    });
    return server;
  }

  private useOf(socket: Socket): ConnectionUse {
    if (this.pipelined.unansweredOf(socket) > 0 || this.relay.isRequestRelayed(socket)) {
      return 'busy';
    }
    return this.pipelined.hasRequest(socket) ? 'idle' : 'unused';
  }

  private recordLimit(server: 'callers' | 'ready', action: LimitAction): void {
    this.options.metrics.count('limited_connections_total', { server, action });
    this.limitLog.record(server, action);
  }

  private async placeConnection(socket: Socket, sharing: ConnectionSharing): Promise<void> {
    this.accepted += 1;
    if (!this.connectionLimit.add(socket)) {
      refuseConnection(socket, false);
      return;
    }
    const target = this.isStopping ? undefined : sharing.place();
    if (target) {
      const outcome = await this.relay.relay(socket, target);
      if (outcome === 'relayed' || socket.destroyed) return;
      if (outcome === 'unreachable') sharing.exclude(target.id);
    }
    this.serveConnection(socket);
  }

  /** Serves a paused connection from which nothing has been read. */
  private serveConnection(socket: Socket): void {
    this.ownConnections.add(socket);
    this.server.emit('connection', socket);
    socket.resume();
  }

  private rejectMalformed(error: Error & { code?: string }, socket: Socket): void {
    const { log, metrics, connections } = this.options;
    metrics.count('gateway_malformed_total', { code: error.code ?? 'unknown' });
    const hasLeft = error.code === 'ECONNRESET' || socket.bytesRead === 0;
    // The end of a connection within a request cancels the ones before it, unless the rest was discarded.
    const isCancelled =
      socket.readableEnded &&
      connections.isAnswerDue(socket) &&
      !this.pipelined.isDiscarded(socket);
    if (!socket.writable || hasLeft || isCancelled) {
      socket.destroy();
      return;
    }
    if (connections.isEnding(socket)) return;
    log.write('requestMalformed', { code: error.code, reason: error.message });
    // The answers to earlier requests come first, and an answer of its own would be taken for one.
    if (connections.endAfterLast(socket)) return;
    const status = MALFORMED_STATUS[error.code ?? ''] ?? '400 Bad Request';
    socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
  }

  /** Sends the answers that are due once a caller ends its side of a connection whose rest is discarded: Node.js
   * would take this for a caller that leaves. */
  private awaitEnd(socket: Socket): void {
    socket.removeAllListeners('end');
    socket.once('end', () => {
      if (!this.options.connections.endAfterLast(socket)) socket.destroy();
    });
  }

  /** Node.js hands over the connection of such a request, and closes it if nobody takes it. */
  private rejectConnect(socket: Socket): void {
    socket.on('error', () => undefined).on('end', () => socket.destroy());
    socket.resume();
    this.rejectMalformed(new Error('CONNECT is not supported; send a request'), socket);
  }
}

/** Refuses a connection of a caller, or closes one that another entry relays, which then serves it itself. */
function refuseConnection(socket: Socket, isRelayed: boolean): void {
  socket.on('error', () => undefined);
  if (!isRelayed) socket.write(REFUSED_CONNECTION);
  socket.destroySoon();
}

async function listen(server: net.Server, { host, port }: PeerAddress): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen({ host, port, backlog: BACKLOG }, resolve);
  });
}

async function closeServer(server: net.Server): Promise<void> {
  await new Promise<void>((resolve) => {
    server.close(() => resolve());
  });
}
