/** Length of the longest end of an event: two line breaks of two characters each. */
export const EVENT_END_LENGTH = 4;

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Tracks whether a stream of server-sent events is between two events or inside one. */
export class EventBoundary {
  /** End of the stream so far, which shows a blank line that is split over chunks. */
  private readonly tail = new Uint8Array(EVENT_END_LENGTH);

  private isEmpty = true;

  /** Reads the next chunk of the stream. */
  read(chunk: Buffer): void {
    const { tail } = this;
    this.isEmpty &&= chunk.length === 0;
    // Copied: a view of the chunk would keep all of it in memory.
    const added = Math.min(chunk.length, EVENT_END_LENGTH);
    if (added < EVENT_END_LENGTH) tail.copyWithin(0, added);
    for (let index = 0; index < added; index += 1) {
      tail[EVENT_END_LENGTH - added + index] = chunk[chunk.length - added + index] ?? 0;
    }
  }

  /** Whether the latest event has begun but is incomplete. */
  get isInsideEvent(): boolean {
    return !this.isEmpty && !endsEvent(this.tail, EVENT_END_LENGTH);
  }
}

/** Returns whether the bytes before `end` end with a blank line, whose line break and the one before it
 * may be a line feed, a carriage return or both. */
export function endsEvent(bytes: Uint8Array, end: number): boolean {
  const [beforeLast, previous, last] = [bytes[end - 3], bytes[end - 2], bytes[end - 1]];
  if (last === CARRIAGE_RETURN) return previous === CARRIAGE_RETURN;
  if (last !== LINE_FEED) return false;
  if (previous === LINE_FEED) return true;
  // A carriage return before the line feed belongs to the same line break.
  const isLongBreak = previous === CARRIAGE_RETURN;
  return isLongBreak && (beforeLast === LINE_FEED || beforeLast === CARRIAGE_RETURN);
}
