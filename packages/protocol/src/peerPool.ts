import type { Clock } from '@marjorampin/types';
import { PeerClient } from './peerClient';
import type { CallOptions, PeerHandler, RequestBody } from './peerChannel';
import type { Reply } from './gen/peer_pb';
import type { TlsFiles } from './tlsFiles';

/** What all connections of a process share. */
export interface PeerPoolOptions {
  handler: PeerHandler;
  clock: Clock;
  tls?: TlsFiles | undefined;
}

/** The way to one peer. */
export interface PeerLink {
  /** Milliseconds since the peer was heard last. */
  readonly silentMs: number;
  /** Sends a request and resolves with its answer. */
  call(body: RequestBody, options?: CallOptions): Promise<Reply>;
}

/** The ways to all peers, by address. */
export interface Peers {
  get(address: string): PeerLink;
  /** Forgets a peer; its calls fail at once. */
  drop(address: string): void;
}

/** One connection for each peer that this process talks to. */
export class PeerPool implements Peers {
  private readonly options: PeerPoolOptions;

  private readonly clients = new Map<string, PeerClient>();

  private isClosed = false;

  constructor(options: PeerPoolOptions) {
    this.options = options;
  }

  /** Returns the connection to an address, opened at its first use. */
  get(address: string): PeerClient {
    const existing = this.clients.get(address);
    if (existing) return existing;
    const client = new PeerClient({ address, ...this.options });
    if (this.isClosed) client.close();
    this.clients.set(address, client);
    return client;
  }

  /** Closes the connection to an address; its calls fail at once. */
  drop(address: string): void {
    this.clients.get(address)?.close();
    this.clients.delete(address);
  }

  /** Closes all connections, for good. */
  close(): void {
    this.isClosed = true;
    [...this.clients.keys()].forEach((address) => this.drop(address));
  }
}
