import { create, type MessageInitShape } from '@bufbuild/protobuf';
import {
  CallError,
  type Clock,
  isCallErrorKind,
  toCallError,
  type Execution,
} from '@marjorampin/types';
import {
  type Batch,
  type EndpointReport,
  EndpointReportSchema,
  type Frame,
  FrameSchema,
  type Heartbeat,
  type Reply,
  ReplySchema,
  type Request,
  RequestSchema,
} from './gen/peer_pb';
import { FrameQueue } from './frameQueue';
import { LazyAbort } from './lazyAbort';

/** Interval between checks, and between heartbeats, of a supervised stream. */
export const HEARTBEAT_INTERVAL_MS = 500;

/**
 * A heartbeat is skipped if another frame was sent within this time before it. The gap between two
 * frames is therefore at most the sum of this time and the heartbeat interval.
 */
const HEARTBEAT_SUPPRESSION_MS = 250;

/** Messages are a few kilobytes and links are fast, so compression costs more than it saves. */
export const WITHOUT_COMPRESSION = { acceptCompression: [] };

/** A supervised stream on which nothing is received for this long is closed. */
export const RECEIVE_TIMEOUT_MS = 2_000;

/** A longer gap between two ticks means that this process was paused. */
const MAXIMUM_TICK_GAP_MS = 2 * HEARTBEAT_INTERVAL_MS;

/** When the peer has to be heard from: at all times, or only while calls are in progress. */
export type Supervision = 'always' | 'during calls';

/** Call that the peer sent, as passed to `PeerHandler.handle`. */
export interface IncomingCall {
  /** Aborts when the peer cancels the call or the stream closes. */
  signal: AbortSignal;
  /** Sends one part of a streamed answer. */
  sendItem(text: string): void;
}

/** Handler of a peer's requests and reports. */
export abstract class PeerHandler {
  /** Handles a request and resolves with the reply; an error it throws is sent to the peer. */
  abstract handle(
    request: Request,
    call: IncomingCall,
  ): Promise<MessageInitShape<typeof ReplySchema>>;

  /** Handles the load and state report of an endpoint; it belongs to no call and has no reply. */
  abstract handleReport(report: EndpointReport): void;
}

/** Options of a call to a peer. */
export interface CallOptions {
  /** Cancels the call when it aborts. */
  signal?: AbortSignal;
  /** Receives the streamed parts of the answer. */
  onItem?: (text: string) => void;
  /**
   * Cancels the call when neither a part of the answer nor the reply arrives for this many
   * milliseconds; no timeout by default.
   */
  progressTimeoutMs?: number;
}

interface OutgoingCall {
  resolve(reply: Reply): void;
  reject(error: CallError): void;
  onItem: ((text: string) => void) | undefined;
  startedAtMs: number;
  lastProgressAtMs: number;
  progressTimeoutMs: number;
}

/** Options of `PeerChannel`. */
export interface PeerChannelOptions {
  handler: PeerHandler;
  clock: Clock;
  /** Name of the peer in error messages. */
  peer: string;
  supervision?: Supervision;
  /** Whether frames are exchanged at once, or only after `open`; true by default. */
  isOpen?: boolean;
  /** Called when supervision starts; `tick` has to be called at every heartbeat interval until
   * `isSupervised` is false. */
  onSupervised?: () => void;
}

/** Body of a request to a peer. */
export type RequestBody = MessageInitShape<typeof RequestSchema>['body'];

/** One bidirectional stream between two processes, on which both sides send requests. */
export class PeerChannel {
  /** Frames to send to the peer. */
  readonly outgoing = new FrameQueue();

  private readonly handler: PeerHandler;

  private readonly clock: Clock;

  private readonly peer: string;

  private readonly outgoingCalls = new Map<number, OutgoingCall>();

  private readonly incomingCalls = new Map<number, LazyAbort>();

  private readonly closeListeners: (() => void)[] = [];

  private lastCallNumber = 0;

  private readonly onSupervised: () => void;

  private supervision: Supervision;

  /** Clock time since which frames are exchanged; infinite before. */
  private openSinceMs: number;

  /** Start of the current supervision; silence before it does not count. */
  private supervisedSinceMs: number;

  private lastTickAtMs: number;

  private lastBatchAtMs: number | undefined;

  private lastSentAtMs = -Infinity;

  private heartbeatSequence = 0;

  private closeError: CallError | undefined;

  constructor({
    handler,
    clock,
    peer,
    supervision = 'always',
    isOpen = true,
    onSupervised = () => undefined,
  }: PeerChannelOptions) {
    this.handler = handler;
    this.clock = clock;
    this.peer = peer;
    this.supervision = supervision;
    this.onSupervised = onSupervised;
    this.openSinceMs = isOpen ? clock.now() : Infinity;
    this.supervisedSinceMs = clock.now();
    this.lastTickAtMs = clock.now();
  }

