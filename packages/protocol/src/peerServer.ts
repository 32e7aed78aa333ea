import http2 from 'node:http2';
import type { AddressInfo } from 'node:net';
import { ByteAccount, ConnectionLimit, type LimitAction } from '@marjorampin/http';
import type { Clock, PeerAddress } from '@marjorampin/types';
import type { Batch } from './gen/peer_pb';
import { STREAM_SETTINGS, widenWindow } from './flowControl';
import { HeartbeatTimer } from './heartbeatTimer';
import { PeerChannel, type PeerHandler } from './peerChannel';
import { createPeerListener } from './peerListener';
import { readTlsFiles, type TlsFiles } from './tlsFiles';

/** Streams of one connection; a peer uses one at a time. */
const MAXIMUM_STREAMS = 16;

/** Limits unless the options state others. */
const MAXIMUM_CONNECTIONS = 1_950;
const HELD_LIMIT_BYTES = 32 * 1024 * 1024;

/** What is done at a limit: `broken`, the stream with the largest incomplete message is ended. */
export type PeerLimitAction = LimitAction | 'broken';

/** Options of `PeerServer`. */
export interface PeerServerOptions {
  /** Address to listen on; port 0 selects a free port. */
  address: PeerAddress;
  /** Handles the requests of all peers. */
  handler: PeerHandler;
  clock: Clock;
  /** Mutual TLS; plain HTTP/2 when absent. */
  tls?: TlsFiles;
  /** Most connections of peers. */
  maximumConnections?: number | undefined;
  /** Limit of the bytes of all incomplete messages together. */
  heldLimitBytes?: number | undefined;
  onLimit?: (action: PeerLimitAction) => void;
}

/** HTTP/2 server that accepts streams from peers. */
export class PeerServer {
  private readonly options: PeerServerOptions;

  private readonly server: http2.Http2Server;

  private readonly sessions = new Set<http2.ServerHttp2Session>();

  /** Sessions that have opened a stream. */
  private readonly busySessions = new WeakSet<http2.Http2Session>();

  private readonly openChannels = new Set<PeerChannel>();

  private readonly heartbeat = new HeartbeatTimer(() => this.tick());

  private isClosed = false;

  constructor(options: PeerServerOptions) {
    this.options = options;
    const settings = { ...STREAM_SETTINGS, maxConcurrentStreams: MAXIMUM_STREAMS };
    this.server = options.tls
      ? http2.createSecureServer({
          ...readTlsFiles(options.tls),
          requestCert: true,
          settings,
        })
      : http2.createServer({ settings });
    const { onLimit = () => undefined } = options;
    const held = new ByteAccount({
      limitBytes: options.heldLimitBytes ?? HELD_LIMIT_BYTES,
      onBreakOff: () => onLimit('broken'),
    });
    this.server.on('stream', ({ session }) => session && this.busySessions.add(session));
    this.server.on(
      'stream',
      createPeerListener((batches) => this.exchange(batches), held),
    );
    const connections = new ConnectionLimit<http2.ServerHttp2Session>({
      maximum: options.maximumConnections ?? MAXIMUM_CONNECTIONS,
      useOf: (session) => (this.busySessions.has(session) ? 'busy' : 'unused'),
      onLimit,
    });
    this.server.on('session', (session) => {
      session.on('error', () => session.destroy());
      // A connection accepted while the server closes would keep it from closing.
      if (this.isClosed || !connections.add(session)) session.destroy();
      else widenWindow(session);
      this.sessions.add(session);
      session.on('close', () => this.sessions.delete(session));
    });
  }

  /** Starts listening; resolves with the address and the actual port. */
  async listen(): Promise<PeerAddress> {
    const { host, port } = this.options.address;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    return { host, port: (this.server.address() as AddressInfo).port };
  }

  /** Channels of the connected peers. */
  get channels(): Iterable<PeerChannel> {
    return this.openChannels;
  }

  /** Closes all streams, stops listening and resolves once the server is closed. */
  async close(): Promise<void> {
    this.heartbeat.stop();
    this.openChannels.forEach((channel) => channel.close('the process is stopping'));
    // Lets the last frames be sent before the sockets are destroyed.
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    this.isClosed = true;
    const closed = new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
    this.sessions.forEach((session) => session.destroy());
    await closed;
  }

  /** Checks all channels; returns whether one of them is still supervised. */
  private tick(): boolean {
    this.openChannels.forEach((channel) => channel.tick());
    return [...this.openChannels].some((channel) => channel.isSupervised);
  }

  private exchange(batches: AsyncIterable<Batch>): AsyncIterable<Batch> {
    const { handler, clock } = this.options;
    const channel = new PeerChannel({
      handler,
      clock,
      peer: 'a connected peer',
      supervision: 'during calls',
      onSupervised: () => this.heartbeat.start(),
    });
    this.openChannels.add(channel);
    channel.onClose(() => this.openChannels.delete(channel));
    receiveAll(channel, batches);
    return channel.outgoing;
  }
}

async function receiveAll(channel: PeerChannel, batches: AsyncIterable<Batch>): Promise<void> {
  try {
    for await (const batch of batches) channel.receive(batch);
    channel.close('the peer closed the stream');
  } catch (error) {
    channel.close(error instanceof Error ? error.message : String(error));
  }
}
