const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Splits a stream of server-sent events at blank lines, so that no part of an event is passed on
 * before the event is complete. */
export class WholeEvents {
  private rest: Buffer = Buffer.alloc(0);

  /** Adds a chunk and returns the events that are complete; empty if none is. */
  next(chunk: Buffer): Buffer {
    const bytes = Buffer.concat([this.rest, chunk]);
    const end = endOfLastEvent(bytes);
    this.rest = bytes.subarray(end);
    return bytes.subarray(0, end);
  }
}

/** Returns the position after the last blank line; 0 if there is none. */
function endOfLastEvent(bytes: Buffer): number {
  for (let index = bytes.length - 1; index > 0; index -= 1) {
    if (bytes[index] === LINE_FEED) {
      const before = bytes[index - 1] === CARRIAGE_RETURN ? index - 2 : index - 1;
      if (bytes[before] === LINE_FEED) return index + 1;
    }
  }
  return 0;
}
