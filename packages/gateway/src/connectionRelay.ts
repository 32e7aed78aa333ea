import net from 'node:net';
import type { EventLog } from '@marjorampin/logging';
import type { Metrics } from '@marjorampin/metrics';
import type { PeerAddress } from '@marjorampin/types';
import { afterPoll } from './afterPoll';
import type { EndedConnections, EndReason, RequestProgress } from './endedConnections';

/** Time within which the other entry must accept a connection; it is in the same failure domain. */
const ACCEPT_TIMEOUT_MS = 250;
/** Time that an answer may take beyond the longest timeout of a route, after which the entry that serves
 * the call has answered it itself if it still runs. */
const ANSWER_MARGIN_MS = 250;

/** Sent if the other entry fails before it has answered. */
const FAILED_ANSWER = 'HTTP/1.1 502 Bad Gateway\r\nConnection: close\r\nContent-Length: 0\r\n\r\n';

/** An entry to which a connection is relayed. */
export interface RelayTarget {
  id: string;
  address: PeerAddress;
}

/** What became of a connection: unless it is relayed, nothing has been read from it. */
export type RelayOutcome = 'relayed' | 'unreachable' | 'other configuration' | 'stopping';

/** A caller's connection joined with the one to the entry that serves it. */
interface JoinedSockets {
  /** How far the request has come; undefined without one or once it is answered. */
  readonly progress: RequestProgress | undefined;
  /** Ends the relaying, but leaves the caller's connection paused and open. */
  detach(): void;
}

interface JoinOptions {
  answerTimeoutMs: number;
  /** Called if the entry ends a connection before its request is answered whole. */
  onInterruption(reason: EndReason, progress: RequestProgress): void;
}

/** Options of `ConnectionRelay`. */
export interface ConnectionRelayOptions {
  log: EventLog;
  metrics: Metrics;
  endedConnections: EndedConnections;
  /** Returns the version of the configuration in effect. */
  version(): number;
  /** Returns the longest timeout of a route in milliseconds. */
  longestTimeoutMs(): number;
}

/** Returns what an entry sends first on a relayed connection once it has accepted it. */
export function relayGreeting(version: number): string {
  return `${version}\n`;
}

/**
 * Relays callers' connections to other entries byte by byte. An end and a reset of either side are
 * passed on as such, so that an interrupted answer never looks complete.
 */
export class ConnectionRelay {
  private readonly options: ConnectionRelayOptions;

  /** Callers' connections that are being relayed. */
  private readonly callers = new Map<net.Socket, JoinedSockets>();

  /** Callers' connections for which another entry has not accepted one yet. */
  private readonly connecting = new Set<net.Socket>();

  private isStopping = false;

  constructor(options: ConnectionRelayOptions) {
    this.options = options;
  }

  /** Number of relayed connections on which a request has arrived. */
  get activeCount(): number {
    return [...this.callers.keys()].filter(({ bytesRead }) => bytesRead > 0).length;
  }

  /** Whether a connection is relayed on which a request has arrived. */
  isRequestRelayed(caller: net.Socket): boolean {
    return this.callers.has(caller) && caller.bytesRead > 0;
  }

  /** Relays a paused connection. If that is not possible, nothing is read from the connection. */
  async relay(caller: net.Socket, target: RelayTarget): Promise<RelayOutcome> {
    const { log, metrics, endedConnections, version, longestTimeoutMs } = this.options;
    const ignoreError = () => undefined;
    // A caller that leaves meanwhile is noticed once the connection is read.
    caller.on('error', ignoreError);
    this.connecting.add(caller);
    const { entry, outcome: connected } = await connect(target.address, version());
    this.connecting.delete(caller);
    caller.off('error', ignoreError);
    const outcome = entry && this.isStopping ? 'stopping' : connected;
    metrics.count('gateway_relays_total', { outcome });
    if (outcome === 'unreachable') log.write('relayTargetUnreachable', { entry: target.id });
    if (!entry || caller.destroyed || this.isStopping) {
      entry?.destroy();
      return outcome;
    }
    caller.on('close', () => this.callers.delete(caller));
    const joined = joinSockets(caller, entry, {
      answerTimeoutMs: longestTimeoutMs() + ANSWER_MARGIN_MS,
      onInterruption: (reason, progress) => endedConnections.record({ reason, progress }),
    });
    this.callers.set(caller, joined);
    return outcome;
  }

