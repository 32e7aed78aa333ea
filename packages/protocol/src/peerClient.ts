import { createClient } from '@connectrpc/connect';
import { CallError, type Clock } from '@marjorampin/types';
import { Peer, type Reply } from './gen/peer_pb';
import { HeartbeatTimer } from './heartbeatTimer';
import { type CallOptions, PeerChannel, type PeerHandler, type Supervision } from './peerChannel';
import { PeerSession } from './peerSession';
import { createPeerTransport } from './peerTransport';
import { readTlsFiles, type TlsFiles } from './tlsFiles';

const INITIAL_BACKOFF_MS = 50;
const MAXIMUM_BACKOFF_MS = 2_000;
/** The same for a stream that is opened for calls only, which already limit the attempts: a peer that is
 * back must not wait for the end of a long delay. */
const MAXIMUM_CALL_BACKOFF_MS = 300;
/** A stream that is supervised only during calls is closed after this time without one. */
const IDLE_TIMEOUT_MS = 60_000;

/** Options of `PeerClient`. */
export interface PeerClientOptions {
  /** Address of the peer, `IP:port`. */
  address: string;
  /** Handles the requests that the peer sends over this stream. */
  handler: PeerHandler;
  clock: Clock;
  /** Mutual TLS; plain HTTP/2 when absent. */
  tls?: TlsFiles | undefined;
  /** `always` keeps the stream open; `during calls` opens it for a call and closes it when it has
   * not been used for a while. */
  supervision?: Supervision;
}

/** Client that maintains one stream to a peer and reconnects with exponential backoff. */
export class PeerClient {
  private readonly options: PeerClientOptions;

  private channel: PeerChannel;

  private readonly heartbeat = new HeartbeatTimer(() => this.tick());

  private readonly stopController = new AbortController();

  private wake: (() => void) | undefined;

  private lastUsedAtMs: number;

  constructor(options: PeerClientOptions) {
    this.options = options;
    this.lastUsedAtMs = options.clock.now();
    this.channel = this.openChannel();
    this.maintainStream();
  }

  /**
   * Sends a request on the current stream and resolves with the reply. Rejects with a `CallError`,
   * immediately if the stream or the client is closed.
   */
  call(body: Parameters<PeerChannel['call']>[0], options: CallOptions = {}): Promise<Reply> {
    if (this.stopController.signal.aborted) return Promise.reject(this.closedError());
    this.lastUsedAtMs = this.options.clock.now();
    this.wake?.();
    return this.channel.call(body, options);
  }

  /** Closes the stream permanently; pending calls fail. */
  close(): void {
    this.stopController.abort();
    this.heartbeat.stop();
    this.channel.close('the process is stopping');
    this.wake?.();
  }

  private get isPermanent(): boolean {
    return (this.options.supervision ?? 'always') === 'always';
  }

  private openChannel(): PeerChannel {
    const { handler, clock, address, supervision = 'always' } = this.options;
    if (this.isPermanent) this.heartbeat.start();
    const onSupervised = () => this.heartbeat.start();
    const isOpen = false;
    return new PeerChannel({ handler, clock, peer: address, supervision, isOpen, onSupervised });
  }

  private tick(): boolean {
    this.channel.tick();
    return this.isPermanent || this.channel.isSupervised;
  }

  private async maintainStream(): Promise<void> {
    const { clock } = this.options;
    let backoffMs = INITIAL_BACKOFF_MS;
    while (!this.stopController.signal.aborted) {
      if (!this.isPermanent && !this.channel.isInUse) await this.nextCall();
      if (this.stopController.signal.aborted) return;
      const startedAtMs = clock.now();
      await this.runStream(this.channel);
      if (this.stopController.signal.aborted) return;
      this.channel = this.openChannel();
      const wasStable = clock.now() - startedAtMs > MAXIMUM_BACKOFF_MS;
      const maximumMs = this.isPermanent ? MAXIMUM_BACKOFF_MS : MAXIMUM_CALL_BACKOFF_MS;
      backoffMs = wasStable ? INITIAL_BACKOFF_MS : Math.min(backoffMs * 2, maximumMs);
      // Jitter prevents all peers of a restarted process from reconnecting at the same time.
      const delayMs = backoffMs * (0.5 + Math.random() / 2);
      await clock.sleep(delayMs, this.stopController.signal).catch(() => undefined);
    }
  }

  private nextCall(): Promise<void> {
    return new Promise((resolve) => {
      this.wake = () => {
        this.wake = undefined;
        resolve();
      };
    });
  }

  /** Runs one stream until it ends; a new HTTP/2 session avoids reusing a dead connection. */
  private async runStream(channel: PeerChannel): Promise<void> {
    const { address, tls } = this.options;
    const baseUrl = `${tls ? 'https' : 'http'}://${address}`;
    const controller = new AbortController();
    const stop = () => controller.abort();
    this.stopController.signal.addEventListener('abort', stop);
    channel.onClose(stop);
    const idleCheck = this.isPermanent ? undefined : this.closeWhenIdle(channel);
    channel.open();
    let session: PeerSession | undefined;
    try {
      const openSession = new PeerSession({ authority: baseUrl, tls: tls && readTlsFiles(tls) });
      session = openSession;
      const transport = createPeerTransport({ baseUrl, session: openSession });
      const batches = createClient(Peer, transport).exchange(channel.outgoing, {
        signal: controller.signal,
      });
      for await (const batch of batches) channel.receive(batch);
      channel.close('the peer closed the stream');
    } catch (error) {
      channel.close(error instanceof Error ? error.message : String(error));
    } finally {
      clearInterval(idleCheck);
      this.stopController.signal.removeEventListener('abort', stop);
      session?.abort();
    }
  }

  private closeWhenIdle(channel: PeerChannel): NodeJS.Timeout {
    return setInterval(() => {
      const idleMs = this.options.clock.now() - this.lastUsedAtMs;
      if (!channel.isInUse && idleMs > IDLE_TIMEOUT_MS) channel.close('the stream was not used');
    }, IDLE_TIMEOUT_MS);
  }

  private closedError(): CallError {
    const message = `connection to ${this.options.address} is closed; use another peer`;
    return new CallError({ kind: 'connection-lost', message, retryAfterMs: INITIAL_BACKOFF_MS });
  }
}
