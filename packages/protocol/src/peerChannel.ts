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
  type Reply,
  ReplySchema,
  type Request,
  RequestSchema,
} from './gen/peer_pb';
import { FrameQueue } from './frameQueue';

/** Time between two heartbeats on a stream. */
export const HEARTBEAT_INTERVAL_MS = 500;

/** A frame within this time before a heartbeat is due takes its place: no stream is silent for
 * longer than the sum of both. */
const RECENT_FRAME_MS = 250;

/** Messages are a few kilobytes and links are fast: compression costs more than it saves. */
export const WITHOUT_COMPRESSION = { acceptCompression: [] };

/** A stream without any frame for this long is given up. */
export const SILENCE_LIMIT_MS = 2_000;

/** A call that arrived from the peer. */
export interface IncomingCall {
  /** Aborts when the peer cancels the call or the stream ends. */
  signal: AbortSignal;
  /** Streams a part of the answer. */
  send(text: string): void;
}

/** Answers a peer's requests; every method may throw a `CallError`. */
export abstract class PeerHandler {
  /** Answers one request. */
  abstract handle(
    request: Request,
    call: IncomingCall,
  ): Promise<MessageInitShape<typeof ReplySchema>>;

  /** Receives a report that belongs to no call. */
  abstract handleReport(report: EndpointReport): void;
}

/** How to send a request. */
export interface CallOptions {
  signal?: AbortSignal;
  /** Receives the streamed parts of the answer. */
  onItem?: (text: string) => void;
  /** Gives the call up when neither a part nor the answer came for this long. */
  progressTimeoutMs?: number;
}

interface OutgoingCall {
  resolve(reply: Reply): void;
  reject(error: CallError): void;
  onItem: ((text: string) => void) | undefined;
  lastProgressMs: number;
  progressTimeoutMs: number;
}

/** What a channel needs. */
export interface PeerChannelOptions {
  handler: PeerHandler;
  clock: Clock;
  /** Names the peer in errors. */
  peer: string;
}

/** Body of a request to a peer. */
export type RequestBody = MessageInitShape<typeof RequestSchema>['body'];

/** One stream to one peer, on which both sides send requests. */
export class PeerChannel {
  readonly outgoing = new FrameQueue();

  private readonly handler: PeerHandler;

  private readonly clock: Clock;

  private readonly peer: string;

  private readonly calls = new Map<number, OutgoingCall>();

  private readonly incoming = new Map<number, AbortController>();

  private lastCall = 0;

  private readonly openedAtMs: number;

  private lastReceivedMs: number | undefined;

  private lastSentMs = -Infinity;

  private heartbeats = 0;

  private closedBy: CallError | undefined;

  constructor({ handler, clock, peer }: PeerChannelOptions) {
    this.handler = handler;
    this.clock = clock;
    this.peer = peer;
    this.openedAtMs = clock.now();
  }

  get isClosed(): boolean {
    return this.closedBy !== undefined;
  }

  /** Time of the clock at which a frame came last; undefined before the first. */
  get heardAtMs(): number | undefined {
    return this.lastReceivedMs;
  }

  /** Sends a request and resolves with its answer. */
  call(body: RequestBody, options: CallOptions = {}): Promise<Reply> {
    if (this.closedBy) return Promise.reject(this.lost('not-run'));
    if (options.signal?.aborted) return Promise.reject(this.cancelled('not-run'));
    this.lastCall += 1;
    const number = this.lastCall;
    return new Promise<Reply>((resolve, reject) => {
      const { signal } = options;
      const onAbort = () => this.abandon(number, this.cancelled('unknown'));
      const finish = () => signal?.removeEventListener('abort', onAbort);
      this.calls.set(number, {
        resolve: (reply) => {
          finish();
          resolve(reply);
        },
        reject: (error) => {
          finish();
          reject(error);
        },
        onItem: options.onItem,
        lastProgressMs: this.clock.now(),
        progressTimeoutMs: options.progressTimeoutMs ?? Infinity,
      });
      signal?.addEventListener('abort', onAbort);
      const request = create(RequestSchema, { body });
      this.push({ call: number, body: { case: 'request', value: request } });
    });
  }

  /** Sends a report that belongs to no call. */
  report(report: MessageInitShape<typeof EndpointReportSchema>): void {
    const value = create(EndpointReportSchema, report);
    this.push({ call: 0, body: { case: 'endpointReport', value } });
  }

