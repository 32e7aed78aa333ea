import http2 from 'node:http2';
import type { AddressInfo } from 'node:net';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import type { Clock, PeerAddress } from '@marjorampin/types';
import { type Batch, Peer } from './gen/peer_pb';
import {
  HEARTBEAT_INTERVAL_MS,
  PeerChannel,
  type PeerHandler,
  WITHOUT_COMPRESSION,
} from './peerChannel';
import { readTlsFiles, type TlsFiles } from './tlsFiles';

/** Bounds a batch before it is parsed. */
const MAXIMUM_MESSAGE_BYTES = 16 * 1024 * 1024;

/** What a server for peers needs. */
export interface PeerServerOptions {
  address: PeerAddress;
  handler: PeerHandler;
  clock: Clock;
  /** Mutual TLS; plain HTTP/2 when absent. */
  tls?: TlsFiles;
}

/** Accepts streams from peers. */
export class PeerServer {
  private readonly options: PeerServerOptions;

  private readonly server: http2.Http2Server;

  private readonly sessions = new Set<http2.ServerHttp2Session>();

  private readonly channels = new Set<PeerChannel>();

  private readonly heartbeat: NodeJS.Timeout;

  private isClosed = false;

  constructor(options: PeerServerOptions) {
    this.options = options;
    const listener = connectNodeAdapter({
      routes: (router) => router.service(Peer, { exchange: (batches) => this.exchange(batches) }),
      readMaxBytes: MAXIMUM_MESSAGE_BYTES,
      ...WITHOUT_COMPRESSION,
    });
    this.server = options.tls
      ? http2.createSecureServer({ ...readTlsFiles(options.tls), requestCert: true }, listener)
      : http2.createServer(listener);
    this.server.on('session', (session) => {
      // A connection that was on its way when the server closed would keep it open.
      if (this.isClosed) session.destroy();
      this.sessions.add(session);
      session.on('error', () => session.destroy());
      session.on('close', () => this.sessions.delete(session));
    });
    this.heartbeat = setInterval(() => this.tick(), HEARTBEAT_INTERVAL_MS);
  }

  /** Starts to listen and returns the address in use. */
  async listen(): Promise<PeerAddress> {
    const { host, port } = this.options.address;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    return { host, port: (this.server.address() as AddressInfo).port };
  }

  /** Channels to the peers that are connected. */
  get connected(): Iterable<PeerChannel> {
    return this.channels;
  }

  /** Ends all streams and stops listening. */
  async close(): Promise<void> {
    clearInterval(this.heartbeat);
    this.channels.forEach((channel) => channel.close('the process stops'));
    // Gives the last frames their way out before the sockets close.
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

  private tick(): void {
    this.channels.forEach((channel) => channel.tick());
  }

  private async *exchange(batches: AsyncIterable<Batch>): AsyncIterable<Batch> {
    const { handler, clock } = this.options;
    const channel = new PeerChannel({ handler, clock, peer: 'a connected peer' });
    this.channels.add(channel);
    // Tells the peer at once that this process answers.
    channel.tick();
    receiveAll(channel, batches);
    try {
      yield* channel.outgoing;
    } finally {
      channel.close('the peer closed the stream');
      this.channels.delete(channel);
    }
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
