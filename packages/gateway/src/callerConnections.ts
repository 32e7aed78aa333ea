import type http from 'node:http';
import type { Socket } from 'node:net';
import { CallError } from '@marjorampin/types';

/** A request in the order of its connection. */
export interface OrderedRequest {
  response: http.ServerResponse;
  /** Whether an earlier request came on the same connection. */
  isKept: boolean;
  /** The request before this one, if its answer had not been sent when this one arrived. */
  earlier: OrderedRequest | undefined;
  /** Resolves once the request can't be answered any more or is answered; set while it is awaited. */
  settled?: Promise<void>;
  settle?: () => void;
}

interface Connection {
  last: OrderedRequest;
  /** Whether the connection closes after the last answer. */
  isClosing: boolean;
  /** Whether it closes then even if the headers of that answer were sent before. */
  isEnding: boolean;
}

/**
 * Orders the requests of each connection. Answers are sent in the order of their requests, so a request
 * that comes before the answer to an earlier one waits for it: that answer may end the connection, and
 * only a request that has not been passed on by then may be lost. A connection closes after the answer
 * to the last request that has arrived.
 */
export class CallerConnections {
  private readonly connections = new WeakMap<Socket, Connection>();

  /** Adds a request that has arrived. */
  add(socket: Socket, response: http.ServerResponse): OrderedRequest {
    const connection = this.connections.get(socket);
    if (!connection) {
      const first: OrderedRequest = { response, isKept: false, earlier: undefined };
      this.connections.set(socket, { last: first, isClosing: false, isEnding: false });
      return first;
    }
    const { last } = connection;
    const earlier = last.response.writableFinished ? undefined : last;
    const added: OrderedRequest = { response, isKept: true, earlier };
    connection.last = added;
    if (connection.isClosing) {
      // Has no effect if the headers of that answer have been sent.
      last.response.shouldKeepAlive = true;
      added.response.shouldKeepAlive = false;
    }
    return added;
  }

  /** Closes a connection after its last answer, unless the headers of that one have been sent. */
  closeAfterLast(socket: Socket): void {
    const connection = this.connections.get(socket);
    if (!connection) return;
    connection.isClosing = true;
    connection.last.response.shouldKeepAlive = false;
  }

  /** Returns whether a request of a connection has not been answered whole. */
  isAnswerDue(socket: Socket): boolean {
    const connection = this.connections.get(socket);
    return connection !== undefined && !connection.last.response.writableFinished;
  }

  /** Returns whether `endAfterLast` has been called for a connection. */
  isEnding(socket: Socket): boolean {
    return this.connections.get(socket)?.isEnding ?? false;
  }

  /** Ends a connection on which no further request can be read after its last answer. Returns false if
   * no answer is due. */
  endAfterLast(socket: Socket): boolean {
    const connection = this.connections.get(socket);
    if (!connection || !this.isAnswerDue(socket)) return false;
    connection.isEnding = true;
    this.closeAfterLast(socket);
    connection.last.response.once('close', () => socket.destroySoon());
    return true;
  }

  /** Resolves once all earlier requests of the connection are answered, or `signal` aborts. Throws
   * `cancelled` if the connection ends before the answer to this request. */
  static async waitForEarlier({ earlier }: OrderedRequest, signal: AbortSignal): Promise<void> {
    if (!earlier || earlier.response.writableFinished) return;
    if (!earlier.response.destroyed) await settledOrAborted(earlier, signal);
    if (earlier.response.writableFinished || signal.aborted) return;
    const message = 'the connection ended with an earlier request; send the request again';
    throw new CallError({ kind: 'cancelled', message, execution: 'not-run' });
  }

  /** Lets the next request of a connection go on if this one's answer is not sent any more: a response
   * that is not next on its connection reports no end. */
  static release({ response, settle }: OrderedRequest): void {
    if (response.destroyed) settle?.();
  }
}

/** Resolves once a request is answered or can't be answered any more, or `signal` aborts. */
async function settledOrAborted(awaited: OrderedRequest, signal: AbortSignal): Promise<void> {
  const request = awaited;
  request.settled ??= new Promise((resolve) => {
    request.settle = resolve;
    request.response.once('close', resolve);
  });
  let onAbort = () => undefined as void;
  const aborted = new Promise<void>((resolve) => {
    onAbort = resolve;
    signal.addEventListener('abort', onAbort);
  });
  if (!signal.aborted) await Promise.race([request.settled, aborted]);
  signal.removeEventListener('abort', onAbort);
}