  /** Takes in what the peer sent. */
  receive(batch: Batch): void {
    if (this.closedBy) return;
    this.lastReceivedMs = this.clock.now();
    batch.frames.forEach((frame) => this.receiveFrame(frame));
  }

  /** Sends a heartbeat if nothing else was sent, gives up stalled calls, closes a silent stream. */
  tick(): void {
    const now = this.clock.now();
    if (now - (this.lastReceivedMs ?? this.openedAtMs) > SILENCE_LIMIT_MS) {
      this.close(`nothing was received for ${SILENCE_LIMIT_MS} ms`);
      return;
    }
    if (now - this.lastSentMs > RECENT_FRAME_MS) this.sendHeartbeat();
    [...this.calls].forEach(([number, call]) => {
      if (now - call.lastProgressMs <= call.progressTimeoutMs) return;
      this.abandon(number, this.stalled(call.progressTimeoutMs));
    });
  }

  /** Ends the stream: own calls fail with an unknown outcome, the peer's are aborted. */
  close(reason: string): void {
    if (this.closedBy) return;
    this.closedBy = new CallError({ kind: 'connection-lost', message: reason });
    this.outgoing.close();
    this.incoming.forEach((controller) => controller.abort());
    this.incoming.clear();
    const calls = [...this.calls.values()];
    this.calls.clear();
    calls.forEach((call) => call.reject(this.lost('unknown')));
  }

  private receiveFrame(frame: Frame): void {
    const { call, body } = frame;
    switch (body.case) {
      case 'request':
        this.serve(call, body.value);
        break;
      case 'cancel':
        this.incoming.get(call)?.abort();
        break;
      case 'item':
        this.receiveItem(call, body.value.text);
        break;
      case 'reply':
        this.take(call)?.resolve(body.value);
        break;
      case 'failure': {
        const { kind, execution, message, retryAfterMs } = body.value;
        const known = isCallErrorKind(kind) ? kind : 'internal';
        const error = { kind: known, execution: execution as Execution, message, retryAfterMs };
        this.take(call)?.reject(new CallError(error));
        break;
      }
      case 'endpointReport':
        this.handler.handleReport(body.value);
        break;
      default:
        break;
    }
  }

  private receiveItem(number: number, text: string): void {
    const call = this.calls.get(number);
    if (!call) return;
    call.lastProgressMs = this.clock.now();
    call.onItem?.(text);
  }

  private async serve(number: number, request: Request): Promise<void> {
    const controller = new AbortController();
    this.incoming.set(number, controller);
    const send = (text: string) =>
      this.push({ call: number, body: { case: 'item', value: { text } } });
    try {
      const reply = await this.handler.handle(request, { signal: controller.signal, send });
      this.push({ call: number, body: { case: 'reply', value: create(ReplySchema, reply) } });
    } catch (thrown) {
      const { kind, execution, message, retryAfterMs } = toCallError(thrown);
      const value = { kind, execution, message, retryAfterMs: Math.ceil(retryAfterMs) };
      this.push({ call: number, body: { case: 'failure', value } });
    } finally {
      this.incoming.delete(number);
    }
  }

  private abandon(number: number, error: CallError): void {
    const call = this.take(number);
    if (!call) return;
    this.push({ call: number, body: { case: 'cancel', value: {} } });
    call.reject(error);
  }

  private take(number: number): OutgoingCall | undefined {
    const call = this.calls.get(number);
    this.calls.delete(number);
    return call;
  }

  private sendHeartbeat(): void {
    this.heartbeats += 1;
    this.push({ call: 0, body: { case: 'heartbeat', value: { sequence: this.heartbeats } } });
  }

  private push(frame: MessageInitShape<typeof FrameSchema>): void {
    this.lastSentMs = this.clock.now();
    this.outgoing.push(create(FrameSchema, frame));
  }

  private lost(execution: Execution): CallError {
    const reason = this.closedBy?.message ?? 'closed';
    const message = `connection to ${this.peer} was lost: ${reason}; retry the call`;
    return new CallError({ kind: 'connection-lost', message, execution, retryAfterMs: 500 });
  }

  private cancelled(execution: Execution): CallError {
    const message = `call to ${this.peer} was cancelled by its caller`;
    return new CallError({ kind: 'cancelled', message, execution });
  }

  private stalled(limitMs: number): CallError {
    const message = `${this.peer} made no progress for ${limitMs} ms; retry the call`;
    return new CallError({
      kind: 'deadline-exceeded',
      message,
      execution: 'unknown',
      retryAfterMs: 500,
    });
  }
}
