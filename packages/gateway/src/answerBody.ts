import type http from 'node:http';
import { type AnswerFraming, framingOf, MAXIMUM_ANSWER_BYTES } from '@marjorampin/http';
import { EventBoundary } from './eventBoundary';
import { type ChunkHandler, readChunks } from './messageChunks';

/** How a body ended, or `unread` until it has; `inside-event`: in order, but within an event or, if
 * only the connection marks the end, before the first event. */
export type AnswerEnding = 'unread' | 'whole' | 'inside-event' | 'interrupted';

/** Options of `AnswerBody`. */
export interface AnswerBodyOptions {
  /** The answer, of which only the headers have been read. */
  message: http.IncomingMessage;
  /** Whether the body is a stream of server-sent events. */
  isEventStream: boolean;
}

/** Body of an endpoint's answer, which is read once. */
export class AnswerBody {
  /** What marks the end of the body. */
  readonly framing: AnswerFraming;

  private readonly message: http.IncomingMessage;

  private readonly boundary: EventBoundary | undefined;

  private receivedBytes = 0;

  private reachedEnding: AnswerEnding = 'unread';

  constructor({ message, isEventStream }: AnswerBodyOptions) {
    this.message = message;
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

  /** Reads the body; rejects when the answer is interrupted or `onChunk` fails. */
  async read(onChunk: ChunkHandler): Promise<void> {
    const { message } = this;
    this.reachedEnding = 'interrupted';
    try {
      await readChunks(message, (chunk) => {
        this.receivedBytes += chunk.length;
        this.checkSize();
        this.boundary?.read(chunk);
        return onChunk(chunk);
      });
    } catch (error) {
      message.destroy();
      throw error;
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
    if (isLimited && this.receivedBytes > MAXIMUM_ANSWER_BYTES) {
      throw new Error(`the answer is larger than ${MAXIMUM_ANSWER_BYTES} bytes`);
    }
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
