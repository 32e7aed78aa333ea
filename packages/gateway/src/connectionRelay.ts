import net from 'node:net';
import type { EventLog } from '@marjorampin/logging';
import type { Metrics } from '@marjorampin/metrics';
import type { PeerAddress } from '@marjorampin/types';

/** Time within which the other entry must accept a connection; it is in the same failure domain. */
const CONNECT_TIMEOUT_MS = 250;

/** Sent if the other entry fails before it has answered. */
const FAILED_ANSWER = 'HTTP/1.1 502 Bad Gateway\r\nConnection: close\r\nContent-Length: 0\r\n\r\n';

/** An entry to which a connection is relayed. */
export interface RelayTarget {
  id: string;
  address: PeerAddress;
}

/** Options of `ConnectionRelay`. */
export interface ConnectionRelayOptions {
  log: EventLog;
  metrics: Metrics;
}

/**
 * Relays callers' connections to other entries byte by byte. An end and a reset of either side are
 * passed on as such, so that an interrupted answer never looks complete.
 */
export class ConnectionRelay {
  private readonly options: ConnectionRelayOptions;

  /** Callers' connections that are being relayed. */
  private readonly callers = new Set<net.Socket>();

  constructor(options: ConnectionRelayOptions) {
    this.options = options;
  }

  /** Number of relayed connections on which a request has arrived. */
  get activeCount(): number {
    return [...this.callers].filter(({ bytesRead }) => bytesRead > 0).length;
  }

  /**
   * Relays a paused connection. Resolves with false if the other entry can't be reached; nothing was
   * read from the connection then.
   */
  async relay(caller: net.Socket, target: RelayTarget): Promise<boolean> {
    const { log, metrics } = this.options;
    const ignoreError = () => undefined;
    // A caller that leaves meanwhile is noticed once the connection is read.
    caller.on('error', ignoreError);
    this.callers.add(caller);
    const entry = await connect(target.address);
    caller.off('error', ignoreError);
    if (!entry) {
      this.callers.delete(caller);
      metrics.count('gateway_relays_total', { outcome: 'failed' });
      log.write('relayTargetUnreachable', { entry: target.id });
      return false;
    }
    metrics.count('gateway_relays_total', { outcome: 'relayed' });
    caller.on('close', () => this.callers.delete(caller));
    if (caller.destroyed) {
      this.callers.delete(caller);
      entry.destroy();
    } else {
      joinSockets(caller, entry);
    }
    return true;
  }

  /** Closes all relayed connections. */
  close(): void {
    this.callers.forEach((caller) => caller.destroy());
  }
}

/** Returns a connection to an address; undefined if it can't be opened in time. */
function connect(address: PeerAddress): Promise<net.Socket | undefined> {
  return new Promise((resolve) => {
    const socket = net.connect({ ...address, noDelay: true });
    const timer = setTimeout(() => socket.destroy(), CONNECT_TIMEOUT_MS);
    const finish = (result: net.Socket | undefined) => {
      clearTimeout(timer);
      resolve(result);
    };
    socket.on('error', () => undefined);
    socket.once('close', () => finish(undefined));
    socket.once('connect', () => finish(socket));
  });
}

/** Passes on everything between a caller and the entry that serves it. */
function joinSockets(caller: net.Socket, entry: net.Socket): void {
  /** Whether nothing of the answer to the latest request has arrived. */
  let isUnanswered = false;
  forwardData(caller, entry, () => {
    isUnanswered = true;
  });
  forwardData(entry, caller, () => {
    isUnanswered = false;
  });
  caller.on('end', () => entry.end());
  caller.on('close', (hadError) => {
    if (hadError) entry.resetAndDestroy();
    else entry.end();
  });
  const closeCaller = (hadError: boolean) => {
    if (isUnanswered) caller.write(FAILED_ANSWER);
    // Without a length or chunks, an orderly end would make an interrupted answer look complete.
    if (!isUnanswered && hadError) caller.resetAndDestroy();
    else caller.destroySoon();
  };
  entry.on('end', () => closeCaller(false));
  entry.on('close', closeCaller);
  caller.resume();
}

/** Passes on the data of one connection to another, as fast as that accepts it. */
function forwardData(source: net.Socket, sink: net.Socket, onData: () => void): void {
  source.on('error', () => undefined);
  source.on('data', (bytes) => {
    onData();
    if (!sink.write(bytes)) source.pause();
  });
  sink.on('drain', () => source.resume());
}
