/* eslint-disable no-underscore-dangle -- Name of the method of Node.js by which a stream is asked for data. */
import type http from 'node:http';

/** Stops and continues the reading of a message's connection. */
export class HeldReading {
  private readonly message: http.IncomingMessage;

  /** Bytes that Node.js asked for meanwhile. */
  private missedBytes: number | undefined;

  private heldRead: http.IncomingMessage['_read'] | undefined;

  constructor(message: http.IncomingMessage) {
    this.message = message;
  }

  /** Whether the connection is not read. */
  get isHeld(): boolean {
    return this.heldRead !== undefined;
  }

  /**
   * Stops reading at once. The message itself is not paused: what its parser has at hand still arrives and can be
   * copied, while a paused message would keep an object for each chunk.
   */
  hold(): void {
    const { message } = this;
    if (this.heldRead) return;
    // Node.js calls this when it wants more of the body, which would resume the connection.
    this.heldRead = message._read.bind(message);
    message._read = (bytes) => {
      this.missedBytes = bytes;
    };
    message.socket?.pause();
  }

  /** Reads on. */
  release(): void {
    const { message, heldRead } = this;
    if (!heldRead) return;
    message._read = heldRead;
    this.heldRead = undefined;
    if (this.missedBytes !== undefined) heldRead(this.missedBytes);
    this.missedBytes = undefined;
    if (!message.socket?.destroyed) message.socket?.resume();
  }
}
