import type http from 'node:http';
import type { Socket } from 'node:net';

/** What the callback of Node.js for the headers of a request returns to end the parsing of a connection. */
const STOP_PARSING = 2;

/** The parser of a connection, of which Node.js has no public type. */
interface ParsedSocket extends Socket {
  parser?: { onIncoming?: (message: http.IncomingMessage, keepAlive: boolean) => number } | null;
}

/** Use of a connection. */
interface Pipeline {
  unanswered: number;
  /** Whether no further request is served. */
  isFull: boolean;
  /** Whether further bytes are discarded. */
  isDiscarded: boolean;
  hasRequest: boolean;
}

/**
 * Limits the requests of a connection that are served at once; the connection closes with the last answer. One
 * read of a socket may hold more than a thousand requests, and Node.js keeps the objects of each until the
 * connection closes, so the parser is stopped at the limit.
 */
export class PipelineLimit {
  private readonly maximum: number;

  private readonly onDiscard: (socket: Socket) => void;

  private readonly pipelines = new WeakMap<Socket, Pipeline>();

  /** `onDiscard` is called for a connection on which bytes arrive that are not read any more. */
  constructor(maximum: number, onDiscard: (socket: Socket) => void = () => undefined) {
    this.maximum = maximum;
    this.onDiscard = onDiscard;
  }

  /** Limits a connection; has to be called before its first request. */
  watch(socket: Socket): void {
    const pipeline = { unanswered: 0, isFull: false, isDiscarded: false, hasRequest: false };
    this.pipelines.set(socket, pipeline);
    const { parser } = socket as ParsedSocket;
    const onIncoming = parser?.onIncoming;
    if (!parser || !onIncoming) return;
    parser.onIncoming = (message, keepAlive) => {
      if (!pipeline.isFull) return onIncoming(message, keepAlive);
      this.discardRest(socket, pipeline);
      return STOP_PARSING;
    };
  }

  /** Counts a request; returns false if it is not served. */
  admit(socket: Socket, response: http.ServerResponse): boolean {
    const pipeline = this.pipelines.get(socket);
    if (!pipeline) return true;
    if (pipeline.isFull) {
      this.discardRest(socket, pipeline);
      return false;
    }
    pipeline.hasRequest = true;
    pipeline.unanswered += 1;
    response.once('close', () => {
      pipeline.unanswered -= 1;
    });
    if (pipeline.unanswered >= this.maximum) {
      pipeline.isFull = true;
      response.shouldKeepAlive = false;
    }
    return true;
  }

  /** Number of requests that are not answered yet. */
  unansweredOf(socket: Socket): number {
    return this.pipelines.get(socket)?.unanswered ?? 0;
  }

  /** Whether a request has arrived. */
  hasRequest(socket: Socket): boolean {
    return this.pipelines.get(socket)?.hasRequest ?? false;
  }

  /** Whether further bytes of a connection are discarded. */
  isDiscarded(socket: Socket): boolean {
    return this.pipelines.get(socket)?.isDiscarded ?? false;
  }

  /** Discards all further bytes of a connection. Its end is still noticed. */
  private discardRest(socket: Socket, state: Pipeline): void {
    const pipeline = state;
    if (pipeline.isDiscarded) return;
    pipeline.isDiscarded = true;
    // The parser is still at work on the bytes that have arrived.
    process.nextTick(() => {
      socket.removeAllListeners('data');
      socket.once('data', () => this.onDiscard(socket));
      socket.on('data', () => undefined).resume();
    });
  }
}
