import { createClient } from '@connectrpc/connect';
import { createGrpcTransport, Http2SessionManager } from '@connectrpc/connect-node';
import { CallError, type Clock } from '@marjorampin/types';
import { Peer, type Reply } from './gen/peer_pb';
import {
  type CallOptions,
  HEARTBEAT_INTERVAL_MS,
  PeerChannel,
  type PeerHandler,
  WITHOUT_COMPRESSION,
} from './peerChannel';
import { readTlsFiles, type TlsFiles } from './tlsFiles';

const FIRST_BACKOFF_MS = 50;
const LONGEST_BACKOFF_MS = 2_000;

/** How to reach one peer. */
export interface PeerClientOptions {
  /** `IP:port`. */
  address: string;
  handler: PeerHandler;
  clock: Clock;
  tls?: TlsFiles | undefined;
}

/** Keeps one stream to one peer, and opens a new one whenever it breaks. */
export class PeerClient {
  private readonly options: PeerClientOptions;

  private channel: PeerChannel;

  /** When the peer was heard last on an earlier stream. */
  private heardBeforeMs: number;

  private readonly stopped = new AbortController();

  constructor(options: PeerClientOptions) {
    this.options = options;
    this.heardBeforeMs = options.clock.now();
    this.channel = this.openChannel();
    this.run();
  }

  /** Milliseconds since the peer was heard last, on any stream; counted from the start at first. */
  get silentMs(): number {
    return this.options.clock.now() - (this.channel.heardAtMs ?? this.heardBeforeMs);
  }

  /** Sends a request on the present stream; fails at once while there is none. */
  call(body: Parameters<PeerChannel['call']>[0], options: CallOptions = {}): Promise<Reply> {
    if (this.stopped.signal.aborted) return Promise.reject(this.closedError());
    return this.channel.call(body, options);
  }

  /** Ends the stream for good. */
  close(): void {
    this.stopped.abort();
    this.channel.close('the process stops');
  }

  private openChannel(): PeerChannel {
    const { handler, clock, address } = this.options;
    return new PeerChannel({ handler, clock, peer: address });
  }

  private async run(): Promise<void> {
    const { clock } = this.options;
    let backoffMs = FIRST_BACKOFF_MS;
    while (!this.stopped.signal.aborted) {
      const startedMs = clock.now();
      await this.runStream(this.channel);
      if (this.stopped.signal.aborted) return;
      this.heardBeforeMs = this.channel.heardAtMs ?? this.heardBeforeMs;
      this.channel = this.openChannel();
      const wasStable = clock.now() - startedMs > LONGEST_BACKOFF_MS;
      backoffMs = wasStable ? FIRST_BACKOFF_MS : Math.min(backoffMs * 2, LONGEST_BACKOFF_MS);
      // Jitter keeps the peers of a restarted process from returning in step.
      const pauseMs = backoffMs * (0.5 + Math.random() / 2);
      await clock.sleep(pauseMs, this.stopped.signal).catch(() => undefined);
    }
  }

  /** Runs one stream until it ends. A session of its own keeps it clear of a dead connection. */
  private async runStream(channel: PeerChannel): Promise<void> {
    const { address, tls } = this.options;
    const baseUrl = `${tls ? 'https' : 'http'}://${address}`;
    const secrets = tls ? readTlsFiles(tls) : undefined;
    const sessionManager = new Http2SessionManager(baseUrl, {}, secrets);
    const transport = createGrpcTransport({ baseUrl, sessionManager, ...WITHOUT_COMPRESSION });
    const controller = new AbortController();
    const heartbeat = setInterval(() => {
      channel.tick();
      if (channel.isClosed) controller.abort();
    }, HEARTBEAT_INTERVAL_MS);
    const onStop = () => controller.abort();
    this.stopped.signal.addEventListener('abort', onStop);
    try {
      const batches = createClient(Peer, transport).exchange(channel.outgoing, {
        signal: controller.signal,
      });
      for await (const batch of batches) channel.receive(batch);
      channel.close('the peer closed the stream');
    } catch (error) {
      channel.close(error instanceof Error ? error.message : String(error));
    } finally {
      clearInterval(heartbeat);
      this.stopped.signal.removeEventListener('abort', onStop);
      sessionManager.abort();
    }
  }

  private closedError(): CallError {
    const message = `connection to ${this.options.address} is closed; use another peer`;
    return new CallError({ kind: 'connection-lost', message, retryAfterMs: FIRST_BACKOFF_MS });
  }
}
