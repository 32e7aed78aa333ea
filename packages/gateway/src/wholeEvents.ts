import { endsEvent } from './eventBoundary';

/** Splits a stream of server-sent events at blank lines, so that no part of an event is passed on
 * before the event is complete. */
export class WholeEvents {
  private rest: Buffer = Buffer.alloc(0);

  /** Adds a chunk and returns the events that are complete; empty if none is. */
  next(chunk: Buffer): Buffer {
    const bytes = Buffer.concat([this.rest, chunk]);
    let end = bytes.length;
    while (end > 0 && !endsEvent(bytes, end)) end -= 1;
    this.rest = bytes.subarray(end);
    return bytes.subarray(0, end);
  }
}