  /** Whether the peer has to be heard from at present. */
  get isSupervised(): boolean {
    if (this.isClosed) return false;
    return this.supervision === 'always' || this.isInUse;
  }

  /** Whether a call is in progress in either direction. */
  get isInUse(): boolean {
    return this.outgoingCalls.size > 0 || this.incomingCalls.size > 0;
  }

  /** True once the stream is closed; a closed channel can't be reopened. */
  get isClosed(): boolean {
    return this.closeError !== undefined;
  }

  /**
   * Sends a request and resolves with the reply. Rejects with the `CallError` of the peer, or with
   * `connection-lost`, `cancelled` or `deadline-exceeded` (no progress).
   */
  call(body: RequestBody, options: CallOptions = {}): Promise<Reply> {
    if (this.closeError) return Promise.reject(this.connectionLostError('not-run'));
    if (options.signal?.aborted) return Promise.reject(this.cancelledError('not-run'));
    this.lastCallNumber += 1;
    const number = this.lastCallNumber;
    this.superviseCall();
    return new Promise<Reply>((resolve, reject) => {
      const { signal } = options;
      const onAbort = () => this.cancelCall(number, this.cancelledError('unknown'));
      const finish = () => signal?.removeEventListener('abort', onAbort);
      this.outgoingCalls.set(number, {
        resolve: (reply) => {
          finish();
          resolve(reply);
        },
        reject: (error) => {
          finish();
          reject(error);
        },
        onItem: options.onItem,
        startedAtMs: this.clock.now(),
        lastProgressAtMs: this.clock.now(),
        progressTimeoutMs: options.progressTimeoutMs ?? Infinity,
      });
      signal?.addEventListener('abort', onAbort);
      const request = create(RequestSchema, { body });
      this.push({ call: number, body: { case: 'request', value: request } });
    });
  }

  /** Sends the load and state report of an endpoint; it belongs to no call and has no reply. */
  report(report: MessageInitShape<typeof EndpointReportSchema>): void {
    const value = create(EndpointReportSchema, report);
    this.push({ call: 0, body: { case: 'endpointReport', value } });
  }

  /** Processes a batch that the peer sent. */
  receive(batch: Batch): void {
    if (this.closeError) return;
    this.lastBatchAtMs = this.clock.now();
    batch.frames.forEach((frame) => this.receiveFrame(frame));
  }

  /**
   * Called at every heartbeat interval while the stream is supervised: sends a heartbeat unless
   * another frame was sent recently, times out stalled calls, and closes a stream whose peer is
   * silent.
   */
  tick(): void {
    const now = this.clock.now();
    const wasPaused = now - this.lastTickAtMs > MAXIMUM_TICK_GAP_MS;
    this.lastTickAtMs = now;
    if (!this.isSupervised) return;
    if (now - this.lastSentAtMs > HEARTBEAT_SUPPRESSION_MS) this.sendHeartbeat();
    if (wasPaused) {
      // Frames that arrived during the pause are still unread.
      this.supervisedSinceMs = now;
      return;
    }
    if (this.openSinceMs !== Infinity && now - this.expectedSinceMs > RECEIVE_TIMEOUT_MS) {
      this.close(`nothing was received for ${RECEIVE_TIMEOUT_MS} ms`);
      return;
    }
    this.cancelStalledCalls(now);
  }

  /** Starts the exchange of frames; until then, the peer can't be silent, and calls wait. */
  open(): void {
    this.openSinceMs = this.clock.now();
    this.supervisedSinceMs = this.clock.now();
  }

  /** Adds a listener that is called when the stream closes. */
  onClose(listener: () => void): void {
    this.closeListeners.push(listener);
  }

  /** Closes the stream: outgoing calls fail with execution `unknown`, incoming ones are aborted. */
  close(reason: string): void {
    if (this.closeError) return;
    this.closeError = new CallError({ kind: 'connection-lost', message: reason });
    this.outgoing.close();
    this.incomingCalls.forEach((abort) => abort.abort());
    this.incomingCalls.clear();
    const calls = [...this.outgoingCalls.values()];
    this.outgoingCalls.clear();
    calls.forEach((call) => call.reject(this.connectionLostError('unknown')));
    this.closeListeners.forEach((listener) => listener());
  }

  private receiveFrame(frame: Frame): void {
    const { call, body } = frame;
    switch (body.case) {
      case 'request':
        this.serve(call, body.value);
        break;
      case 'cancel':
        this.incomingCalls.get(call)?.abort();
        break;
      case 'item':
        this.receiveItem(call, body.value.text);
        break;
      case 'reply':
        this.removeCall(call)?.resolve(body.value);
        break;
      case 'failure': {
        const { kind, execution, message, retryAfterMs } = body.value;
        const knownKind = isCallErrorKind(kind) ? kind : 'internal';
        const error = { kind: knownKind, execution: execution as Execution, message, retryAfterMs };
        this.removeCall(call)?.reject(new CallError(error));
        break;
      }
      case 'endpointReport':
        this.handler.handleReport(body.value);
        break;
      case 'heartbeat':
        this.receiveHeartbeat(body.value);
        break;
      default:
        break;
    }
  }

