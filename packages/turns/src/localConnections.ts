import { create } from '@bufbuild/protobuf';
import {
  type CallOptions,
  type PeerConnection,
  type PeerConnections,
  type PeerHandler,
  type Reply,
  ReplySchema,
  type RequestBody,
  RequestSchema,
} from '@marjorampin/protocol';

/** Options of `LocalConnections`. */
export interface LocalConnectionsOptions {
  /** Address of this process. */
  own: string;
  handler: PeerHandler;
  peers: PeerConnections;
}

/** Connections to peers that pass requests to this process's own address to its own handler. */
export class LocalConnections implements PeerConnections {
  private readonly options: LocalConnectionsOptions;

  constructor(options: LocalConnectionsOptions) {
    this.options = options;
  }

  get(address: string): PeerConnection {
    const { own, peers } = this.options;
    if (address !== own) return peers.get(address);
    return { call: (body, callOptions) => this.callSelf(body, callOptions) };
  }

  drop(address: string): void {
    if (address !== this.options.own) this.options.peers.drop(address);
  }

  private async callSelf(body: RequestBody, { signal, onItem }: CallOptions = {}): Promise<Reply> {
    const call = {
      signal: signal ?? new AbortController().signal,
      sendItem: (text: string) => onItem?.(text),
    };
    const reply = await this.options.handler.handle(create(RequestSchema, { body }), call);
    return create(ReplySchema, reply);
  }
}