  /** Relays no more connections, and hands those back on which no request has arrived. */
  beginStop(takeBack: (caller: net.Socket) => void): void {
    this.isStopping = true;
    this.callers.forEach(({ detach }, caller) => {
      if (caller.bytesRead > 0 || caller.destroyed) return;
      this.callers.delete(caller);
      detach();
      takeBack(caller);
    });
  }

  /** Closes all relayed connections. */
  close(): void {
    this.callers.forEach(({ progress }) => {
      if (progress) this.options.endedConnections.record({ reason: 'process end', progress });
    });
    [...this.callers.keys(), ...this.connecting].forEach((caller) => caller.destroy());
  }
}

/** Connects to an entry and waits until it has accepted the connection. */
function connect(
  address: PeerAddress,
  version: number,
): Promise<{ entry?: net.Socket; outcome: RelayOutcome }> {
  return new Promise((resolve) => {
    const entry = net.connect({ ...address, noDelay: true });
    const timer = setTimeout(async () => {
      // If this process was busy, a greeting that has arrived is read first.
      await afterPoll();
      resolve({ outcome: 'unreachable' });
      if (entry.bytesRead === 0) entry.destroy();
    }, ACCEPT_TIMEOUT_MS);
    entry.on('error', () => undefined);
    entry.once('close', () => {
      clearTimeout(timer);
      resolve({ outcome: 'unreachable' });
    });
    entry.once('data', (greeting) => {
      clearTimeout(timer);
      if (greeting.toString() === relayGreeting(version)) {
        resolve({ entry, outcome: 'relayed' });
        return;
      }
      entry.destroy();
      resolve({ outcome: 'other configuration' });
    });
  });
}

/** Passes on everything between a caller and the entry that serves it. */
function joinSockets(
  caller: net.Socket,
  entry: net.Socket,
  { answerTimeoutMs, onInterruption }: JoinOptions,
): JoinedSockets {
  let answerTimer: NodeJS.Timeout | undefined;
  let isAnswered = false;
  let isEnded = false;
  let endReason: EndReason = 'relay target lost';
  const progressOf = (): RequestProgress | undefined => {
    if (isEnded || caller.bytesRead === 0) return undefined;
    return isAnswered ? 'half answered' : 'passed on';
  };
  const onRequest = async () => {
    answerTimer = setTimeout(() => {
      endReason = 'relay timeout';
      entry.destroy();
    }, answerTimeoutMs);
    // The request waits in the socket's buffer until a poll has shown whether the caller has left.
    entry.cork();
    await afterPoll();
    entry.uncork();
  };
  caller.once('data', onRequest);
  entry.once('data', () => {
    isAnswered = true;
    clearTimeout(answerTimer);
  });
  const stopForwarding = forwardData(caller, entry);
  forwardData(entry, caller);
  const cancel = () => {
    clearTimeout(answerTimer);
    isEnded = true;
    entry.resetAndDestroy();
  };
  caller.on('end', cancel);
  caller.on('close', cancel);
  const closeCaller = (hadError: boolean) => {
    clearTimeout(answerTimer);
    const progress = progressOf();
    if (progress && (hadError || !isAnswered)) onInterruption(endReason, progress);
    isEnded = true;
    if (!isAnswered && caller.bytesRead > 0) caller.write(FAILED_ANSWER);
    // Without a length or chunks, an orderly end would make an interrupted answer look complete.
    if (isAnswered && hadError) caller.resetAndDestroy();
    else caller.destroySoon();
  };
  // A reset that arrives with data is reported as an end; the connection has no peer any more then.
  const onEntryEnd = () => closeCaller(entry.remoteAddress === undefined);
  entry.on('end', onEntryEnd);
  entry.on('close', closeCaller);
  caller.resume();
  return {
    get progress() {
      return progressOf();
    },
    detach() {
      caller.pause();
      stopForwarding();
      caller.off('data', onRequest).off('end', cancel).off('close', cancel);
      entry.off('end', onEntryEnd).off('close', closeCaller);
      entry.destroy();
    },
  };
}

/** Passes on the data of one connection to another, as fast as that accepts it; the returned function
 * ends this. */
function forwardData(source: net.Socket, sink: net.Socket): () => void {
  const ignoreError = () => undefined;
  const onData = (bytes: Buffer) => {
    if (!sink.write(bytes)) source.pause();
  };
  const onDrain = () => source.resume();
  source.on('error', ignoreError).on('data', onData);
  sink.on('drain', onDrain);
  return () => {
    source.off('error', ignoreError).off('data', onData);
    sink.off('drain', onDrain);
  };
}