  private receiveItem(number: number, text: string): void {
    const call = this.outgoingCalls.get(number);
    if (!call) return;
    call.lastProgressAtMs = this.clock.now();
    call.onItem?.(text);
  }

  private async serve(number: number, request: Request): Promise<void> {
    const abort = new LazyAbort();
    this.superviseCall();
    this.incomingCalls.set(number, abort);
    const sendItem = (text: string) =>
      this.push({ call: number, body: { case: 'item', value: { text } } });
    try {
      const call = {
        get signal() {
          return abort.signal;
        },
        sendItem,
      };
      const reply = await this.handler.handle(request, call);
      this.push({ call: number, body: { case: 'reply', value: create(ReplySchema, reply) } });
    } catch (thrown) {
      const { kind, execution, message, retryAfterMs } = toCallError(thrown);
      const value = { kind, execution, message, retryAfterMs: Math.ceil(retryAfterMs) };
      this.push({ call: number, body: { case: 'failure', value } });
    } finally {
      this.incomingCalls.delete(number);
    }
  }

  /** Time since which a frame of the peer is due. */
  private get expectedSinceMs(): number {
    return Math.max(this.lastBatchAtMs ?? 0, this.supervisedSinceMs);
  }

  private superviseCall(): void {
    if (this.isInUse) return;
    if (this.supervision === 'during calls') {
      this.supervisedSinceMs = this.clock.now();
      this.lastTickAtMs = this.clock.now();
    }
    this.onSupervised();
  }

  private cancelStalledCalls(now: number): void {
    const stalled = [...this.outgoingCalls].filter(
      ([, call]) => now - call.lastProgressAtMs > call.progressTimeoutMs,
    );
    const isMute = stalled.some(([, call]) => this.isMuteSince(call, now));
    stalled.forEach(([number, call]) => {
      this.cancelCall(number, this.noProgressError(call.progressTimeoutMs));
    });
    // A connection can go silent without a reset; a new one may work.
    if (isMute) this.close('the peer sent nothing during a call');
  }

  /** Whether the peer has sent nothing for the whole time in which it could have answered a call. */
  private isMuteSince({ startedAtMs, progressTimeoutMs }: OutgoingCall, now: number): boolean {
    const sinceMs = Math.max(startedAtMs, this.openSinceMs);
    return now - sinceMs > progressTimeoutMs && (this.lastBatchAtMs ?? -Infinity) < sinceMs;
  }

  private receiveHeartbeat({ permanent }: Heartbeat): void {
    if (!permanent || this.supervision === 'always') return;
    this.supervision = 'always';
    this.supervisedSinceMs = this.clock.now();
    this.lastTickAtMs = this.clock.now();
    this.onSupervised();
  }

  private cancelCall(number: number, error: CallError): void {
    const call = this.removeCall(number);
    if (!call) return;
    // Before the stream is open, the peer knows nothing of the call.
    if (this.openSinceMs === Infinity) this.outgoing.remove(number);
    else this.push({ call: number, body: { case: 'cancel', value: {} } });
    call.reject(error);
  }

  private removeCall(number: number): OutgoingCall | undefined {
    const call = this.outgoingCalls.get(number);
    this.outgoingCalls.delete(number);
    return call;
  }

  private sendHeartbeat(): void {
    this.heartbeatSequence += 1;
    const permanent = this.supervision === 'always';
    this.push({
      call: 0,
      body: { case: 'heartbeat', value: { sequence: this.heartbeatSequence, permanent } },
    });
  }

  private push(frame: MessageInitShape<typeof FrameSchema>): void {
    this.lastSentAtMs = this.clock.now();
    this.outgoing.push(create(FrameSchema, frame));
  }

  private connectionLostError(execution: Execution): CallError {
    const reason = this.closeError?.message ?? 'closed';
    const message = `connection to ${this.peer} was lost: ${reason}; retry the call`;
    return new CallError({ kind: 'connection-lost', message, execution, retryAfterMs: 500 });
  }

  private cancelledError(execution: Execution): CallError {
    const message = `call to ${this.peer} was cancelled by its caller`;
    return new CallError({ kind: 'cancelled', message, execution });
  }

  private noProgressError(limitMs: number): CallError {
    const message = `call to ${this.peer} made no progress for ${limitMs} ms; retry the call`;
    return new CallError({
      kind: 'deadline-exceeded',
      message,
      execution: 'unknown',
      retryAfterMs: 500,
    });
  }
}
