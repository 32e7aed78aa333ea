import type http from 'node:http';
import { HeldReading } from './heldReading';

/** Receives a chunk; the next one follows once the returned promise, if any, is fulfilled. */
export type ChunkHandler = (chunk: Buffer) => Promise<void> | undefined;

/**
 * Reads the body of a message to its end. Rejects when the message is interrupted and when `onChunk`
 * fails. Costs less than the message's async iterator, which passes each chunk through several promises.
 */
export function readChunks(message: http.IncomingMessage, onChunk: ChunkHandler): Promise<void> {
  return new Promise((resolve, reject) => {
    const reading = new HeldReading(message);
    const fail = (error: unknown) => {
      message.off('data', onData);
      reject(error);
    };
    function onData(chunk: Buffer): void {
      // Buffered chunks follow before the error is emitted.
      if (message.destroyed) return;
      try {
        const handled = onChunk(chunk);
        if (!handled) return;
        message.pause();
        // A paused message alone would let its connection be read once more.
        reading.hold();
        handled.then(() => {
          reading.release();
          message.resume();
        }, fail);
      } catch (error) {
        fail(error);
      }
    }
    if (message.destroyed) {
      fail(message.errored ?? closedEarly());
      return;
    }
    message.once('end', () => {
      // Node.js removes the listener and drops the rest of the body when the request is aborted.
      if (message.listenerCount('data') > 0) resolve();
      else fail(closedEarly());
    });
    // Stays: an error that is emitted after a failure would end the process.
    message.on('error', fail);
    message.once('close', () => {
      if (!message.readableEnded) fail(closedEarly());
    });
    message.on('data', onData);
  });
}

function closedEarly(): Error {
  return new Error('the connection closed prematurely');
}
