/** Length of the longest end of an event: two line breaks of two characters each. */
const EVENT_END_LENGTH = 4;

/** End of a line and a blank line. A carriage return after CRLF is half of a line break. */
const EVENT_END = /(?:\n\r?\n|\r\r\n?)$/;

/** Tracks whether a stream of server-sent events is between two events or inside one. */
export class EventBoundary {
  /** End of the stream so far, which shows a blank line that is split over chunks. */
  private tail = '';

  /** Reads the next chunk of the stream. */
  read(chunk: Buffer): void {
    const end = chunk.subarray(-EVENT_END_LENGTH).toString('latin1');
    this.tail = (this.tail + end).slice(-EVENT_END_LENGTH);
  }

  /** Whether the latest event has begun but is incomplete. */
  get isInsideEvent(): boolean {
    return this.tail !== '' && !EVENT_END.test(this.tail);
  }
}
