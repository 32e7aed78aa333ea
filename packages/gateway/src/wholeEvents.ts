import { endsEvent, EVENT_END_LENGTH } from './eventBoundary';

/** Bytes before a line break that show whether it ends an event. */
const TAIL_LENGTH = EVENT_END_LENGTH - 1;

const NO_BYTES = Buffer.alloc(0);

/** Splits a stream of server-sent events at blank lines, so that no part of an event is passed on
 * before the event is complete. */
export class WholeEvents {
  /** Parts of an incomplete event. */
  private rest: Buffer[] = [];

  private restBytes = 0;

  /** End of the incomplete event, which shows a blank line that is split over chunks. */
  private tail: Buffer = NO_BYTES;

  /** Number of bytes of the incomplete event. */
  get heldBytes(): number {
    return this.restBytes;
  }

  /** Adds a chunk and returns the events that are complete; empty if none is. */
  next(chunk: Buffer): Buffer {
    const { tail } = this;
    const seen = tail.length > 0 ? Buffer.concat([tail, chunk]) : chunk;
    let end = seen.length;
    while (end > tail.length && !endsEvent(seen, end)) end -= 1;
    const isComplete = end > tail.length;
    const events = isComplete ? this.take(chunk.subarray(0, end - tail.length)) : NO_BYTES;
    this.keep(isComplete ? seen.subarray(end) : chunk);
    return events;
  }

  private take(last: Buffer): Buffer {
    const events = this.rest.length > 0 ? Buffer.concat([...this.rest, last]) : last;
    this.rest = [];
    this.restBytes = 0;
    this.tail = NO_BYTES;
    return events;
  }

  private keep(bytes: Buffer): void {
    if (bytes.length === 0) return;
    this.rest.push(bytes);
    this.restBytes += bytes.length;
    const end = Buffer.concat([this.tail, bytes.subarray(-TAIL_LENGTH)]);
    this.tail = end.subarray(-TAIL_LENGTH);
  }
}
