import type http from 'node:http';
import {
  type AnswerFraming,
  type ByteAccount,
  framingOf,
  type Holding,
  MAXIMUM_ANSWER_BYTES,
} from '@marjorampin/http';
import { EventBoundary } from './eventBoundary';
import { type ChunkHandler, readChunks } from './messageChunks';

/** How a body ended, or `unread` until it has; `inside-event`: in order, but within an event or, if
 * only the connection marks the end, before the first event. */
export type AnswerEnding = 'unread' | 'whole' | 'inside-event' | 'interrupted';

/** A limit that an answer exceeded. */
export interface ExceededLimit {
  /** What is limited: the bytes of any answer, the bytes or events of a turn, by its reserved tokens, or
   * the bytes of all calls of the process. */
  limit: 'one answer' | 'bytes of a turn' | 'events of a turn' | 'process';
  maximum: number;
}

/** Options of `AnswerBody`. */
export interface AnswerBodyOptions {
  /** The answer, of which only the headers have been read. */
  message: http.IncomingMessage;
  /** Whether the body is a stream of server-sent events. */
  isEventStream: boolean;
  /** Counts the bytes of the answer that are held. */
  held: ByteAccount;
  /** Limit of an answer whose size is not declared, in bytes. */
  maximumBytes?: number | undefined;
  /** Is called with each chunk of a stream as it arrives. */
  onChunk?: ((chunk: Buffer) => void) | undefined;
}

/** Body of an endpoint's answer, which is read once. */
export class AnswerBody {
  /** What marks the end of the body. */
  readonly framing: AnswerFraming;

  private readonly message: http.IncomingMessage;

  private readonly boundary: EventBoundary | undefined;

  private readonly holding: Holding;

  private readonly maximumBytes: number;

  private readonly onChunk: AnswerBodyOptions['onChunk'];

  private exceededLimit: ExceededLimit | undefined;

  private breakOffError: Error | undefined;

  private receivedBytes = 0;

  private reachedEnding: AnswerEnding = 'unread';

  constructor({
    message,
    isEventStream,
    held,
    maximumBytes = MAXIMUM_ANSWER_BYTES,
    onChunk,
  }: AnswerBodyOptions) {
    this.message = message;
    if (isEventStream) this.onChunk = onChunk;
    this.maximumBytes = Math.min(maximumBytes, MAXIMUM_ANSWER_BYTES);
    this.holding = held.open({
      kind: 'answer',
      breakOff: (error) => this.breakOff(error, held.limitBytes),
    });
    this.framing = framingOf(message.headers);
    if (this.framing === 'close') watchForReset(message);
    if (isEventStream) this.boundary = new EventBoundary();
  }

  /** Number of bytes read so far. */
  get bytes(): number {
    return this.receivedBytes;
  }

  /** How the body ended. */
  get ending(): AnswerEnding {
    return this.reachedEnding;
  }

  /** The limit because of which the answer was broken off, if any. */
  get exceeded(): ExceededLimit | undefined {
    return this.exceededLimit;
  }

  /** Records that the answer exceeds a limit and returns the error for this. */
  exceed(limit: ExceededLimit['limit'], maximum: number): Error {
    this.exceededLimit = { limit, maximum };
    return new Error(`it exceeds the limit of ${maximum} for the ${limit}`);
  }

  /** Sets the number of bytes of the body that are held until `release`. */
  hold(bytes: number): void {
    this.holding.resize(bytes);
  }

  /** Reports that no byte of the body is held any more. */
  release(): void {
    this.holding.close();
  }

  /** Reads the body; rejects when the answer is interrupted or `onChunk` fails. */
  async read(onChunk: ChunkHandler): Promise<void> {
    const { message } = this;
    this.reachedEnding = 'interrupted';
    try {
      await readChunks(message, (chunk) => {
        this.receivedBytes += chunk.length;
        this.checkSize();
        this.boundary?.read(chunk);
        this.onChunk?.(chunk);
        return onChunk(chunk);
      });
    } catch (error) {
      message.destroy();
      throw this.breakOffError ?? error;
    }
    if (!message.complete) throw new Error('the connection closed prematurely');
    if (this.endsInsideEvent()) {
      this.reachedEnding = 'inside-event';
      throw new Error('the stream ended inside an event');
    }
    this.reachedEnding = 'whole';
  }

  private checkSize(): void {
    const isLimited = this.boundary !== undefined || this.framing !== 'length';
    if (isLimited && this.receivedBytes > this.maximumBytes) {
      const isTurn = this.maximumBytes < MAXIMUM_ANSWER_BYTES;
      throw this.exceed(isTurn ? 'bytes of a turn' : 'one answer', this.maximumBytes);
    }
  }

  private breakOff(error: Error, limitBytes: number): void {
    this.exceededLimit = { limit: 'process', maximum: limitBytes };
    this.breakOffError = error;
    this.message.destroy(error);
  }

  /** A stream without events and length can't be told from one that was broken off. */
  private endsInsideEvent(): boolean {
    if (!this.boundary) return false;
    const isEmpty = this.receivedBytes === 0 && this.framing === 'close';
    return isEmpty || this.boundary.isInsideEvent;
  }

  /** Closes the connection without reading the rest of the body. */
  destroy(): void {
    this.message.destroy();
  }
}

/**
 * Fails an answer without a declared length when a reset ends it. libuv reports a reset that arrives
 * together with data as an orderly end; it can be detected only by the socket's missing remote
 * address.
 */
function watchForReset(message: http.IncomingMessage): void {
  const { socket } = message;
  socket.prependOnceListener('end', () => {
    if (!message.complete && socket.remoteAddress === undefined) {
      message.destroy(new Error('the endpoint reset the connection'));
    }
  });
}
