import type { Clock } from '@marjorampin/types';
import { PeerClient } from './peerClient';
import type { CallOptions, PeerHandler, RequestBody, Supervision } from './peerChannel';
import type { Reply } from './gen/peer_pb';
import type { TlsFiles } from './tlsFiles';

/** Options of `PeerPool`, common to all its connections. */
export interface PeerPoolOptions {
  /** Handles the requests that peers send over these connections. */
  handler: PeerHandler;
  clock: Clock;
  /** Mutual TLS; plain HTTP/2 when absent. */
  tls?: TlsFiles | undefined;
  /** When the peers have to be heard from; `during calls` opens streams only for calls. */
  supervision?: Supervision;
}

/** Connection to one peer. */
export interface PeerConnection {
  /** Sends a request and resolves with the reply; rejects with a `CallError`. */
  call(body: RequestBody, options?: CallOptions): Promise<Reply>;
}

/** Connections to peers, by address. */
export interface PeerConnections {
  /** Returns the connection to an address, `IP:port`. */
  get(address: string): PeerConnection;
  /** Closes the connection to an address; its pending calls fail immediately. */
  drop(address: string): void;
}

/** Pool with one client for each peer address. */
export class PeerPool implements PeerConnections {
  private readonly options: PeerPoolOptions;

  private readonly clients = new Map<string, PeerClient>();

  private isClosed = false;

  constructor(options: PeerPoolOptions) {
    this.options = options;
  }

  /** Returns the client for an address, which is created on first use. */
  get(address: string): PeerClient {
    const existing = this.clients.get(address);
    if (existing) return existing;
    const client = new PeerClient({ address, ...this.options });
    if (this.isClosed) client.close();
    this.clients.set(address, client);
    return client;
  }

  /** Closes and removes the client for an address; its pending calls fail immediately. */
  drop(address: string): void {
    this.clients.get(address)?.close();
    this.clients.delete(address);
  }

  /** Closes all clients permanently; later calls fail. */
  close(): void {
    this.isClosed = true;
    [...this.clients.keys()].forEach((address) => this.drop(address));
  }
}
