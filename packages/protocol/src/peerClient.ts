import { createClient } from '@connectrpc/connect';
import { createGrpcTransport } from '@connectrpc/connect-node';
import { CallError, type Clock } from '@marjorampin/types';
import { Peer, type Reply } from './gen/peer_pb';
import {
  type CallOptions,
  HEARTBEAT_INTERVAL_MS,
  PeerChannel,
  type PeerHandler,
  WITHOUT_COMPRESSION,
} from './peerChannel';
import { PeerSession } from './peerSession';
import { readTlsFiles, type TlsFiles } from './tlsFiles';

const INITIAL_BACKOFF_MS = 50;
const MAXIMUM_BACKOFF_MS = 2_000;

/** Options of `PeerClient`. */
export interface PeerClientOptions {
  /** Address of the peer, `IP:port`. */
  address: string;
  /** Handles the requests that the peer sends over this stream. */
  handler: PeerHandler;
  clock: Clock;
  /** Mutual TLS; plain HTTP/2 when absent. */
  tls?: TlsFiles | undefined;
}

/** Client that maintains one stream to a peer and reconnects with exponential backoff. */
export class PeerClient {
  private readonly options: PeerClientOptions;

  private channel: PeerChannel;

  /** Time of the last batch received on an earlier stream; at first, the time of creation. */
  private earlierReceivedAtMs: number;

  private readonly stopController = new AbortController();

  constructor(options: PeerClientOptions) {
    this.options = options;
    this.earlierReceivedAtMs = options.clock.now();
    this.channel = this.openChannel();
    this.maintainStream();
  }

  /** Milliseconds since the last batch arrived on any stream; before the first, since creation. */
  get sinceReceivedMs(): number {
    return this.options.clock.now() - (this.channel.lastReceivedAtMs ?? this.earlierReceivedAtMs);
  }

  /**
   * Sends a request on the current stream and resolves with the reply. Rejects with a `CallError`,
   * immediately if the stream or the client is closed.
   */
  call(body: Parameters<PeerChannel['call']>[0], options: CallOptions = {}): Promise<Reply> {
    if (this.stopController.signal.aborted) return Promise.reject(this.closedError());
    return this.channel.call(body, options);
  }

  /** Closes the stream permanently; pending calls fail. */
  close(): void {
    this.stopController.abort();
    this.channel.close('the process is stopping');
  }

  private openChannel(): PeerChannel {
    const { handler, clock, address } = this.options;
    return new PeerChannel({ handler, clock, peer: address });
  }

  private async maintainStream(): Promise<void> {
    const { clock } = this.options;
    let backoffMs = INITIAL_BACKOFF_MS;
    while (!this.stopController.signal.aborted) {
      const startedAtMs = clock.now();
      await this.runStream(this.channel);
      if (this.stopController.signal.aborted) return;
      this.earlierReceivedAtMs = this.channel.lastReceivedAtMs ?? this.earlierReceivedAtMs;
      this.channel = this.openChannel();
      const wasStable = clock.now() - startedAtMs > MAXIMUM_BACKOFF_MS;
      backoffMs = wasStable ? INITIAL_BACKOFF_MS : Math.min(backoffMs * 2, MAXIMUM_BACKOFF_MS);
      // Jitter prevents all peers of a restarted process from reconnecting at the same time.
      const delayMs = backoffMs * (0.5 + Math.random() / 2);
      await clock.sleep(delayMs, this.stopController.signal).catch(() => undefined);
    }
  }

  /** Runs one stream until it ends; a new HTTP/2 session avoids reusing a dead connection. */
  private async runStream(channel: PeerChannel): Promise<void> {
    const { address, tls } = this.options;
    const baseUrl = `${tls ? 'https' : 'http'}://${address}`;
    const controller = new AbortController();
    const heartbeat = setInterval(() => {
      channel.tick();
      if (channel.isClosed) controller.abort();
    }, HEARTBEAT_INTERVAL_MS);
    const onStop = () => controller.abort();
    this.stopController.signal.addEventListener('abort', onStop);
    let session: PeerSession | undefined;
    try {
      const openSession = new PeerSession({
        authority: baseUrl,
        tls: tls && readTlsFiles(tls),
      });
      session = openSession;
      const transport = createGrpcTransport({
        baseUrl,
        sessionManager: openSession,
        ...WITHOUT_COMPRESSION,
      });
      const batches = createClient(Peer, transport).exchange(channel.outgoing, {
        signal: controller.signal,
      });
      for await (const batch of batches) channel.receive(batch);
      channel.close('the peer closed the stream');
    } catch (error) {
      channel.close(error instanceof Error ? error.message : String(error));
    } finally {
      clearInterval(heartbeat);
      this.stopController.signal.removeEventListener('abort', onStop);
      session?.abort();
    }
  }

  private closedError(): CallError {
    const message = `connection to ${this.options.address} is closed; use another peer`;
    return new CallError({ kind: 'connection-lost', message, retryAfterMs: INITIAL_BACKOFF_MS });
  }
}
